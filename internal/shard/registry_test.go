package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// silentWorker is the worker that falls silent while a task runs there.
const silentWorker, otherWorker model.WorkerID = "w1", "w2"

const (
	// entryExpiry is how long after its last heartbeat a silent worker's entry is removed.
	entryExpiry = 4500 * time.Millisecond
	// doubtDelay is how long after a worker has fallen silent its owner notices that a command got no answer.
	doubtDelay = 700 * time.Millisecond
)

// entryOutage says from when to when, after a worker has fallen silent, the registry has no entry of it, and no read of the registry
// succeeds. A zero end means never.
type entryOutage struct {
	missingFrom, missingUntil time.Duration
	downFrom, downUntil       time.Duration
}

// outlastSilence lets the worker be silent and the owner notice after doubtDelay what became of the commands that were under way. It
// returns after which time the owner has given up the worker's runs, or limit if it hasn't by then.
func (h *harness) outlastSilence(o entryOutage, notice func(), limit time.Duration) time.Duration {
	h.t.Helper()
	during := func(at, from, until time.Duration) bool { return at >= from && (until == 0 || at < until) }
	workers, begun := h.workers, h.now
	for h.now-begun < limit {
		h.advance(50 * time.Millisecond)
		at := h.now - begun
		if notice != nil && at >= doubtDelay {
			notice()
			notice = nil
		}
		h.workers = nil
		for _, id := range workers {
			if id != silentWorker || !during(at, o.missingFrom, o.missingUntil) {
				h.workers = append(h.workers, id)
			}
		}
		if h.registryDown = o.downFrom > 0 && during(at, o.downFrom, o.downUntil); !h.registryDown {
			h.register()
		}
		for _, id := range workers {
			if id != silentWorker {
				h.clock[id] += 50 * time.Millisecond
				h.report(id, agent.Report{})
			}
		}
		h.answerAllButSilent()
		if w := h.shard.workers[silentWorker]; w == nil || len(w.attempts) == 0 {
			return h.now - begun
		}
	}
	return limit
}

// answerAllButSilent answers the commands that are sent now with success, but for those to the silent worker.
func (h *harness) answerAllButSilent() {
	commands := h.nextCommands()
	for _, cmd := range commands.Starts {
		err := error(nil)
		if cmd.Target.ID == silentWorker {
			err = agent.ErrNoAnswer
		}
		h.shard.ApplyStartResult(cmd, h.clock[cmd.Target.ID], err, h.now)
	}
	for _, cmd := range commands.Stops {
		assert.Equal(h.t, cmd.Target.ID, silentWorker)
		h.shard.ApplyStopResult(cmd, 0, agent.ErrNoAnswer, h.now)
	}
}

// startOnSilentWorker starts a task on the worker that will be silent, beside which another worker has room.
func startOnSilentWorker(t *testing.T) (*harness, StartCommand) {
	t.Helper()
	h := newAgedHarness(t, silentWorker)
	h.submitJob(tasks(1))
	running := h.confirmStarts()[0]
	h.report(silentWorker, agent.Report{Running: []agent.ActiveRun{{Task: running.Start.Task, Run: running.Start.Run}}})
	h.workers, h.incarnation[otherWorker] = append(h.workers, otherWorker), 1
	h.register()
	h.report(otherWorker, agent.Report{})
	return h, running
}

// leaveRenewalInDoubt sends a renewal and returns what tells the owner that it got no answer.
func (h *harness) leaveRenewalInDoubt() func() {
	h.renewal(silentWorker)
	return func() { h.shard.HeartbeatFailed(silentWorker, agent.ErrNoAnswer, h.now) }
}

// TestCommandInDoubtDoesNotOutliveItsWorker guards against tasks of a crashed worker that wait for a command which was under way at
// the crash, though the worker's entry is gone.
func TestCommandInDoubtDoesNotOutliveItsWorker(t *testing.T) {
	tests := []struct {
		name string
		// crash returns what the owner notices some time after the crash.
		crash func(h *harness, running StartCommand) func()
		most  time.Duration
	}{
		{"renewal", func(h *harness, _ StartCommand) func() { return h.leaveRenewalInDoubt() }, 9 * time.Second},
		{"renewal and stop", func(h *harness, running StartCommand) func() {
			notice := h.leaveRenewalInDoubt()
			h.shard.stopRun(running.attempt, h.now)
			stop := h.nextCommands().Stops[0]
			return func() {
				notice()
				h.shard.ApplyStopResult(stop, 0, agent.ErrNoAnswer, h.now)
			}
		}, 9 * time.Second},
		// The start may have been answered with the longest lease just before the crash.
		{"renewal and start with a ticket", func(h *harness, _ StartCommand) func() {
			h.submitAs("second", "advised", tasks(1))
			for _, call := range h.nextAdviceCalls() {
				h.shard.ApplyAdvice(call, agent.Advice{
					Tickets: map[model.WorkerID]string{silentWorker: "ticket"}, Valid: model.Duration(10 * time.Second),
				}, nil, h.now)
			}
			start := h.nextCommands().Starts[0]
			notice := h.leaveRenewalInDoubt()
			return func() {
				notice()
				h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
			}
		}, 12 * time.Second},
		// The start may reach the next incarnation until it is lost for certain.
		{"renewal and start without a ticket", func(h *harness, _ StartCommand) func() {
			h.submitAs("second", testQueue, tasks(1))
			start := h.nextCommands().Starts[0]
			assert.Equal(h.t, start.Target.ID, silentWorker)
			notice := h.leaveRenewalInDoubt()
			return func() {
				notice()
				h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
			}
		}, maxCommandDelay + 5*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, running := startOnSilentWorker(t)
			notice := tt.crash(h, running)
			waited := h.outlastSilence(entryOutage{missingFrom: entryExpiry}, notice, 40*time.Second)
			assert.Assert(t, waited < tt.most, "runs of the crashed worker are given up after %v", waited)
		})
	}
}

