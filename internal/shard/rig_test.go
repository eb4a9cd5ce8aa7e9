package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

const (
	testLease = 7 * time.Second
	testQueue = "batch"
	testPool  = "pool"
)

// rig drives one shard by hand: commits, answers and reports come only when a test says so.
type rig struct {
	t     *testing.T
	s     *Shard
	now   time.Duration
	wall  time.Time
	token int64
	names []model.WorkerID
	born  map[model.WorkerID]int64
	clock map[model.WorkerID]time.Duration
}

func testTerms() terms.Terms {
	return terms.New(terms.Config{
		Version: 1,
		Queues: []terms.Queue{
			{Name: "urgent", Pool: testPool, Priority: 0, Attempts: 2, Stretch: 1.5, Latency: 250 * time.Millisecond},
			{Name: testQueue, Pool: testPool, Priority: 2, Attempts: 2, Stretch: 4, Latency: 3 * time.Second},
			{Name: "advised", Pool: testPool, Priority: 1, Attempts: 2, Stretch: 4, Latency: 3 * time.Second, Advice: &terms.Advice{
				Decide: 10 * time.Millisecond, PerWorker: time.Millisecond, Valid: 2 * time.Second,
			}},
		},
		Teams: []terms.Team{{ID: "north", Share: 1000}, {ID: "capped", Share: 1000, Limit: model.Resources{Cores: 2000}}},
	})
}

func newRig(t *testing.T, workers ...model.WorkerID) *rig {
	t.Helper()
	r := &rig{
		t: t, now: time.Minute, wall: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), token: 1, names: workers,
		born: make(map[model.WorkerID]int64), clock: make(map[model.WorkerID]time.Duration),
	}
	for _, id := range workers {
		r.born[id] = 1
	}
	r.takeOver(Restored{})
	for _, id := range workers {
		r.report(id, agent.Report{})
	}
	return r
}

// takeOver starts a new ownership from what was recorded.
func (r *rig) takeOver(restored Restored) {
	r.s = New(Config{
		Token: r.token, Lease: testLease, MaxLease: 10 * time.Second, RenewLimit: 3 * time.Second,
		KillGrace: worldGrace, GangTimeout: worldAlone, Retention: time.Minute,
	})
	r.token++
	r.s.SetTerms(testTerms())
	r.s.Restore(restored, r.now, r.wall)
	r.register()
}

func (r *rig) register(draining ...model.WorkerID) {
	entries := make([]agent.Entry, 0, len(r.names))
	for _, id := range r.names {
		entry := agent.Entry{
			ID: id, Pool: testPool, Address: string(id), DataCentre: "dc1", Capacity: model.Resources{Cores: 4000, Memory: 4000},
		}
		for _, d := range draining {
			entry.Draining = entry.Draining || d == id
		}
		entries = append(entries, entry)
	}
	r.s.Registry(entries)
}

func (r *rig) pass(d time.Duration) {
	r.now += d
	r.wall = r.wall.Add(d)
}

// report lets a worker answer a hold that was sent now.
func (r *rig) report(id model.WorkerID, report agent.Report) {
	r.clock[id] += 10 * time.Millisecond
	r.pass(10 * time.Millisecond)
	_, ok := r.s.HoldFor(id, r.now, true)
	assert.Assert(r.t, ok)
	report.Clock, report.Incarnation = r.clock[id], r.born[id]
	r.s.Reported(id, report, r.now)
}

// commit records what was decided, also what may wait for more, and returns the progress records.
func (r *rig) commit() []JobProgress {
	r.pass(commitDelay)
	c := r.s.TakeCommit(r.now)
	if !c.Empty() {
		r.s.Committed(c.Batch)
	}
	return c.Progress
}

// orders decides, records and returns what may be sent.
func (r *rig) orders() Orders {
	r.s.Tick(r.now, r.wall)
	r.commit()
	return r.s.TakeOrders(r.now)
}

// startAll answers all starts with success and returns them.
func (r *rig) startAll() []StartOrder {
	o := r.orders()
	for _, start := range o.Starts {
		r.clock[start.Target.ID] += time.Millisecond
		r.s.Started(start, r.clock[start.Target.ID], nil, r.now)
	}
	return o.Starts
}

// submit hands in the test's job.
func (r *rig) submit(stages ...work.Stage) {
	r.s.Submit(work.Job{ID: "j", Queue: testQueue, Team: "north", Stages: stages, Accepted: r.wall}, r.now)
}

// state requires that clients are told this state of the test's job.
func (r *rig) state(want work.State) {
	r.t.Helper()
	got, ok := r.s.State("j")
	assert.Assert(r.t, ok)
	assert.Equal(r.t, got, want)
}

// end is the first end that a worker lists.
func end(o StartOrder, how agent.RunOutcome) agent.EndedRun {
	return agent.EndedRun{Number: 1, Task: o.Start.Task, Run: o.Start.Run, Outcome: how}
}

func tasks(n int) work.Stage {
	return work.Stage{Count: n, Size: model.Resources{Cores: 1000, Memory: 1000}, RunTime: model.Duration(time.Second)}
}
