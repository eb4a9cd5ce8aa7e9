package fault

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/model"
)

var (
	// ErrBadFault reports a fault that can't be set.
	ErrBadFault = errors.New("bad fault")
	// ErrUnknownFault reports a fault that isn't set.
	ErrUnknownFault = errors.New("unknown fault")
)

// Kind names a fault.
type Kind string

// Kinds of faults; they hit the next Next requests, or with Probability, or all if neither is set.
const (
	// SilentConnections stops reading and writing on the connections that are open now, while new ones work.
	SilentConnections Kind = "silent-connections"
	// SlowRequest lets requests work longer by Delay.
	SlowRequest Kind = "slow"
	// LateAnswer frees the slot in time and holds the answer back for Delay.
	LateAnswer Kind = "late-answer"
	// SwappedAnswers swaps the answers of two requests, with their attempts.
	SwappedAnswers Kind = "crossed-answers"
	// TruncatedAnswer closes the connection in the middle of the answer.
	TruncatedAnswer Kind = "cut-short"
	// Leave lets endpoints leave, though their process goes on.
	Leave Kind = "leave"
)

// Fault is one fault.
type Fault struct {
	// ID is given by the stand-in.
	ID   int  `json:"id,omitempty"`
	Kind Kind `json:"kind"`
	// Endpoint and Class choose endpoints; both empty means all.
	Endpoint string        `json:"endpoint,omitempty"`
	Class    model.ClassID `json:"class,omitempty"`
	// For clears the fault after a time; zero keeps it until it is cleared.
	For          model.Duration `json:"for,omitempty"`
	Delay        model.Duration `json:"delay,omitempty"`
	Probability  float64        `json:"probability,omitempty"`
	NextRequests int            `json:"next,omitempty"`
	// limited is set for a fault that began with a number of requests to hit.
	limited bool
}

// Check returns ErrBadFault for an unknown kind or a missing field.
func (f Fault) Check() error {
	switch f.Kind {
	case SilentConnections, SwappedAnswers, TruncatedAnswer, Leave:
		return nil
	case SlowRequest, LateAnswer:
		if f.Delay <= 0 {
			return fmt.Errorf("%w: %s needs delay", ErrBadFault, f.Kind)
		}
		return nil
	default:
		return fmt.Errorf("%w: unknown kind %q", ErrBadFault, f.Kind)
	}
}

// AppliesTo reports whether the fault concerns an endpoint.
func (f Fault) AppliesTo(endpoint string, class model.ClassID) bool {
	return (f.Endpoint == "" || f.Endpoint == endpoint) && (f.Class == "" || f.Class == class)
}

type activeFault struct {
	fault Fault
	setAt time.Time
}

// Set holds the active faults.
type Set struct {
	clock clockwork.Clock

	mu     sync.Mutex
	random *rand.Rand
	lastID int
	active []*activeFault
}

// NewSet returns a set without faults.
func NewSet(clock clockwork.Clock, seed int64) *Set {
	return &Set{clock: clock, random: rand.New(rand.NewPCG(uint64(seed), 2))}
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
	fault.limited = fault.NextRequests > 0
	if fault.Kind != SilentConnections && fault.Kind != Leave {
		s.active = append(s.active, &activeFault{fault: fault, setAt: s.clock.Now()})
	}
	return fault.ID, nil
}

// Active returns the faults that are set.
func (s *Set) Active() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	out := make([]Fault, 0, len(s.active))
	for _, e := range s.active {
		out = append(out, e.fault)
	}
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

func (s *Set) expire() {
	now := s.clock.Now()
	s.active = slices.DeleteFunc(s.active, func(e *activeFault) bool {
		return e.fault.limited && e.fault.NextRequests == 0 ||
			e.fault.For > 0 && !now.Before(e.setAt.Add(e.fault.For.Std()))
	})
}

// Draw decides whether a fault of a kind hits one request at an endpoint.
func (s *Set) Draw(kind Kind, endpoint string, class model.ClassID) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range s.active {
		if e.fault.Kind != kind || !e.fault.AppliesTo(endpoint, class) {
			continue
		}
		switch {
		case e.fault.limited:
			e.fault.NextRequests--
			return e.fault, true
		case e.fault.Probability == 0 || s.random.Float64() < e.fault.Probability:
			return e.fault, true
		}
	}
	return Fault{}, false
}
