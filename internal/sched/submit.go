package sched

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

const (
	// maxDoublings limits how often a retry delay is doubled.
	maxDoublings = 6
	// refusalQueue limits the jobs that wait to be refused; a job that finds the queue full is tried again after
	// refusalRetryDelay.
	refusalQueue = 64
	// serviceRetry, doubled for each failure of a service's task up to serviceRetryMax, delays its next attempt.
	serviceRetry    = time.Second
	serviceRetryMax = time.Minute
	// refusalRetryDelay is the delay before the refusal of a job is queued again.
	refusalRetryDelay = time.Minute
)

func (p *Placer) runSubmit(ctx context.Context, batch []*pendingBinding, done *sync.WaitGroup) {
	defer done.Done()
	defer func() { <-p.inFlight }()
	p.submit(ctx, batch)
}

// submit appends the bindings to the log and releases those that had no effect.
func (p *Placer) submit(ctx context.Context, batch []*pendingBinding) {
	ops := make([]record.Op, len(batch))
	for i, b := range batch {
		ops[i] = b.op
	}
	results, err := p.deps.Submit.Submit(ctx, ops...)
	if err != nil {
		p.deps.Log.Warn("bindings may not be recorded", zap.Int("bindings", len(batch)), zap.Error(err))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, b := range batch {
		result := err
		if err == nil {
			result = results[i]
		}
		if result != nil {
			p.bindingRejected(b, result)
		}
	}
}

// bindingRejected releases a binding that was rejected or of which it is unknown whether it was recorded. If the state
// machine still has the task queued, the task is tried again after an exponential backoff.
func (p *Placer) bindingRejected(b *pendingBinding, reason error) {
	countRejection(reason)
	if p.pendingBindings[b.op.Attempt] == b {
		p.releaseBinding(b)
		p.quarantine.TaskNotStarted(b.op.Worker)
	}
	task, spec, ok := p.deps.View.Task(b.task.ID)
	if !ok || task.Phase != state.PhaseQueued || p.queue.Has(task.ID) || p.pendingBindings[task.NextAttempt()] != nil {
		return
	}
	tries := p.rejections[task.ID]
	p.rejections[task.ID] = min(tries+1, maxDoublings)
	wait := p.cfg.RetryDelay << tries
	p.offers.Put(policy.Offer{Task: task, Spec: spec, At: p.deps.Clock.Now().Add(wait)})
}

// runEnds records the ends that workers report.
func (p *Placer) runEnds(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.endsReady:
			p.flushEnds(ctx)
		}
	}
}

// flushEnds submits the pending ends. An end that was not recorded is collected again from the worker's next report,
// unless the state machine holds it by then.
func (p *Placer) flushEnds(ctx context.Context) {
	p.mu.Lock()
	ends := p.pendingEnds
	p.pendingEnds = nil
	p.mu.Unlock()
	if len(ends) == 0 {
		return
	}
	ops := make([]record.Op, len(ends))
	for i, e := range ends {
		ops[i] = e
	}
	results, err := p.deps.Submit.Submit(ctx, ops...)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, e := range ends {
		if err == nil && results[i] == nil {
			endsRecorded.Inc()
			continue
		}
		if err == nil && !errors.Is(results[i], state.ErrNotCurrent) {
			countRejection(results[i])
		}
		if a := p.attempts[e.Attempt]; a != nil {
			a.endPending = false
		}
	}
}

// refusal is the refusal of a job that can never run.
type refusal struct {
	job    model.JobID
	reason string
}

// refuseIfImpossible queues the refusal of a job that is too large for every worker it may use.
func (p *Placer) refuseIfImpossible(spec model.JobSpec, size model.Resources, now time.Time) {
	if !p.unschedulable.Check(spec, size, p.capacityCounts, now) || now.Before(p.refusedUntil[spec.ID]) {
		return
	}
	p.refusedUntil[spec.ID] = now.Add(refusalRetryDelay)
	select {
	case p.refusals <- refusal{job: spec.ID, reason: "it does not fit into any data centre that it may use"}:
	default:
	}
}

func (p *Placer) runRefusals(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-p.refusals:
			p.refuse(ctx, r)
		}
	}
}

// refuse records that the job was refused.
func (p *Placer) refuse(ctx context.Context, r refusal) {
	refusedJobs.Inc()
	p.deps.Log.Warn("job can never run", zap.String("job", string(r.job)), zap.String("reason", r.reason))
	results, err := p.deps.Submit.Submit(ctx, record.JobRefused{Job: r.job, Reason: r.reason})
	if err == nil {
		err = results[0]
	}
	if err != nil {
		p.deps.Log.Warn("job refusal was not recorded", zap.String("job", string(r.job)), zap.Error(err))
	}
}
