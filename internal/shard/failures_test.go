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
	r := newRig(t, "w1", "w2")
	r.submit(tasks(1))
	first := r.startAll()
	assert.Equal(t, len(first), 1)
	cut := first[0].Target.ID
	other := model.WorkerID("w1")
	if cut == "w1" {
		other = "w2"
	}
	// The worker falls silent until its lease has lapsed; the task runs elsewhere and fails there.
	for range 20 {
		r.pass(time.Second)
		r.report(other, agent.Report{})
	}
	second := r.startAll()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Target.ID, other)
	r.report(other, agent.Report{Ended: []agent.EndedRun{end(second[0], agent.OutcomeFailed)}})
	r.commit()
	r.state(work.StateRunning)
	// The queue allows two failures; the one behind the cut is the second.
	r.report(cut, agent.Report{Ended: []agent.EndedRun{end(first[0], agent.OutcomeFailed)}})
	assert.Equal(t, len(r.startAll()), 0)
	r.state(work.StateFailed)
}

// Guards against a failure that counts twice because a new owner sees an end that its predecessor recorded but had not
// acknowledged.
func TestFailureCountsOnceAcrossOwners(t *testing.T) {
	r := newRig(t, "w1")
	r.submit(tasks(1))
	first := r.startAll()
	failed := end(first[0], agent.OutcomeFailed)
	r.report("w1", agent.Report{Ended: []agent.EndedRun{failed}})
	progress := r.commit()
	assert.Equal(t, len(progress), 1)
	job := r.s.jobs["j"].spec
	r.takeOver(Restored{Jobs: []work.Job{job}, Progress: map[model.JobID]work.Progress{"j": progress[0].Progress}})
	r.report("w1", agent.Report{Ended: []agent.EndedRun{failed}})
	assert.Equal(t, len(r.startAll()), 1)
	r.state(work.StateRunning)
}

// Guards against a start after the last failure that the queue allows, which a worker behind a cut has yet to report.
func TestNoStartWhileAFailureMayBeTheLast(t *testing.T) {
	names := []model.WorkerID{"w1", "w2", "w3"}
	r := newRig(t, names...)
	r.submit(tasks(1))
	first := r.startAll()
	assert.Equal(t, len(first), 1)
	cut := first[0].Target.ID
	reportOthers := func() {
		for _, id := range names {
			if id != cut {
				r.report(id, agent.Report{})
			}
		}
	}
	var second []StartOrder
	for len(second) == 0 {
		r.pass(time.Second)
		reportOthers()
		second = r.startAll()
	}
	r.report(second[0].Target.ID, agent.Report{Ended: []agent.EndedRun{end(second[0], agent.OutcomeFailed)}})
	for range 4 {
		r.pass(time.Second)
		reportOthers()
		assert.Equal(t, len(r.startAll()), 0, "the run on %s may have failed as well", cut)
	}
	// It had not: the worker lists no end of that run.
	r.report(cut, agent.Report{})
	assert.Equal(t, len(r.startAll()), 1)
}

// Guards against a worker over its capacity: a start was left without an answer and repeated with success, the worker began
// a new life, and the first start still reaches that life.
func TestLateStartReachesNewLife(t *testing.T) {
	r := newRig(t, "w1")
	r.submit(tasks(4))
	starts := r.orders().Starts
	assert.Equal(t, len(starts), 4)
	for i, o := range starts {
		var err error
		if i == 0 {
			err = agent.ErrNoAnswer
		}
		r.clock["w1"] += time.Millisecond
		r.s.Started(o, r.clock["w1"], err, r.now)
	}
	r.pass(retryOrder)
	assert.Equal(t, len(r.startAll()), 1, "the start without an answer is repeated")
	r.born["w1"], r.clock["w1"] = 2, 0
	r.report("w1", agent.Report{})
	assert.Assert(t, len(r.startAll()) < 4, "the room of a start that may still arrive is taken")
}
