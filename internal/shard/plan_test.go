package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestRetryPauses guards against attempts to place waiting stages that take up the owner's processor. The load pattern: a
// burst of gangs on a full fleet, of which only the first few can be placed next.
func TestRetryPauses(t *testing.T) {
	tests := []struct {
		name       string
		gang       bool
		freed      bool
		ahead      int
		sinceTried time.Duration
		want       bool
	}{
		{"nothing freed", false, false, 0, 100 * time.Millisecond, false},
		{"capacity freed", false, true, 0, time.Millisecond, true},
		{"first gang, just tried", true, true, 0, gangRetryDelay - time.Millisecond, false},
		{"first gang", true, true, 0, gangRetryDelay, true},
		{"gang behind twenty others", true, true, 20, 10 * gangRetryDelay, false},
		{"gang behind twenty others, later", true, true, 20, 11 * gangRetryDelay, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Minute
			spec := sized(2, 1000, time.Hour)
			spec.Gang = tt.gang
			j := newJob(work.Job{ID: "j", Stages: []work.Stage{spec}}, testConfiguration().Queues[0], now)
			st := j.stages[0]
			st.capacityFreed, st.triedAt = tt.freed, now-tt.sinceTried
			assert.Equal(t, st.shouldRetry(tt.ahead, now), tt.want)
		})
	}
}

// TestFreedCapacityMarksPermittedStages guards against a stage that isn't told of free capacity on a worker that it may
// use, and against looking at stages that may not use it.
func TestFreedCapacityMarksPermittedStages(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitAs("full", testQueue, sized(8, 1000, time.Hour))
	running := h.confirmStarts()
	assert.Equal(t, len(running), 8)
	permitted := map[model.JobID]model.WorkerID{"a": "w1", "b": "w2"}
	for id := range permitted {
		h.submitAs(id, "advised", sized(1, 1000, time.Second))
	}
	for _, call := range h.nextCommands().AdviceCalls {
		worker := permitted[call.Request.Stage.Job]
		h.shard.ApplyAdvice(call, agent.Advice{
			Tickets: map[model.WorkerID]string{worker: "ticket"}, Valid: model.Duration(time.Minute),
		}, nil, h.now)
	}
	h.nextCommands()
	h.shard.freedWorkers[h.shard.workers["w1"]] = true
	h.shard.workers["w1"].used = model.Resources{}
	h.shard.noteFreedCapacity(nil)
	assert.Assert(t, h.shard.jobs["a"].stages[0].capacityFreed)
	assert.Assert(t, !h.shard.jobs["b"].stages[0].capacityFreed)
	assert.Equal(t, len(h.shard.freedWorkers), 0)
}
