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

// requestRun runs one request in a sequence of attempts, each at a different endpoint if possible.
type requestRun struct {
	router *Router
	group  *group
	req    Request
	// mayHaveRun is set once an attempt was sent and not refused.
	mayHaveRun bool
	// unanswered is set once an attempt got no answer.
	unanswered   bool
	lastEndpoint model.EndpointID
}

func (r *requestRun) run(ctx context.Context) (ports.Answer, error) {
	for range r.router.cfg.MaxAttempts {
		answer, result, err := r.attempt(ctx)
		if err == nil {
			return answer, nil
		}
		if result == nil || !r.mayRetry(ctx, result) {
			return ports.Answer{}, r.callerError(err)
		}
	}
	return ports.Answer{}, r.callerError(ErrAttemptsExhausted)
}

// mayRetry reports whether another attempt is allowed after one that ended with result.
func (r *requestRun) mayRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil {
		return false
	}
	switch result.(type) {
	case busy, leaving:
		// The endpoint didn't run the request, and acquire waits for a free slot, so these retries can't add to an
		// overload.
		return true
	case notSent:
		return r.router.budget.withdraw()
	case noAnswer:
		r.unanswered = true
		return r.req.Idempotent && r.router.budget.withdraw()
	default:
		return false
	}
}

// callerError returns the error for the caller. It is ErrNotRun only if no attempt may have run.
func (r *requestRun) callerError(err error) error {
	out := r.classifyError(err)
	r.router.cfg.Invariants.Check(invar.TrueRefusal, !r.mayHaveRun || !errors.Is(out, ErrNotRun),
		"request %q may have run but was refused as not run", r.req.ID)
	return out
}

func (r *requestRun) classifyError(err error) error {
	if r.mayHaveRun {
		if errors.Is(err, ErrNotRun) {
			return fmt.Errorf("%w: an earlier attempt may have run", ErrUnknownOutcome)
		}
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if errors.Is(err, ErrNotRun) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrAttemptsExhausted, err)
}

// attempt sends the request to one endpoint; the result is nil if no endpoint was acquired.
func (r *requestRun) attempt(ctx context.Context) (ports.Answer, attemptResult, error) {
	clock := r.router.cfg.Clock
	b, err := r.acquire(ctx)
	if err != nil {
		return ports.Answer{}, nil, err
	}
	r.lastEndpoint = b.id
	call := r.newCall(ctx, b)
	r.checkBeforeSend(b)
	started := clock.Now()
	answer, err := r.router.cfg.Endpoint.Send(ctx, call)
	answer, err = r.checkAnswer(call, answer, err)
	result := resultOf(answer, err)
	r.recordResult(result, clock.Since(started))
	if r.group.release(b, result, r.router.cfg.Share, clock.Now()) {
		r.router.cfg.Endpoint.CloseIdleConnections(call.Address)
	}
	return answer, result, err
}

func (r *requestRun) acquire(ctx context.Context) (*backend, error) {
	now := r.router.cfg.Clock.Now()
	deadline, _ := ctx.Deadline()
	if target := now.Add(r.req.Target); r.req.Target > 0 && target.Before(deadline) {
		deadline = target
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	w := &waiter{team: r.req.Team, deadline: deadline, exclude: r.lastEndpoint}
	return r.group.acquire(ctx, w, now)
}

func (r *requestRun) newCall(ctx context.Context, b *backend) ports.Call {
	return ports.Call{
		Address: b.address, Attempt: r.router.attemptID(), Class: r.req.Class, Team: r.req.Team, Body: r.req.Body,
		Probe: !r.req.Idempotent, Timeout: r.timeout(ctx), RequestID: r.req.ID,
	}
}

// timeout returns the time limit of the next attempt. The first attempt of an idempotent request gets only as long as
// requests of its class usually take, since its connection may be dead; a later one gets all the remaining time.
func (r *requestRun) timeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if !r.req.Idempotent || r.unanswered {
		return left
	}
	if first := r.group.latency.firstAttemptTimeout(); first > 0 {
		return min(first, left)
	}
	return left
}

// attemptID returns an ID that is unique among the attempts of all instances.
func (r *Router) attemptID() string {
	return string(r.cfg.Instance) + "-" + strconv.FormatInt(r.startTime, 36) + "-" +
		strconv.FormatInt(r.attempts.Add(1), 36)
}

// checkBeforeSend checks the invariants that must hold when an attempt is sent.
func (r *requestRun) checkBeforeSend(b *backend) {
	check := r.router.cfg.Invariants
	check.Check(invar.AtMostOnce, r.req.Idempotent || !r.mayHaveRun, "request %q would be sent again", r.req.ID)
	leaving := r.group.leavingFor(b, r.router.cfg.Clock.Now())
	check.Check(invar.LeavingEndpoint, leaving <= maxLeavingDelay, "endpoint %s has been leaving for %s", b.id, leaving)
}

// checkAnswer rejects an answer that belongs to another attempt.
func (r *requestRun) checkAnswer(call ports.Call, answer ports.Answer, err error) (ports.Answer, error) {
	matches := err != nil || answer.Attempt == call.Attempt
	r.router.cfg.Invariants.Check(invar.WholeAnswer, matches, "attempt %s got the answer to %s", call.Attempt, answer.Attempt)
	if !matches {
		return ports.Answer{}, fmt.Errorf("%w: it belongs to another attempt", ports.ErrNoAnswer)
	}
	return answer, err
}

func (r *requestRun) recordResult(result attemptResult, took time.Duration) {
	switch result.(type) {
	case answered:
		r.mayHaveRun = true
		r.group.latency.record(took)
	case noAnswer:
		r.mayHaveRun = true
	}
}

// resultOf classifies the error of an attempt; an unknown error means that the request may have run.
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
