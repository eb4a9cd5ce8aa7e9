package owner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/shard"
)

const (
	// busyWaitPerWorker times the number of workers is how long a worker with runs may delay its answer to a heartbeat while no run
	// ends, so that the owner gets at most 600 such answers a second. It is at least the time between two renewals, and at most
	// idleWait.
	busyWaitPerWorker = time.Second / 600
	// idleWait is the same for a worker without runs.
	idleWait = 1800 * time.Millisecond
	// heartbeatPause is the time between heartbeats, so that one answer covers runs that end shortly after each other.
	heartbeatPause = 80 * time.Millisecond
	// maxCommitWait bounds how long the next heartbeat waits for the commit of ends that the last one brought. A worker with
	// ends that aren't acknowledged answers at once, again and again.
	maxCommitWait = 500 * time.Millisecond
	// heartbeatRetryDelay is the pause after a heartbeat without an answer.
	heartbeatRetryDelay = 250 * time.Millisecond
)

// workerSession sends heartbeats to one worker and applies its reports.
type workerSession struct {
	ownership *ownership
	target    agent.Target
	cancel    context.CancelFunc
}

// syncSessions keeps one session for each worker of the shard; the lock is held.
func (ow *ownership) syncSessions(ctx context.Context) {
	version := ow.shard.TargetsVersion()
	if version == ow.sessionsVersion {
		return
	}
	ow.sessionsVersion = version
	targets := ow.shard.Targets()
	listed := make(map[model.WorkerID]agent.Target, len(targets))
	for _, target := range targets {
		listed[target.ID] = target
	}
	for _, id := range slices.Sorted(maps.Keys(ow.sessions)) {
		if s := ow.sessions[id]; listed[id] != s.target {
			s.cancel()
			delete(ow.sessions, id)
		}
	}
	for _, target := range targets {
		if ow.sessions[target.ID] != nil {
			continue
		}
		sessionCtx, cancel := context.WithCancel(ctx)
		s := &workerSession{ownership: ow, target: target, cancel: cancel}
		ow.sessions[target.ID] = s
		go s.run(sessionCtx)
	}
}

// busyWaitFor returns how long a worker with runs may delay its answer in a fleet of the given size.
func busyWaitFor(workers int, renewInterval time.Duration) time.Duration {
	return min(max(renewInterval-2*heartbeatPause, time.Duration(workers)*busyWaitPerWorker), idleWait)
}

// endsAcknowledgeable reports whether the ends that the worker has reported can be acknowledged.
func (s *workerSession) endsAcknowledgeable() bool {
	s.ownership.mu.Lock()
	defer s.ownership.mu.Unlock()
	return s.ownership.shard.EndsAcknowledgeable(s.target.ID, s.ownership.now())
}

func (s *workerSession) run(ctx context.Context) {
	ow := s.ownership
	for ctx.Err() == nil {
		ow.step(Step{Name: "prepare heartbeat", Target: s.target})
		ow.mu.Lock()
		if ctx.Err() != nil {
			// Another session has taken the place of this one, which has waited for the lock.
			ow.mu.Unlock()
			return
		}
		heartbeat, ok := ow.shard.HeartbeatFor(s.target.ID, ow.now(), ow.permission.valid(ow.cfg.Uptime()))
		busy, workers := ow.shard.Busy(s.target.ID), len(ow.sessions)
		ow.mu.Unlock()
		if !ok {
			return
		}
		switch {
		case heartbeat.Prompt:
		case busy:
			heartbeat.Wait = busyWaitFor(workers, ow.cfg.Shard.RenewInterval())
		default:
			heartbeat.Wait = idleWait
		}
		ow.step(Step{Name: "send heartbeat", Target: s.target})
		report, err := ow.cfg.Workers.Heartbeat(ctx, s.target, heartbeat)
		ow.step(Step{Name: "apply report", Target: s.target})
		switch {
		case ctx.Err() != nil:
			return
		case ow.fencedByOther(s.target, heartbeat.Token, err):
			return
		case err != nil:
			ow.mu.Lock()
			if ctx.Err() == nil {
				ow.shard.HeartbeatFailed(s.target.ID, err, ow.now())
			}
			ow.mu.Unlock()
			pause.For(ctx, heartbeatRetryDelay)
		default:
			ow.mu.Lock()
			if ctx.Err() == nil {
				ow.shard.ApplyReport(s.target.ID, report, ow.now())
			}
			ow.mu.Unlock()
			ow.signalDecide()
			pause.For(ctx, heartbeatPause)
			for waited := heartbeatPause; waited < maxCommitWait && !s.endsAcknowledgeable() && ctx.Err() == nil; waited += heartbeatPause {
				pause.For(ctx, heartbeatPause)
			}
		}
	}
}

