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

// Kinds of faults. They affect the next NextRequests requests, or each with Probability, or all if neither is set;
// SilentConnections and Leave act once.
const (
	// SilentConnections makes the connections that are open now neither deliver nor send any more bytes; new connections work.
	SilentConnections Kind = "silent-connections"
	// SlowRequest makes requests run longer by Delay.
	SlowRequest Kind = "slow"
	// LateAnswer holds the answer back for Delay; the slot is free during that time.
	LateAnswer Kind = "late-answer"
	// SwappedAnswers swaps the answers of two requests, including their attempt headers.
	SwappedAnswers Kind = "crossed-answers"
	// TruncatedAnswer closes the connection after half of the answer.
	TruncatedAnswer Kind = "cut-short"
	// Leave makes endpoints refuse new requests as leaving; their process goes on.
	Leave Kind = "leave"
)

// Fault describes one fault.
type Fault struct {
	// ID is assigned by the stand-in.
	ID   int  `json:"id,omitempty"`
	Kind Kind `json:"kind"`
	// Endpoint and Class select the endpoints; an empty one selects all.
	Endpoint string        `json:"endpoint,omitempty"`
	Class    model.ClassID `json:"class,omitempty"`
	// For is the time after which the fault ends by itself; zero means that it lasts until it is cleared.
	For          model.Duration `json:"for,omitempty"`
	Delay        model.Duration `json:"delay,omitempty"`
	Probability  float64        `json:"probability,omitempty"`
	NextRequests int            `json:"next,omitempty"`
	// limited is true if the fault was set for a number of requests; NextRequests counts down to zero.
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

// AppliesTo reports whether the fault selects an endpoint.
func (f Fault) AppliesTo(endpoint string, class model.ClassID) bool {
	return (f.Endpoint == "" || f.Endpoint == endpoint) && (f.Class == "" || f.Class == class)
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

// Active returns the faults in force, oldest first.
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

// Draw decides whether a fault of a kind affects a request at an endpoint, and returns the fault. It counts the request
// towards NextRequests.
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
