package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestHeldJobIsNeitherForgottenNorRunAgain guards against an owner that can't decode a job's record and reports the job as
// unknown, starts it anew, stops its runs or lets their ends be forgotten.
func TestHeldJobIsNeitherForgottenNorRunAgain(t *testing.T) {
	tests := []struct {
		name     string
		restored func(h *harness) RecordedState
	}{
		{"progress is unreadable", func(h *harness) RecordedState {
			return RecordedState{Jobs: []work.Job{h.shard.jobs["j"].spec}, Unreadable: []model.JobID{"j"}}
		}},
		{"submission is unreadable", func(h *harness) RecordedState {
			return RecordedState{
				Progress:   map[model.JobID]work.Progress{"j": h.progress("j")},
				Unreadable: []model.JobID{"j"},
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.submitJob(tasks(2))
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 2)
			spec := h.shard.jobs["j"].spec
			h.takeOver(tt.restored(h))
			running := agent.ActiveRun{Task: starts[0].Start.Task, Run: 1}
			report := agent.Report{
				Running: []agent.ActiveRun{running},
				Ended:   []agent.EndedRun{{Number: 1, Task: starts[1].Start.Task, Run: 1, Outcome: agent.OutcomeDone}},
			}
			for range 3 {
				h.report("w1", report)
				h.shard.Submit(spec, h.now)
				commands := h.nextCommands()
				assert.Equal(t, len(commands.Starts)+len(commands.Stops), 0)
				h.requireState(work.StateRunning)
				assert.Equal(t, h.renewal("w1").Acked, int64(0))
			}
			assert.Assert(t, !h.shard.workers["w1"].usable(h.now), "the size of the held run is unknown")
			h.report("w1", agent.Report{Ended: report.Ended})
			assert.Assert(t, h.shard.workers["w1"].usable(h.now))
		})
	}
}

// TestFinalStateOutlivesUnreadableSubmission guards against a completed job that is held.
func TestFinalStateOutlivesUnreadableSubmission(t *testing.T) {
	h := newHarness(t, "w1")
	h.takeOver(RecordedState{
		Progress:   map[model.JobID]work.Progress{"j": {Final: work.StateCompleted, Begun: true}},
		Unreadable: []model.JobID{"j"},
	})
	h.requireState(work.StateCompleted)
}
