package route

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// try runs one request: one attempt at a time, each at another endpoint.
type try struct {
	router *Router
	group  *group
	req    Request
	// mayHaveRun is set once an attempt was sent whose end is not known to be a refusal.
	mayHaveRun bool
	retried    bool
	last       model.EndpointID
}

func (t *try) run(ctx context.Context) (ports.Answer, error) {
	for range t.router.cfg.MaxAttempts {
		answer, result, err := t.attempt(ctx)
		if err == nil {
			return answer, nil
		}
		if result == nil || !t.again(ctx, result) {
			return ports.Answer{}, t.outcome(err)
		}
	}
	return ports.Answer{}, t.outcome(ErrAttempts)
}

// again reports whether another attempt is allowed after one that ended with result.
func (t *try) again(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil {
		return false
	}
	switch result.(type) {
	case busy, leaving:
		// The endpoint surely did not run it, and acquire waits for a free slot, so these retries limit themselves.
		return true
	case notSent:
		return t.router.budget.withdraw()
	case noAnswer:
		t.retried = true
		return t.req.Idempotent && t.router.budget.withdraw()
	default:
		return false
	}
}

// outcome returns the error to give to the caller: "not run" only when no attempt may have run.
func (t *try) outcome(err error) error {
	out := t.trueOutcome(err)
	t.router.cfg.Invariants.Check(invar.TrueRefusal, !t.mayHaveRun || !errors.Is(out, ErrNotRun),
		"request %q may have run but was refused as not run", t.req.ID)
	return out
}

func (t *try) trueOutcome(err error) error {
	if t.mayHaveRun {
		if errors.Is(err, ErrNotRun) {
			return fmt.Errorf("%w: an earlier attempt may have run", ErrUnknown)
		}
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if errors.Is(err, ErrNotRun) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrAttempts, err)
}

// attempt sends the request to one endpoint; the result is nil when no endpoint was found.
func (t *try) attempt(ctx context.Context) (ports.Answer, attemptResult, error) {
	clock := t.router.cfg.Clock
	b, err := t.acquire(ctx)
	if err != nil {
		return ports.Answer{}, nil, err
	}
	t.last = b.id
	call := t.call(ctx, b)
	t.checkBeforeSend(b)
	started := clock.Now()
	answer, err := t.router.cfg.Endpoint.Send(ctx, call)
	answer, err = t.checkAnswer(call, answer, err)
	result := resultOf(answer, err)
	t.settle(result, clock.Since(started))
	if t.group.release(b, result, t.router.cfg.Share, clock.Now()) {
		t.router.cfg.Endpoint.CloseIdleConnections(call.Address)
	}
	return answer, result, err
}

func (t *try) acquire(ctx context.Context) (*backend, error) {
	now := t.router.cfg.Clock.Now()
	deadline, _ := ctx.Deadline()
	if target := now.Add(t.req.Target); t.req.Target > 0 && target.Before(deadline) {
		deadline = target
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	w := &waiter{team: t.req.Team, deadline: deadline, exclude: t.last}
	return t.group.acquire(ctx, w, now)
}

func (t *try) call(ctx context.Context, b *backend) ports.Call {
	return ports.Call{
		Address: b.address, Attempt: t.router.attemptID(), Class: t.req.Class, Team: t.req.Team, Body: t.req.Body,
		Probe: !t.req.Idempotent, Timeout: t.timeout(ctx), RequestID: t.req.ID,
	}
}

// timeout gives the first try of an idempotent request only as long as its class usually takes, because its
// connection may be silent; the last try gets all the time that is left.
func (t *try) timeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if !t.req.Idempotent || t.retried {
		return left
	}
	if first := t.group.latency.firstTry(); first > 0 {
		return min(first, left)
	}
	return left
}

// attemptID returns an identifier that no other attempt of any instance has.
func (r *Router) attemptID() string {
	return string(r.cfg.Instance) + "-" + strconv.FormatInt(r.started, 36) + "-" +
		strconv.FormatInt(r.attempts.Add(1), 36)
}

// checkBeforeSend asserts the invariants that hold at the moment of sending.
func (t *try) checkBeforeSend(b *backend) {
	check := t.router.cfg.Invariants
	check.Check(invar.AtMostOnce, t.req.Idempotent || !t.mayHaveRun, "request %q would be sent again", t.req.ID)
	leaving := t.group.leavingFor(b, t.router.cfg.Clock.Now())
	check.Check(invar.LeavingEndpoint, leaving <= leavingBound, "endpoint %s is leaving since %s", b.id, leaving)
}

// checkAnswer drops an answer to another attempt.
func (t *try) checkAnswer(call ports.Call, answer ports.Answer, err error) (ports.Answer, error) {
	own := err != nil || answer.Attempt == call.Attempt
	t.router.cfg.Invariants.Check(invar.WholeAnswer, own, "attempt %s got the answer to %s", call.Attempt, answer.Attempt)
	if !own {
		return ports.Answer{}, fmt.Errorf("%w: it belongs to another attempt", ports.ErrNoAnswer)
	}
	return answer, err
}

func (t *try) settle(result attemptResult, took time.Duration) {
	switch result.(type) {
	case answered:
		t.mayHaveRun = true
		t.group.latency.record(took)
	case noAnswer:
		t.mayHaveRun = true
	}
}

// resultOf classifies the end of an attempt; an error that names no certain end counts as "no answer".
func resultOf(answer ports.Answer, err error) attemptResult {
	switch {
	case err == nil:
		return answered{busy: answer.Busy}
	case errors.Is(err, ports.ErrBusy):
		return busy{}
	case errors.Is(err, ports.ErrLeaving):
		return leaving{}
	case errors.Is(err, ports.ErrNotSent):
		return notSent{}
	default:
		return noAnswer{}
	}
}
