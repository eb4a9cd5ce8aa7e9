package agent

import (
	"context"
	"time"
)

// SerialAdvisor makes one advice call at a time, because the advice service handles one call of each node at a time. A
// call that is cancelled while it waits here is never sent, so it doesn't delay the calls behind it.
type SerialAdvisor struct {
	advisor   Advisor
	semaphore chan struct{}
}

var _ Advisor = (*SerialAdvisor)(nil)

// NewSerialAdvisor returns an advisor that serialises the calls to another one.
func NewSerialAdvisor(advisor Advisor) *SerialAdvisor {
	return &SerialAdvisor{advisor, make(chan struct{}, 1)}
}

// Advise waits until no other call is under way and passes the call on. It returns ErrBusy if the request's timeout or
// the context ends first.
func (a *SerialAdvisor) Advise(ctx context.Context, req AdviceRequest) (Advice, error) {
	timeout := time.NewTimer(req.Timeout.Std())
	defer timeout.Stop()
	select {
	case a.semaphore <- struct{}{}:
	case <-timeout.C:
		return Advice{}, ErrBusy
	case <-ctx.Done():
		return Advice{}, ErrBusy
	}
	defer func() { <-a.semaphore }()
	begun := time.Now()
	advice, err := a.advisor.Advise(ctx, req)
	observe("advise", begun, err)
	return advice, err
}