// TestWorkerWithoutEntryKeepsItsLease guards against two runs of a task at the same time: a worker that is only cut off, and whose
// entry is gone, runs on until its lease ends.
func TestWorkerWithoutEntryKeepsItsLease(t *testing.T) {
	h, _ := startOnSilentWorker(t)
	waited := h.outlastSilence(entryOutage{missingFrom: 50 * time.Millisecond}, h.leaveRenewalInDoubt(), 40*time.Second)
	assert.Assert(t, waited > onSlowestClock(testLease), "the run may be started again after %v and goes on until %v", waited,
		onSlowestClock(testLease))
}

// TestUnavailableRegistryProvesNoWorkerGone guards against two runs of a task at the same time: the registry is unavailable, so that
// the entry of a worker which lives can't come back, and a late renewal lets the worker's runs go on.
func TestUnavailableRegistryProvesNoWorkerGone(t *testing.T) {
	tests := []struct {
		name   string
		outage entryOutage
	}{
		{"for long", entryOutage{missingFrom: 3 * time.Second, downFrom: 3100 * time.Millisecond, downUntil: 21 * time.Second}},
		{"until shortly before the lease ends", entryOutage{
			missingFrom: 3 * time.Second, missingUntil: 8500 * time.Millisecond,
			downFrom: 3100 * time.Millisecond, downUntil: 6700 * time.Millisecond,
		}},
		{"since shortly before the lease ends", entryOutage{missingFrom: time.Second, downFrom: 6800 * time.Millisecond}},
		{"not at all, but the entry comes back", entryOutage{missingFrom: 3 * time.Second, missingUntil: 5900 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := startOnSilentWorker(t)
			// The renewal arrives just before the lease ends, which then counts from its arrival.
			runsUntil := 2 * onSlowestClock(testLease)
			waited := h.outlastSilence(tt.outage, h.leaveRenewalInDoubt(), 40*time.Second)
			assert.Assert(t, waited > runsUntil, "the run may be started again after %v and goes on until %v", waited, runsUntil)
		})
	}
}

// TestRestartedWorkerIsNotGone guards against a worker that counts as gone for good, though its next incarnation has an entry.
func TestRestartedWorkerIsNotGone(t *testing.T) {
	h, _ := startOnSilentWorker(t)
	h.outlastSilence(entryOutage{missingFrom: time.Second}, nil, 6*time.Second)
	assert.Assert(t, h.shard.workers[silentWorker].gone)
	h.workers = []model.WorkerID{silentWorker, otherWorker}
	h.register()
	assert.Assert(t, !h.shard.workers[silentWorker].gone)
	h.advance(time.Second)
	assert.Assert(t, !h.shard.workers[silentWorker].gone)
}

// TestLateStartBeforeWorkerWasGone guards against two runs of a task at the same time: a late start reaches the next incarnation of its
// worker, which then loses its entry and runs on until its lease ends.
func TestLateStartBeforeWorkerWasGone(t *testing.T) {
	h := newAgedHarness(t, silentWorker)
	h.submitJob(tasks(1))
	start := h.nextCommands().Starts[0]
	h.workers, h.incarnation[otherWorker] = append(h.workers, otherWorker), 1
	h.register()
	h.report(otherWorker, agent.Report{})
	notice := func() { h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now) }
	// The start arrives just before the entry is removed.
	const missingFrom = 12 * time.Second
	waited := h.outlastSilence(entryOutage{missingFrom: missingFrom}, notice, 40*time.Second)
	runsUntil := missingFrom + onSlowestClock(h.shard.cfg.MaxLease)
	assert.Assert(t, waited > runsUntil, "the task may be started again after %v and runs until %v", waited, runsUntil)
}
