package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// lateStartGivenUp returns a start to w1 that stayed unanswered, and whose run was given up as the present incarnation refuses it.
func lateStartGivenUp(t *testing.T, h *harness) StartCommand {
	t.Helper()
	h.register("w2")
	h.submitJob(tasks(1))
	start := h.nextCommands().Starts[0]
	assert.Equal(t, start.Target.ID, model.WorkerID("w1"))
	h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
	h.shard.stopRun(h.shard.jobs["j"].stages[0].tasks[0].attempts[0], h.now)
	stop := h.nextCommands().Stops[0]
	h.clock["w1"] += time.Millisecond
	h.shard.ApplyStopResult(stop, h.clock["w1"], nil, h.now)
	h.report("w1", agent.Report{})
	assert.Equal(t, len(h.shard.jobs["j"].stages[0].tasks[0].attempts), 0)
	h.register()
	return start
}

// TestLateStartWaitIsLifted guards against a task that waits for good after a late start of it is lost: another task of its stage was
// placed meanwhile.
func TestLateStartWaitIsLifted(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2", "w3")
	st := tasks(2)
	st.Service = true
	st.Size.Cores = 3000
	h.submitJob(st)
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 2)
	lost, other := starts[0], starts[1]
	h.shard.ApplyStartResult(other, h.clock[other.Target.ID], nil, h.now)
	h.shard.ApplyStartResult(lost, 0, agent.ErrNoAnswer, h.now)
	// The start is repeated, refused and stopped; the worker reports that it has no such run.
	h.shard.stopRun(h.shard.jobs["j"].stages[0].tasks[lost.Start.Task.Index].attempts[0], h.now)
	stop := h.nextCommands().Stops[0]
	h.clock[lost.Target.ID] += time.Millisecond
	h.shard.ApplyStopResult(stop, h.clock[lost.Target.ID], nil, h.now)
	h.report(lost.Target.ID, agent.Report{})
	// The other one fails in between, and is placed again.
	h.report(other.Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(other, agent.OutcomeStopped)}})
	again := h.confirmStarts()
	assert.Equal(t, len(again), 1)
	running := map[model.WorkerID][]agent.ActiveRun{
		again[0].Target.ID: {{Task: again[0].Start.Task, Run: again[0].Start.Run}},
	}
	begun := h.now
	for h.now-begun < time.Minute {
		h.advance(250 * time.Millisecond)
		for _, id := range h.workers {
			h.clock[id] += 250 * time.Millisecond
			h.report(id, agent.Report{Running: running[id]})
		}
		if len(h.confirmStarts()) > 0 {
			return
		}
	}
	t.Fatal("the task whose late start is lost idles for a minute on free workers")
}

// TestLateStartOnSilentWorkerOutlastsItsArrival guards against two runs of a task at the same time: a late start reaches the next
// incarnation of its worker, which is silent and keeps the run for the longest lease.
func TestLateStartOnSilentWorkerOutlastsItsArrival(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	lateStartGivenUp(t, h)
	lost := h.now
	h.restart("w1")
	h.startElsewhere("w1", 60*time.Second)
	const maxLease = 10200 * time.Millisecond
	assert.Assert(t, h.now-lost > maxCommandDelay+maxLease,
		"started elsewhere %v after the start that arrives up to 15 s late and then holds a lease for %v", h.now-lost, maxLease)
}

// TestReportedRunHoldsItsTask guards against a run beside one that a worker reports, but that the owner has given up.
func TestReportedRunHoldsItsTask(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	start := lateStartGivenUp(t, h)
	h.restart("w1")
	running := agent.Report{Running: []agent.ActiveRun{{Task: start.Start.Task, Run: start.Start.Run}}}
	h.advance(maxCommandDelay - 4*time.Second)
	begun := h.now
	for h.now-begun < 10*time.Second {
		h.advance(250 * time.Millisecond)
		for _, id := range h.workers {
			h.clock[id] += 250 * time.Millisecond
		}
		h.report("w1", running)
		h.report("w2", agent.Report{})
		commands := h.nextCommands()
		for _, cmd := range commands.Stops {
			// The stops get no answer.
			h.shard.ApplyStopResult(cmd, 0, agent.ErrNoAnswer, h.now)
		}
		for _, cmd := range commands.Starts {
			t.Fatalf("run %d starts on %s while run %d is reported as running on w1", cmd.Start.Run, cmd.Target.ID, start.Start.Run)
		}
	}
}

