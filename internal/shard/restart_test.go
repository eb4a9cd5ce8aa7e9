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

// requireNoSecondRun lets time pass, while the other workers report, and requires that no task starts until then.
func (h *harness) requireNoSecondRun(length time.Duration, others ...model.WorkerID) {
	h.t.Helper()
	for end := h.now + length; h.now < end; {
		h.advance(100 * time.Millisecond)
		for _, id := range others {
			h.report(id, agent.Report{})
		}
		assert.Equal(h.t, len(h.confirmStarts()), 0, "the first run may still be on its worker")
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
