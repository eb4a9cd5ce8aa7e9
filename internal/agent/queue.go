package agent

import (
	"context"
	"time"
)

// SerialAdvisor makes one call for advice at a time, as the service handles one of each node at a time: a call whose caller
// has gone meanwhile is never sent and so doesn't hold up the ones behind it.
type SerialAdvisor struct {
	advisor Advisor
	turn    chan struct{}
}

var _ Advisor = (*SerialAdvisor)(nil)

// NewSerialAdvisor returns a queue before an advisor.
func NewSerialAdvisor(advisor Advisor) *SerialAdvisor {
	return &SerialAdvisor{advisor, make(chan struct{}, 1)}
}

// Advise waits for its turn and passes the call on; it returns ErrBusy if the turn doesn't come within the timeout.
func (q *SerialAdvisor) Advise(ctx context.Context, question AdviceRequest) (Advice, error) {
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
