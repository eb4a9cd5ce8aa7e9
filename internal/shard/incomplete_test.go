package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestIncompleteReportFreesNoWorker guards against tasks that are started beside a run whose size is unknown, because a report that may
// leave out runs doesn't list it.
func TestIncompleteReportFreesNoWorker(t *testing.T) {
	tests := []struct {
		name     string
		restored RecordedState
	}{
		{"run of an unknown job", RecordedState{}},
		{"run of a held job", RecordedState{Unreadable: []model.JobID{"other"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.takeOver(tt.restored)
			h.report("w1", agent.Report{Running: []agent.ActiveRun{{Task: work.TaskRef{Job: "other"}, Run: 1}}})
			assert.Assert(t, !h.shard.workers["w1"].usable(h.now))
			for range 3 {
				h.report("w1", agent.Report{Incomplete: true})
				assert.Assert(t, !h.shard.workers["w1"].usable(h.now))
			}
			h.advance(time.Millisecond)
			h.report("w1", agent.Report{})
			assert.Assert(t, h.shard.workers["w1"].usable(h.now))
		})
	}
}
