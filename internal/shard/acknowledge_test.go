package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestEndWithoutChangeIsAcknowledged guards against an owner without decisions to record that never acknowledges the end of a run
// whose job is final, or unknown by now.
func TestEndWithoutChangeIsAcknowledged(t *testing.T) {
	tests := []struct {
		name     string
		restored func(h *harness) RecordedState
	}{
		{"job is final", func(h *harness) RecordedState {
			return RecordedState{Progress: map[model.JobID]work.Progress{"j": h.progress("j")}}
		}},
		{"job is unknown", func(*harness) RecordedState { return RecordedState{} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.submitJob(tasks(1))
			starts := h.confirmStarts()
			report := agent.Report{Ended: []agent.EndedRun{firstEnd(starts[0], agent.OutcomeDone)}}
			h.report("w1", report)
			assert.Equal(t, h.renewal("w1").Acked, int64(0), "the end isn't recorded")
			h.commit()
			h.requireState(work.StateCompleted)
			h.takeOver(tt.restored(h))
			h.report("w1", report)
			h.commit()
			// Until then a start of the former owner may arrive late.
			h.advance(h.shard.cfg.RenewLimit + maxCommandDelay)
			heartbeat, ok := h.shard.HeartbeatFor("w1", h.now, true)
			assert.Assert(t, ok)
			assert.Equal(t, heartbeat.Acked, int64(1))
		})
	}
}