// TestAnswerFromBeforeRestartVoidsNothing guards against commands that count as void, though the incarnation that may still carry
// them out has seen no later one.
func TestAnswerFromBeforeRestartVoidsNothing(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	h.register("w2")
	h.submitJob(tasks(3))
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 3)
	w := h.shard.workers["w1"]
	// A heartbeat with the same generation leaves and reaches the next incarnation, in time for its answer.
	h.renewal("w1")
	// One start stays unanswered (generation g), so that the next commands have g+1; a stop with it is answered by the old incarnation.
	h.shard.ApplyStartResult(starts[0], 0, agent.ErrNoAnswer, h.now)
	h.shard.ApplyStartResult(starts[2], 0, agent.ErrUnhealthy, h.now)
	h.shard.stopRun(h.shard.jobs["j"].stages[0].tasks[starts[0].Start.Task.Index].attempts[0], h.now)
	stops := h.nextCommands().Stops
	assert.Equal(t, len(stops), 1)
	oldClock := h.clock["w1"]
	// The next incarnation answers a start of generation g and then the heartbeat of generation g.
	h.restart("w1")
	h.shard.ApplyStartResult(starts[1], 0, nil, h.now)
	h.clock["w1"] += 10 * time.Millisecond
	h.advance(10 * time.Millisecond)
	h.shard.ApplyReport("w1", agent.Report{
		Clock: h.clock["w1"], Incarnation: h.incarnation["w1"],
		Running: []agent.ActiveRun{{Task: starts[1].Start.Task, Run: starts[1].Start.Run}},
	}, h.now)
	before := len(w.grants)
	assert.Assert(t, before > 0)
	// Only now is the old incarnation's answer to the stop applied.
	h.shard.ApplyStopResult(stops[0], oldClock, nil, h.now)
	assert.Equal(t, len(w.grants), before, "the incarnation that reported last has seen generation g only")
}

// TestGrantsAreBounded guards against memory that grows with each unanswered command once the generations are used up.
func TestGrantsAreBounded(t *testing.T) {
	h := newHarness(t, "w1")
	w := h.shard.workers["w1"]
	w.generation = maxGeneration
	for range 1000 {
		_, _ = h.shard.HeartbeatFor("w1", h.now, true)
		h.advance(2 * time.Second)
		h.shard.HeartbeatFailed("w1", agent.ErrNoAnswer, h.now)
		h.clock["w1"] += time.Second
		h.report("w1", agent.Report{})
	}
	assert.Assert(t, len(w.grants) < 100, "%d grants", len(w.grants))
}

// TestLateRepeatOfStartMayExtendLease guards against two runs of a task at the same time: the repeat of a start is carried out late,
// with an expired ticket, of a run that the first start has brought to its worker. The lease of all runs there may count from then on.
func TestLateRepeatOfStartMayExtendLease(t *testing.T) {
	h, _ := startOnSilentWorker(t)
	h.submitAs("second", "advised", tasks(1))
	for _, call := range h.nextAdviceCalls() {
		h.shard.ApplyAdvice(call, agent.Advice{
			Tickets: map[model.WorkerID]string{silentWorker: "ticket"}, Valid: model.Duration(2 * time.Second),
		}, nil, h.now)
	}
	for range 2 {
		starts := h.nextCommands().Starts
		assert.Equal(t, len(starts), 1)
		h.advance(commandRetryDelay)
		h.shard.ApplyStartResult(starts[0], 0, agent.ErrNoAnswer, h.now)
		h.advance(commandRetryDelay)
	}
	runsUntil := 2 * onSlowestClock(testLease)
	waited := h.outlastSilence(entryOutage{missingFrom: time.Hour}, nil, 40*time.Second)
	assert.Assert(t, waited > runsUntil, "the run may be started again after %v and goes on until %v", waited, runsUntil)
}
