package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// restart starts the worker's next incarnation; the owner doesn't know of it until its first report.
func (h *harness) restart(id model.WorkerID) {
	h.incarnation[id]++
	h.clock[id] = 0
}

// requireNoSecondRun lets time pass, while the other workers report, and requires that no second run starts until then. Commands
// that repeat the first run's get no answer.
func (h *harness) requireNoSecondRun(length time.Duration, others ...model.WorkerID) {
	h.t.Helper()
	for end := h.now + length; h.now < end; {
		h.advance(100 * time.Millisecond)
		for _, id := range others {
			h.report(id, agent.Report{})
		}
		commands := h.nextCommands()
		for _, cmd := range commands.Starts {
			assert.Equal(h.t, cmd.Start.Run, 1, "the first run may still be on its worker")
			h.shard.ApplyStartResult(cmd, 0, agent.ErrNoAnswer, h.now)
		}
		for _, cmd := range commands.Stops {
			h.shard.ApplyStopResult(cmd, 0, agent.ErrNoAnswer, h.now)
		}
	}
}

// otherThan returns the workers except one.
func (h *harness) otherThan(id model.WorkerID) []model.WorkerID {
	var others []model.WorkerID
	for _, w := range h.workers {
		if w != id {
			others = append(others, w)
		}
	}
	return others
}

func running(cmd StartCommand) agent.Report {
	return agent.Report{Running: []agent.ActiveRun{{Task: cmd.Start.Task, Run: cmd.Start.Run, Percent: 1}}}
}

// TestRunBoundToFormerIncarnationIsRestored guards against a second run after a takeover: the start of a run reached the next
// incarnation of its worker, and a later run was recorded with that incarnation.
func TestRunBoundToFormerIncarnationIsRestored(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 1)
	id := starts[0].Target.ID
	h.restart(id)
	h.shard.ApplyStartResult(starts[0], time.Millisecond, nil, h.now)
	progress := h.shard.jobs["j"].progress()
	h.report(id, running(starts[0]))
	later := work.Job{ID: "k", Queue: testQueue, Team: "north", Stages: []work.Stage{tasks(1)}, Accepted: h.wall}
	h.takeOver(RecordedState{
		Jobs: []work.Job{h.shard.jobs["j"].spec, later},
		Progress: map[model.JobID]work.Progress{
			"j": progress,
			"k": {Begun: true, Tasks: []work.TaskProgress{{
				LastRun: 1, Bindings: []work.Binding{{Run: 1, Worker: id, Incarnation: h.incarnation[id]}},
			}}},
		},
	})
	h.requireNoSecondRun(5*time.Second, h.otherThan(id)...)
}

// TestGangRecordedInPartIsDone guards against a gang that never ends: the former owner recorded the gang's success for some of
// the tasks only.
func TestGangRecordedInPartIsDone(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	gang := tasks(2)
	gang.Gang = true
	h.takeOver(RecordedState{
		Jobs: []work.Job{{ID: "j", Queue: testQueue, Team: "north", Stages: []work.Stage{gang}, Accepted: h.wall}},
		Progress: map[model.JobID]work.Progress{"j": {Begun: true, Tasks: []work.TaskProgress{
			{Index: 0, LastRun: 1, Done: true}, {Index: 1, LastRun: 1},
		}}},
	})
	for _, id := range h.workers {
		h.report(id, agent.Report{})
	}
	assert.Equal(t, len(h.confirmStarts()), 0)
	h.requireState(work.StateCompleted)
}

// TestReportOverlappedByStartProvesNothing guards against a second run while the first is on its worker: a report was
// generated before the start and applied after its answer, and the worker has restarted.
func TestReportOverlappedByStartProvesNothing(t *testing.T) {
	tests := []struct {
		name string
		// former tells that the report is of the former incarnation.
		former bool
	}{
		{"report of the new incarnation", false},
		{"report of the former incarnation", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.clock["w1"] = time.Minute
			h.report("w1", agent.Report{})
			_, ok := h.shard.HeartbeatFor("w1", h.now, true)
			assert.Assert(t, ok)
			slow := agent.Report{Clock: h.clock["w1"] + time.Second, Incarnation: h.incarnation["w1"]}
			h.restart("w1")
			if !tt.former {
				slow = agent.Report{Clock: 20 * time.Millisecond, Incarnation: h.incarnation["w1"]}
			}
			h.clock["w1"] = 50 * time.Millisecond
			h.submitJob(tasks(1))
			first := h.confirmStarts()
			assert.Equal(t, len(first), 1)
			h.shard.ApplyReport("w1", slow, h.now)
			assert.Equal(t, len(h.confirmStarts()), 0, "the first run is on its worker")
			h.report("w1", running(first[0]))
			assert.Equal(t, len(h.confirmStarts()), 0)
			assert.Equal(t, len(h.shard.workers["w1"].unknownRuns), 0)
		})
	}
}

