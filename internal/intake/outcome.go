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
	// JobState tells the state of a job.
	JobState struct{ State work.State }
	// QueueLength tells how many jobs of a queue have not begun.
	QueueLength struct{ Pending int }
	// JobNotFound tells that no such job exists.
	JobNotFound struct{}
	// QueueNotFound tells that no queue answers to the host and path.
	QueueNotFound struct{}
	// Unauthorised tells that the key is missing or not granted.
	Unauthorised struct{}
	// Invalid tells why the call can't be understood.
	Invalid struct{ Reason string }
	// TooLarge tells that the body is over the limit.
	TooLarge struct{}
	// RetryLater tells that nothing was done, why, and when to come back.
	RetryLater struct {
		Reason     string
		RetryAfter time.Duration
	}
	// InDoubt tells that the call may take effect.
	InDoubt struct{ Reason string }
)

func (Accepted) outcome()      {}
func (JobState) outcome()      {}
func (QueueLength) outcome()   {}
func (JobNotFound) outcome()   {}
func (QueueNotFound) outcome() {}
func (Unauthorised) outcome()  {}
func (Invalid) outcome()       {}
func (TooLarge) outcome()      {}
func (RetryLater) outcome()    {}
func (InDoubt) outcome()       {}

// label names the kind of an outcome in metrics.
func label(o Outcome) string {
	switch o.(type) {
	case Accepted:
		return "accepted"
	case JobState, QueueLength:
		return "answered"
	case JobNotFound:
		return "unknown"
	case QueueNotFound:
		return "no-queue"
	case Unauthorised:
		return "no-key"
	case Invalid:
		return "invalid"
	case TooLarge:
		return "too-large"
	case RetryLater:
		return "not-now"
	case InDoubt:
		return "in-doubt"
	default:
		return "other"
	}
}
