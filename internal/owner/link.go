package owner

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/shard"
)

const (
	// holdWait is how long a worker may wait for an end before it answers a hold.
	holdWait = 900 * time.Millisecond
	// idleWait is the same for a worker without runs.
	idleWait = 1800 * time.Millisecond
	// holdPause gathers ends that follow each other, so that they cost one call.
	holdPause = 80 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 250 * time.Millisecond
)

// link holds one worker.
type link struct {
	tenure *tenure
	target agent.Target
	cancel context.CancelFunc
}

// followTargets keeps one link for each worker; the lock is held.
func (t *tenure) followTargets(ctx context.Context) {
	targets := t.shard.Targets()
	if len(targets) == len(t.links) && t.sameTargets(targets) {
		return
	}
	listed := make(map[model.WorkerID]agent.Target, len(targets))
	for _, target := range targets {
		listed[target.ID] = target
	}
	for id, l := range t.links {
		if listed[id] != l.target {
			l.cancel()
			delete(t.links, id)
		}
	}
	for id, target := range listed {
		if t.links[id] != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{tenure: t, target: target, cancel: cancel}
		t.links[id] = l
		go l.run(linkCtx)
	}
}

func (t *tenure) sameTargets(targets []agent.Target) bool {
	for _, target := range targets {
		if l := t.links[target.ID]; l == nil || l.target != target {
			return false
		}
	}
	return true
}

// renewing reports whether leases may be extended: the store has answered within the renewal limit.
func (t *tenure) renewing() bool { return time.Since(t.contact) < t.cfg.Shard.RenewLimit }

func (l *link) run(ctx context.Context) {
	t := l.tenure
	for ctx.Err() == nil {
		t.mu.Lock()
		hold, ok := t.shard.HoldFor(l.target.ID, t.now(), t.renewing())
		busy := t.shard.Busy(l.target.ID)
		t.mu.Unlock()
		if !ok {
			return
		}
		switch {
		case hold.LeaseEnd == 0:
			// The first report is needed at once.
		case busy:
			hold.Wait = holdWait
		default:
			hold.Wait = idleWait
		}
		report, err := t.cfg.Workers.Heartbeat(ctx, l.target, hold)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, agent.ErrFenced):
			t.fence("worker " + string(l.target.ID))
			return
		case err != nil:
			pause.For(ctx, holdRetry)
		default:
			t.mu.Lock()
			t.shard.Reported(l.target.ID, report, t.now())
			t.mu.Unlock()
			t.kick()
			pause.For(ctx, holdPause)
		}
	}
}

// send carries out commands, each in its own goroutine.
func (t *tenure) send(ctx context.Context, orders shard.Orders) {
	for _, o := range orders.Starts {
		go t.runStart(ctx, o)
	}
	for _, o := range orders.Stops {
		go t.runStop(ctx, o)
	}
	t.asks.add(ctx, orders.Asks)
}

func (t *tenure) runStart(ctx context.Context, o shard.StartOrder) {
	clock, err := t.cfg.Workers.Start(ctx, o.Target, o.Start)
	if errors.Is(err, agent.ErrFenced) {
		t.fence("worker " + string(o.Target.ID))
		return
	}
	t.mu.Lock()
	t.shard.Started(o, clock, err, t.now())
	t.mu.Unlock()
	t.kick()
}

func (t *tenure) runStop(ctx context.Context, o shard.StopOrder) {
	clock, err := t.cfg.Workers.Stop(ctx, o.Target, o.Stop)
	if errors.Is(err, agent.ErrFenced) {
		t.fence("worker " + string(o.Target.ID))
		return
	}
	t.mu.Lock()
	t.shard.Stopped(o, clock, err, t.now())
	t.mu.Unlock()
	t.kick()
}