// TestAnswerOfFormerIncarnationHoldsNoRun guards against a task that isn't started again for as long as its worker had been up
// before a restart: the answer to its start came after the next incarnation's report.
func TestAnswerOfFormerIncarnationHoldsNoRun(t *testing.T) {
	h := newHarness(t, "w1")
	h.clock["w1"] = time.Hour
	h.report("w1", agent.Report{})
	h.submitJob(tasks(1))
	first := h.nextCommands().Starts
	assert.Equal(t, len(first), 1)
	h.restart("w1")
	h.report("w1", agent.Report{})
	h.shard.ApplyStartResult(first[0], time.Hour+20*time.Millisecond, nil, h.now)
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.clock["w1"] += 100 * time.Millisecond
		h.report("w1", agent.Report{})
		commands := h.nextCommands()
		for _, stop := range commands.Stops {
			h.shard.ApplyStopResult(stop, h.clock["w1"], nil, h.now)
		}
		if len(commands.Starts) > 0 {
			return
		}
	}
	t.Fatal("the task wasn't started again")
}

// TestLeaseOfRestartedWorkerLastsLonger guards against a second run while the first is on its worker: the worker has restarted
// and shortened the end of a lease, on the clock of the incarnation before, only to its maximum.
func TestLeaseOfRestartedWorkerLastsLonger(t *testing.T) {
	tests := []struct {
		name string
		// reports tells that the new incarnation reports before it falls silent.
		reports bool
	}{
		{"after a report", true},
		{"before its first report", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2")
			// The lease that a former owner may have granted is over.
			h.advance(10 * time.Second)
			for _, id := range h.workers {
				h.clock[id] = time.Minute
				h.report(id, agent.Report{})
			}
			h.submitJob(tasks(1))
			starts := h.nextCommands().Starts
			assert.Equal(t, len(starts), 1)
			id := starts[0].Target.ID
			h.restart(id)
			h.clock[id] = 10 * time.Millisecond
			assert.Assert(t, starts[0].Start.LeaseEnd > h.clock[id]+10*time.Second, "the worker shortens it to 10 s")
			h.shard.ApplyStartResult(starts[0], h.clock[id], nil, h.now)
			if tt.reports {
				h.report(id, running(starts[0]))
			}
			h.requireNoSecondRun(9900*time.Millisecond, h.otherThan(id)...)
		})
	}
}

// TestLateStartMayReachNextIncarnation guards against a second run while a start of the first may still arrive: its worker has
// restarted unnoticed, accepts the start and grants its longest lease.
func TestLateStartMayReachNextIncarnation(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 1)
	h.shard.ApplyStartResult(starts[0], 0, agent.ErrNoAnswer, h.now)
	h.requireNoSecondRun(maxCommandDelay+10*time.Second, h.otherThan(starts[0].Target.ID)...)
}

// TestNoStartWithoutPermissionToRenew guards against a start by an owner that no longer renews leases: a new owner assumes that
// no lease lasts longer than those that the former one may have renewed.
func TestNoStartWithoutPermissionToRenew(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 1)
	h.shard.ApplyStartResult(starts[0], 0, agent.ErrNotSent, h.now)
	for range 11 {
		h.advance(time.Second)
		h.clock["w1"] += time.Second
		_, ok := h.shard.HeartbeatFor("w1", h.now, false)
		assert.Assert(t, ok)
		h.shard.ApplyReport("w1", agent.Report{Clock: h.clock["w1"], Incarnation: h.incarnation["w1"]}, h.now)
		assert.Equal(t, len(h.nextCommands().Starts), 0)
	}
}

// TestLateHeartbeatMayExtendLease guards against a second run while the first is on its worker: a heartbeat without an answer
// arrives late, and the worker counts the lease from then on.
func TestLateHeartbeatMayExtendLease(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	id := starts[0].Target.ID
	h.report(id, running(starts[0]))
	_, ok := h.shard.HeartbeatFor(id, h.now, true)
	assert.Assert(t, ok)
	h.requireNoSecondRun(maxCommandDelay+testLease, h.otherThan(id)...)
}
