package shard

import (
	"fmt"
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
	for _, call := range h.nextAdviceCalls() {
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

// TestBlockedStagesDoNotHideOthers guards against a job that never starts although there is capacity for it, because more
// stages than a pass considers are more urgent and can't start.
func TestBlockedStagesDoNotHideOthers(t *testing.T) {
	labelled := sized(1, 500, time.Second)
	labelled.Label = "no-such-label"
	gang := sized(9, 1000, time.Second)
	gang.Gang = true
	tests := []struct {
		name   string
		team   model.TeamID
		stages []work.Stage
	}{
		{"label that no worker has", "north", []work.Stage{labelled}},
		{"size that no worker has", "north", []work.Stage{sized(1, 5000, time.Second)}},
		{"gang larger than the pool", "north", []work.Stage{gang}},
		{"limit of their team", "capped", []work.Stage{sized(1, 2500, time.Second)}},
		{"more capacity than is free", "north", []work.Stage{sized(1, 3000, time.Second)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2")
			running := sized(2, 2500, time.Hour)
			running.Service = true
			h.submitAs("running", testQueue, running)
			assert.Equal(t, len(h.confirmStarts()), 2)
			for i := range 3 * maxStagesPerPlan {
				id := model.JobID(fmt.Sprintf("blocked-%d", i))
				h.shard.Submit(work.Job{ID: id, Queue: "urgent", Team: tt.team, Stages: tt.stages, Accepted: h.wall}, h.now)
			}
			h.advance(time.Minute)
			h.submitAs("startable", testQueue, sized(1, 500, time.Millisecond))
			// The job has missed its objective by then, so the blocked ones are more urgent.
			h.advance(time.Minute)
			started := false
			for begun := h.now; !started && h.now-begun < 3*time.Second; h.advance(50 * time.Millisecond) {
				for _, id := range h.workers {
					h.report(id, agent.Report{Incomplete: true})
				}
				for _, cmd := range h.confirmStarts() {
					assert.Equal(t, cmd.Start.Task.Job, model.JobID("startable"))
					started = true
				}
			}
			assert.Assert(t, started)
		})
	}
}

// TestStartsUnderWayAreLimited guards against urgent tasks that wait in line behind hundreds of decided starts. The load pattern:
// a burst of less urgent work on an empty fleet, from an owner whose starts take long to be recorded and answered.
func TestStartsUnderWayAreLimited(t *testing.T) {
	tests := []struct {
		name  string
		queue string
		// want is the number of starts that are decided for the queue while the limit is reached.
		want int
	}{
		{"most urgent queue", "urgent", maxStartsUnderWay},
		{"other queue", testQueue, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			workers := make([]model.WorkerID, 100)
			for i := range workers {
				workers[i] = model.WorkerID(fmt.Sprintf("w%02d", i))
			}
			h := newHarness(t, workers...)
			for i := range 2 * maxStartsUnderWay {
				h.submitAs(model.JobID(fmt.Sprintf("burst-%d", i)), testQueue, sized(1, 100, time.Hour))
			}
			first := h.nextCommands().Starts
			assert.Equal(t, len(first), maxStartsUnderWay)
			for i := range 2 * maxStartsUnderWay {
				h.submitAs(model.JobID(fmt.Sprintf("next-%d", i)), tt.queue, sized(1, 100, time.Hour))
			}
			assert.Equal(t, len(h.nextCommands().Starts), tt.want)
			// Each answer makes room for another start.
			for _, cmd := range first {
				h.shard.ApplyStartResult(cmd, h.clock[cmd.Target.ID]+time.Millisecond, nil, h.now)
			}
			assert.Equal(t, len(h.nextCommands().Starts), maxStartsUnderWay)
		})
	}
}
