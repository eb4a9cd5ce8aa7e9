package fault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// WorkerLocation identifies a worker with its data centre and rack.
type WorkerLocation struct {
	Worker     model.WorkerID
	DataCentre model.DataCentreID
	Rack       model.RackID
}

type activeFault struct {
	fault Fault
	setAt time.Time
}

// Set holds the active faults. It is safe for concurrent use.
type Set struct {
	clock clockwork.Clock

	mu     sync.Mutex
	random *rand.Rand
	lastID int
	active []*activeFault
}

// NewSet returns a set without faults.
func NewSet(clock clockwork.Clock, seed int64) *Set {
	return &Set{clock: clock, random: rand.New(rand.NewPCG(uint64(seed), 1))}
}

// Add sets a fault and returns its ID; it returns ErrBadFault for a malformed one.
func (s *Set) Add(fault Fault) (int, error) {
	if err := fault.Check(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	fault.ID = s.lastID
	if !fault.isOneShot() {
		s.active = append(s.active, &activeFault{fault: fault, setAt: s.clock.Now()})
	}
	return fault.ID, nil
}

// Active returns the faults in force, oldest first.
func (s *Set) Active() []Fault {
	out := []Fault{}
	s.forEachActive(func(e *activeFault) { out = append(out, e.fault) })
	return out
}

// Clear ends the fault with an ID, or all for zero; it returns ErrUnknownFault.
func (s *Set) Clear(id int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.active)
	s.active = slices.DeleteFunc(s.active, func(e *activeFault) bool { return id == 0 || e.fault.ID == id })
	if id != 0 && len(s.active) == before {
		return fmt.Errorf("%w: %d", ErrUnknownFault, id)
	}
	return nil
}

