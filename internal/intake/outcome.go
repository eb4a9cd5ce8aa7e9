package intake

import (
	"time"

	"arbutuswing.example/internal/work"
)

// Outcome is the answer to a call: one of the types below.
type Outcome interface{ outcome() }

type (
	// Accepted means that the job or cancellation is stored.
	Accepted struct{}
	// JobState holds the state of a job.
	JobState struct{ State work.State }
	// QueueLength holds the number of jobs of a queue that have not started.
	QueueLength struct{ Pending int }
	// JobNotFound means that no such job exists.
	JobNotFound struct{}
	// QueueNotFound means that no queue matches the host and path.
	QueueNotFound struct{}
	// Unauthorised means that the key is missing or granted to no team.
	Unauthorised struct{}
	// Invalid means that the call is malformed, for the given reason.
	Invalid struct{ Reason string }
	// TooLarge means that the body is over the limit.
	TooLarge struct{}
	// RetryLater means that the call had no effect, for the given reason, and may be repeated after RetryAfter.
	RetryLater struct {
		Reason     string
		RetryAfter time.Duration
	}
	// InDoubt means that the call may or may not take effect.
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

// metricLabel returns the label of an outcome in the metrics.
func metricLabel(o Outcome) string {
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
