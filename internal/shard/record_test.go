package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestNothingIsToldBeforeItIsRecorded guards against a completed job that runs again under a new owner: an end is
// acknowledged to its worker, and the final state told to clients, only once both are recorded.
func TestNothingIsToldBeforeItIsRecorded(t *testing.T) {
	r := newRig(t, "w1")
	r.submit(tasks(1))
	first := r.startAll()
	r.report("w1", agent.Report{Ended: []agent.EndedRun{end(first[0], agent.OutcomeDone)}})
	hold, _ := r.s.HoldFor("w1", r.now, true)
	assert.Equal(t, hold.Acked, int64(0))
	r.state(work.StateRunning)
	r.commit()
	hold, _ = r.s.HoldFor("w1", r.now, true)
	assert.Equal(t, hold.Acked, int64(1))
	r.state(work.StateCompleted)
}

// TestNoStartBeforeItIsRecorded guards against a run that a new owner can't know of.
func TestNoStartBeforeItIsRecorded(t *testing.T) {
	r := newRig(t, "w1")
	r.submit(tasks(1))
	r.s.Tick(r.now, r.wall)
	assert.Equal(t, len(r.s.TakeOrders(r.now).Starts), 0)
	r.commit()
	assert.Equal(t, len(r.s.TakeOrders(r.now).Starts), 1)
}

// TestNoStartBeforeTheWorkerIsVisited guards against starts on a worker that still accepts a former owner's orders.
func TestNoStartBeforeTheWorkerIsVisited(t *testing.T) {
	r := newRig(t, "w1")
	r.takeOver(Restored{})
	r.submit(tasks(1))
	assert.Equal(t, len(r.orders().Starts), 0)
	r.report("w1", agent.Report{})
	assert.Equal(t, len(r.orders().Starts), 1)
}

// TestEndInNewLifeCounts guards against a success that is acknowledged and ignored: the start reached the worker's next
// life before the owner had seen it.
func TestEndInNewLifeCounts(t *testing.T) {
	r := newRig(t, "w1")
	r.submit(tasks(1))
	first := r.startAll()
	r.born["w1"] = 2
	r.report("w1", agent.Report{Ended: []agent.EndedRun{end(first[0], agent.OutcomeDone)}})
	r.commit()
	r.state(work.StateCompleted)
}

// TestStopWaitsForTheReport guards against room that is given away while a stopped run may still be there.
func TestStopWaitsForTheReport(t *testing.T) {
	r := newRig(t, "w1")
	r.submit(tasks(1))
	first := r.startAll()
	r.s.Cancel("j", r.now)
	stops := r.orders().Stops
	assert.Equal(t, len(stops), 1)
	r.s.Stopped(stops[0], r.clock["w1"], nil, r.now)
	assert.Equal(t, r.s.workers["w1"].used.Cores, first[0].attempt.size().Cores)
	r.report("w1", agent.Report{Ended: []agent.EndedRun{end(first[0], agent.OutcomeStopped)}})
	assert.Equal(t, r.s.workers["w1"].used, model.Resources{})
}

// TestGangNeedNotWaitForACutWorker guards against a gang that waits for the lease of a worker that is cut off, though
// another member's end proves that the run is over; and against a start that may still arrive there.
func TestGangNeedNotWaitForACutWorker(t *testing.T) {
	tests := []struct {
		name   string
		answer error
		again  bool
	}{
		{"both at work", nil, true},
		{"start without an answer", agent.ErrNoAnswer, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, "w1", "w2", "w3")
			gang := tasks(2)
			gang.Gang, gang.Size.Cores = true, 3000
			r.submit(gang)
			starts := r.orders().Starts
			assert.Equal(t, len(starts), 2)
			r.s.Started(starts[0], r.clock[starts[0].Target.ID], nil, r.now)
			r.s.Started(starts[1], r.clock[starts[1].Target.ID], test.answer, r.now)
			r.report(starts[0].Target.ID, agent.Report{Ended: []agent.EndedRun{end(starts[0], agent.OutcomeStopped)}})
			for range 5 {
				r.pass(time.Second)
				for _, id := range r.names {
					if id != starts[1].Target.ID {
						r.report(id, agent.Report{})
					}
				}
			}
			assert.Equal(t, len(r.orders().Starts) == 2, test.again)
		})
	}
}

// TestGangEndsOnce guards against room that is given back twice: the end of one member ends the others that were never
// sent, also those that the same report ends.
func TestGangEndsOnce(t *testing.T) {
	r := newRig(t, "w1")
	gang := tasks(2)
	gang.Gang = true
	r.submit(gang)
	r.s.Tick(r.now, r.wall)
	r.born["w1"] = 2
	r.report("w1", agent.Report{})
	r.s.Tick(r.now, r.wall)
	assert.Equal(t, r.s.workers["w1"].used, gang.Size.Times(2))
}