// forEachActive calls use with each active fault, oldest first, while holding the lock. It drops faults that are over.
func (s *Set) forEachActive(use func(e *activeFault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.active = slices.DeleteFunc(s.active, func(e *activeFault) bool {
		return e.fault.exhausted() || e.fault.For > 0 && !now.Before(e.setAt.Add(e.fault.For.Std()))
	})
	for _, e := range s.active {
		use(e)
	}
}

// LogDown reports whether the log is down, and whether calls then get no answer instead of a refusal.
func (s *Set) LogDown() (down, silent bool) {
	s.forEachActive(func(e *activeFault) {
		if e.fault.Kind == LogOutage {
			down, silent = true, silent || e.fault.Silent
		}
	})
	return down, silent
}

// LogDelay returns how long a call to the log is delayed.
func (s *Set) LogDelay() time.Duration {
	var delay time.Duration
	s.forEachActive(func(e *activeFault) {
		if e.fault.Kind == LogSlow {
			delay = max(delay, e.fault.Delay.Std())
		}
	})
	return delay
}

// CommandDelay returns how long a command to a worker is delayed.
func (s *Set) CommandDelay(worker model.WorkerID) time.Duration {
	var delay time.Duration
	s.forEachActive(func(e *activeFault) {
		if e.fault.Kind == WorkerSlow && (e.fault.Worker == "" || e.fault.Worker == worker) {
			delay = max(delay, e.fault.Delay.Std())
		}
	})
	return delay
}

// EffectiveListLag returns the lag of the instance list: the configured one unless a fault changes it.
func (s *Set) EffectiveListLag(configured time.Duration) time.Duration {
	s.forEachActive(func(e *activeFault) {
		if e.fault.Kind == ListLag {
			configured = e.fault.Delay.Std()
		}
	})
	return configured
}

// DropAppendAnswer decides whether to drop the answer to an append.
func (s *Set) DropAppendAnswer() bool {
	return s.dropAnswer(func(f Fault) bool { return f.Kind == AppendAnswerLost })
}

// DropCommandAnswer decides whether to drop a worker's answer to a command.
func (s *Set) DropCommandAnswer(worker model.WorkerID) bool {
	return s.dropAnswer(func(f Fault) bool { return f.Kind == WorkerAnswerLost && (f.Worker == "" || f.Worker == worker) })
}

func (s *Set) dropAnswer(applies func(Fault) bool) bool {
	lost := false
	s.forEachActive(func(e *activeFault) {
		switch {
		case !applies(e.fault):
		case e.fault.NextCalls > 0:
			lost = true
			e.fault.NextCalls--
		case s.random.Float64() < e.fault.Probability:
			lost = true
		}
	})
	return lost
}

// IsPlatformUnreachable reports whether a caller in a data centre can't reach the log and the instance list. The
// empty data centre is a tool outside all data centres; no partition affects it.
func (s *Set) IsPlatformUnreachable(from model.DataCentreID) bool {
	cut := false
	s.forEachActive(func(e *activeFault) {
		f := e.fault
		cut = cut || f.Kind == Partition && from != "" && f.DataCentre == from && (f.Peer == "" || f.Peer == PeerPlatform)
	})
	return cut
}

// IsWorkerUnreachable reports whether a caller in a data centre can't reach a worker.
func (s *Set) IsWorkerUnreachable(from model.DataCentreID, worker WorkerLocation) bool {
	cut := false
	s.forEachActive(func(e *activeFault) { cut = cut || e.fault.blocks(from, worker) })
	return cut
}

func (f Fault) blocks(from model.DataCentreID, worker WorkerLocation) bool {
	switch f.Kind {
	case WorkerUnreachable:
		return f.Worker == worker.Worker
	case WorkerReboot:
		return f.Worker == worker.Worker && f.For > 0
	case RackPoweredOff:
		return f.DataCentre == worker.DataCentre && (f.Rack == "" || f.Rack == worker.Rack)
	case Partition:
		return from != "" && from != worker.DataCentre && f.separates(from, worker.DataCentre)
	default:
		return false
	}
}

func (f Fault) separates(a, b model.DataCentreID) bool {
	one := f.DataCentre == a && (f.Peer == "" || f.Peer == string(b))
	other := f.DataCentre == b && (f.Peer == "" || f.Peer == string(a))
	return one || other
}

// FailsAllAttempts reports whether every attempt that starts on a worker fails.
func (s *Set) FailsAllAttempts(worker model.WorkerID) bool {
	fails := false
	s.forEachActive(func(e *activeFault) { fails = fails || e.fault.Kind == WorkerFails && e.fault.Worker == worker })
	return fails
}

// OutOfServiceSince returns the time from which no task may start in the data centre, which is the end of the grace
// period; it returns false if the data centre is in service.
func (s *Set) OutOfServiceSince(dc model.DataCentreID, _ time.Time) (time.Time, bool) {
	var from time.Time
	out := false
	s.forEachActive(func(e *activeFault) {
		if e.fault.Kind == DataCentreOutOfService && e.fault.DataCentre == dc && !out {
			from, out = e.setAt.Add(e.fault.grace()), true
		}
	})
	return from, out
}

// Limit returns a team's limit, or false if it has none. During the grace period of a new limit, the larger of the new
// and the previous one applies in each dimension.
func (s *Set) Limit(team model.TeamID, now time.Time) (decl.Limit, bool) {
	var limit decl.Limit
	found := false
	s.forEachActive(func(e *activeFault) {
		if e.fault.Kind != TeamLimit || e.fault.Team != team {
			return
		}
		if now.Before(e.setAt.Add(e.fault.grace())) {
			limit = looserLimit(limit, e.fault.Limit)
		} else {
			limit = e.fault.Limit
		}
		found = true
	})
	return limit, found
}

// looserLimit returns the larger limit in each dimension; zero is unbounded.
func looserLimit(a, b decl.Limit) decl.Limit {
	return decl.Limit{
		Resources: model.Resources{
			Cores:        looserBound(a.Resources.Cores, b.Resources.Cores),
			Memory:       looserBound(a.Resources.Memory, b.Resources.Memory),
			Accelerators: looserBound(a.Resources.Accelerators, b.Resources.Accelerators),
		},
		Tasks: looserBound(a.Tasks, b.Tasks),
	}
}

func looserBound[T ~int | ~int64](a, b T) T {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}
