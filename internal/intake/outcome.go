package intake

import (
	"time"

	"arbutuswing.example/internal/work"
)

// Outcome is the answer to a call; its types are the only ones.
type Outcome interface{ outcome() }

type (
	// Accepted tells that the call took effect and is stored.
	Accepted struct{}
	// Known tells the state of a job.
	Known struct{ State work.State }
	// Length tells how many jobs of a queue have not begun.
	Length struct{ Pending int }
	// Unknown tells that no such job exists.
	Unknown struct{}
	// NoQueue tells that no queue answers to the host and path.
	NoQueue struct{}
	// NoKey tells that the key is missing or not granted.
	NoKey struct{}
	// Invalid tells why the call can't be understood.
	Invalid struct{ Reason string }
	// TooLarge tells that the body is over the limit.
	TooLarge struct{}
	// NotNow tells that nothing was done, why, and when to come back.
	NotNow struct {
		Reason string
		After  time.Duration
	}
	// InDoubt tells that the call may take effect.
	InDoubt struct{ Reason string }
)

func (Accepted) outcome() {}
func (Known) outcome()    {}
func (Length) outcome()   {}
func (Unknown) outcome()  {}
func (NoQueue) outcome()  {}
func (NoKey) outcome()    {}
func (Invalid) outcome()  {}
func (TooLarge) outcome() {}
func (NotNow) outcome()   {}
func (InDoubt) outcome()  {}

// label names the kind of an outcome in metrics.
func label(o Outcome) string {
	switch o.(type) {
	case Accepted:
		return "accepted"
	case Known, Length:
		return "answered"
	case Unknown:
		return "unknown"
	case NoQueue:
		return "no-queue"
	case NoKey:
		return "no-key"
	case Invalid:
		return "invalid"
	case TooLarge:
		return "too-large"
	case NotNow:
		return "not-now"
	case InDoubt:
		return "in-doubt"
	default:
		return "other"
	}
}
