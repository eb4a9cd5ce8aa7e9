package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// Guards against a failure that is acknowledged but not counted: the run was taken as lapsed while its worker was cut
// off, and the worker reports the failure afterwards.
func TestFailureReportedAfterLapseCounts(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 1)
	silent := first[0].Target.ID
	other := model.WorkerID("w1")
	if silent == "w1" {
		other = "w2"
	}
	// The worker falls silent until its lease has lapsed; the task runs elsewhere and fails there.
	for range 20 {
		h.advance(time.Second)
		h.report(other, agent.Report{})
	}
	second := h.confirmStarts()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Target.ID, other)
	h.report(other, agent.Report{Ended: []agent.Ended{firstEnd(second[0], agent.HowFailed)}})
	h.commit()
	h.requireState(work.StateRunning)
	// The queue allows two failures; the one behind the cut is the second.
	h.report(silent, agent.Report{Ended: []agent.Ended{firstEnd(first[0], agent.HowFailed)}})
	assert.Equal(t, len(h.confirmStarts()), 0)
	h.requireState(work.StateFailed)
}

// Guards against a failure that counts twice because a new owner sees an end that its predecessor recorded but had not
// acknowledged.
func TestFailureCountsOnceAcrossOwners(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	failed := firstEnd(first[0], agent.HowFailed)
	h.report("w1", agent.Report{Ended: []agent.Ended{failed}})
	progress := h.commit()
	assert.Equal(t, len(progress), 1)
	job := h.shard.jobs["j"].spec
	h.takeOver(RecordedState{Jobs: []work.Job{job}, Progress: map[model.JobID]work.Progress{"j": progress[0].Progress}})
	h.report("w1", agent.Report{Ended: []agent.Ended{failed}})
	assert.Equal(t, len(h.confirmStarts()), 1)
	h.requireState(work.StateRunning)
}

// Guards against a start after the last failure that the queue allows, which a worker behind a cut has yet to report.
func TestNoStartWhileFinalFailureMayBeUnreported(t *testing.T) {
	workers := []model.WorkerID{"w1", "w2", "w3"}
	h := newHarness(t, workers...)
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 1)
	silent := first[0].Target.ID
	reportOthers := func() {
		for _, id := range workers {
			if id != silent {
				h.report(id, agent.Report{})
			}
		}
	}
	var second []StartCommand
	for len(second) == 0 {
		h.advance(time.Second)
		reportOthers()
		second = h.confirmStarts()
	}
	h.report(second[0].Target.ID, agent.Report{Ended: []agent.Ended{firstEnd(second[0], agent.HowFailed)}})
	for range 4 {
		h.advance(time.Second)
		reportOthers()
		assert.Equal(t, len(h.confirmStarts()), 0, "the run on %s may have failed as well", silent)
	}
	// It had not: the worker lists no end of that run.
	h.report(silent, agent.Report{})
	assert.Equal(t, len(h.confirmStarts()), 1)
}

// Guards against a worker over its capacity: a start was left without an answer and repeated with success, the worker began
// a new life, and the first start still reaches that life.
func TestLateStartReachesNewIncarnation(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(4))
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 4)
	for i, cmd := range starts {
		var err error
		if i == 0 {
			err = agent.ErrNoAnswer
		}
		h.clock["w1"] += time.Millisecond
		h.shard.ApplyStartResult(cmd, h.clock["w1"], err, h.now)
	}
	h.advance(commandRetryDelay)
	assert.Equal(t, len(h.confirmStarts()), 1, "the start without an answer is repeated")
	h.incarnation["w1"], h.clock["w1"] = 2, 0
	h.report("w1", agent.Report{})
	assert.Assert(t, len(h.confirmStarts()) < 4, "the room of a start that may still arrive is taken")
}