// fencedByOther reports whether a worker refused a command because it has accepted one of a newer owner, and ends the ownership
// then. The owner itself may also have sent a command with a higher token meanwhile.
func (ow *ownership) fencedByOther(worker agent.Target, token int64, err error) bool {
	if !errors.Is(err, agent.ErrFenced) {
		return false
	}
	ow.mu.Lock()
	superseded := ow.shard.Superseded(worker.ID, token)
	ow.mu.Unlock()
	if superseded {
		return false
	}
	ow.fence("worker " + string(worker.ID))
	return true
}

// takeCommands returns the commands to send now. Without permission the starts count as not sent; the lock is held.
func (ow *ownership) takeCommands() shard.Commands {
	// The starts' leases count from a moment before the permission is checked, however late they are sent.
	at := ow.now()
	commands := ow.shard.TakeCommands(at)
	if ow.permission.valid(ow.cfg.Uptime()) {
		return commands
	}
	for _, cmd := range commands.Starts {
		ow.shard.ApplyStartResult(cmd, 0, agent.ErrNotSent, at)
	}
	commands.Starts = nil
	return commands
}

// sendCommands sends commands to workers, each in its own goroutine.
func (ow *ownership) sendCommands(ctx context.Context, commands shard.Commands) {
	for _, cmd := range commands.Starts {
		go ow.runStart(ctx, cmd)
	}
	for _, cmd := range commands.Stops {
		go ow.runStop(ctx, cmd)
	}
}

func (ow *ownership) runStart(ctx context.Context, cmd shard.StartCommand) {
	ow.step(Step{Name: "send start", Target: cmd.Target, Task: cmd.Start.Task, Run: cmd.Start.Run})
	clock, err := ow.sendStart(ctx, cmd)
	ow.step(Step{Name: "apply start result", Target: cmd.Target, Task: cmd.Start.Task, Run: cmd.Start.Run})
	if ow.fencedByOther(cmd.Target, cmd.Start.Token, err) {
		return
	}
	ow.mu.Lock()
	ow.shard.ApplyStartResult(cmd, clock, err, ow.now())
	ow.mu.Unlock()
	ow.signalDecide()
}

// sendStart sends a start unless the permission has run out since the start was taken: the process may have stood still.
func (ow *ownership) sendStart(ctx context.Context, cmd shard.StartCommand) (time.Duration, error) {
	ow.mu.Lock()
	permitted := ow.permission.valid(ow.cfg.Uptime())
	ow.mu.Unlock()
	if !permitted {
		return 0, agent.ErrNotSent
	}
	return ow.cfg.Workers.Start(ctx, cmd.Target, cmd.Start)
}

func (ow *ownership) runStop(ctx context.Context, cmd shard.StopCommand) {
	ow.step(Step{Name: "send stop", Target: cmd.Target, Task: cmd.Stop.Task, Run: cmd.Stop.Run})
	clock, err := ow.cfg.Workers.Stop(ctx, cmd.Target, cmd.Stop)
	ow.step(Step{Name: "apply stop result", Target: cmd.Target, Task: cmd.Stop.Task, Run: cmd.Stop.Run})
	if ow.fencedByOther(cmd.Target, cmd.Stop.Token, err) {
		return
	}
	ow.mu.Lock()
	ow.shard.ApplyStopResult(cmd, clock, err, ow.now())
	ow.mu.Unlock()
	ow.signalDecide()
}
