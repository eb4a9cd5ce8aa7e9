package agent

import (
	"context"
	"time"
)

// Queue makes one call for advice at a time, as the service handles one of each node at a time: a call whose caller
// has gone meanwhile is never sent and so doesn't hold up the ones behind it.
type Queue struct {
	advisor Advisor
	turn    chan struct{}
}

var _ Advisor = (*Queue)(nil)

// NewQueue returns a queue before an advisor.
func NewQueue(advisor Advisor) *Queue { return &Queue{advisor, make(chan struct{}, 1)} }

// Advise waits for its turn and passes the call on; it returns ErrBusy if the turn doesn't come within the timeout.
func (q *Queue) Advise(ctx context.Context, question Question) (Advice, error) {
	limit := time.NewTimer(question.Timeout.Std())
	defer limit.Stop()
	select {
	case q.turn <- struct{}{}:
	case <-limit.C:
		return Advice{}, ErrBusy
	case <-ctx.Done():
		return Advice{}, ErrBusy
	}
	defer func() { <-q.turn }()
	begun := time.Now()
	advice, err := q.advisor.Advise(ctx, question)
	observe("advise", begun, err)
	return advice, err
}
