package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// faults injects faults into two instances of one data centre; the fake workers count violations.
type faults struct {
	*testCluster
	jobCount int
}

func (f *faults) randomWorker(t *rapid.T) *fakeWorker {
	return f.fleet.workers[string(workerName(rapid.IntRange(0, len(f.fleet.workers)-1).Draw(t, "host")))]
}

func (f *faults) randomNode(t *rapid.T) *node { return f.nodes[rapid.IntRange(0, 1).Draw(t, "node")] }

func (f *faults) submit(t *rapid.T) {
	f.jobCount++
	spec := job(model.JobID(fmt.Sprint("j", f.jobCount)), rapid.SampledFrom([]model.TeamID{"a", "b", "c"}).Draw(t, "team"),
		rapid.SampledFrom([]model.ClassID{"patient", "patient", "urgent", "nightly"}).Draw(t, "class"),
		rapid.IntRange(1, 6).Draw(t, "tasks"), cores(rapid.IntRange(1, 4).Draw(t, "cores")))
	if rapid.IntRange(0, 4).Draw(t, "gang") == 0 {
		spec.Kind = model.KindGang
	}
	f.log.accept(spec)
}

func (f *faults) advanceRandomly(t *rapid.T) {
	f.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * 200 * time.Millisecond)
}

// pauseInCall pauses the instances within the next call to a worker while time passes; the second one keeps running if
// the first is the placer.
func (f *faults) pauseInCall(t *rapid.T) {
	steps := time.Duration(rapid.IntRange(1, 200).Draw(t, "steps"))
	f.fleet.duringCall = func() {
		for i := range f.nodes {
			f.nodes[i].paused = true
		}
		f.nodes[1].paused = !f.nodes[0].links.placer
		f.advance(steps * 200 * time.Millisecond)
		for _, n := range f.nodes {
			n.paused = false
		}
	}
}

func (f *faults) changePlacers(t *rapid.T) {
	roles := rapid.SampledFrom([][2]bool{{true, false}, {false, true}, {true, true}}).Draw(t, "placers")
	f.nodes[0].links.placer, f.nodes[1].links.placer = roles[0], roles[1]
}

func (f *faults) toggleLogOutage() {
	f.log.unavailable = !f.log.unavailable
	for _, n := range f.nodes {
		n.links.outage, n.links.connectedSince = f.log.unavailable, f.clock.Now()
	}
}

// freezeView freezes a node's view of the log for at most the freshness bound, then brings it up to date.
func (f *faults) freezeView(t *rapid.T) {
	n := f.randomNode(t)
	n.links.frozenAt = f.clock.Now()
	steps := time.Duration(rapid.IntRange(1, 5).Draw(t, "steps"))
	f.advance(steps * 200 * time.Millisecond)
	if rapid.Bool().Draw(t, "roles-change") {
		f.changePlacers(t)
	}
	f.advance(steps * 200 * time.Millisecond)
	n.links.frozenAt = time.Time{}
}

func (f *faults) changeDeclarations(t *rapid.T) {
	set := testDeclarations(testDataCentre)
	if rapid.IntRange(0, 3).Draw(t, "out") == 0 {
		set.DataCentres[0].Service = decl.OutOfService
	}
	set.Teams[0].Limit.Tasks = rapid.IntRange(0, 3).Draw(t, "limit")
	f.log.declare(set)
}

func (f *faults) checkSafety(t *rapid.T) {
	assert.Equal(t, f.fleet.doubleRuns, 0, "tasks running twice")
	assert.Equal(t, f.fleet.overcommits, 0, "overcommitted starts")
}

func (f *faults) healAndCheck(t *rapid.T) {
	f.log.unavailable = false
	f.nodes[0].links.placer, f.nodes[1].links.placer = true, false
	for _, n := range f.nodes {
		n.links.outage, n.links.cutOff, n.links.renewalDenied, n.links.connectedSince = false, false, false, f.clock.Now()
	}
	for _, w := range f.fleet.workers {
		w.unreachable, w.answersLost, w.slow = false, false, false
		clear(w.unreachableFrom)
	}
	f.log.declare(testDeclarations(testDataCentre))
	f.advance(90 * time.Second)
	for range 10 {
		f.advance(30 * time.Second)
	}
	for _, task := range f.log.tasks() {
		assert.Assert(t, task.Phase == state.PhaseDone, "%+v", task)
	}
	for _, n := range f.nodes {
		n.assertReleased(t)
	}
}

// assertReleased checks that the node no longer counts anything as bound or reserved after all work is done.
func (n *node) assertReleased(t *rapid.T) {
	p := n.placer
	assert.Equal(t, len(p.attempts)+len(p.currentAttempts)+len(p.pendingBindings)+len(p.claims)+len(p.backlogTimes), 0)
	assert.Equal(t, p.queue.Len()+p.offers.Len()+len(p.rejections)+len(p.failures)+len(p.evictedFromBacklog), 0)
	for team, share := range p.queue.Shares() {
		assert.Equal(t, share, 0.0, "share of %s", team)
	}
	for _, e := range p.inventory.Entries() {
		assert.Equal(t, e.Free, e.Capacity, "%s", e.Worker)
	}
}

// Guards against tasks that run twice, overcommitted workers and lost work under any sequence of faults: pauses longer
// than the leases, two placers, lost and delayed calls, reboots, log outages, stale views, and changes of service and
// limits.
func TestPlacementUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := &faults{testCluster: newTestCluster(t, 3, cores(8))}
		f.addNode(testDataCentre)
		f.log.declare(testDeclarations(testDataCentre))
		f.nodes[1].links.placer = false
		// Rapid selects actions by their sorted names, so a renamed action changes what a seed does.
		r.Repeat(map[string]func(*rapid.T){
			"":              f.checkSafety,
			"submit":        f.submit,
			"submit-more":   f.submit,
			"pass":          f.advanceRandomly,
			"pass-more":     f.advanceRandomly,
			"pause-in-call": f.pauseInCall,
			"roles":         f.changePlacers,
			"outage":        func(*rapid.T) { f.toggleLogOutage() },
			"freeze":        f.freezeView,
			"declare":       f.changeDeclarations,
			"cut-host":      func(t *rapid.T) { w := f.randomWorker(t); w.unreachable = !w.unreachable },
			"cut-host-from": func(t *rapid.T) {
				w, n := f.randomWorker(t), f.randomNode(t)
				w.unreachableFrom[n.name] = !w.unreachableFrom[n.name]
			},
			"mute-host": func(t *rapid.T) { w := f.randomWorker(t); w.answersLost = !w.answersLost },
			"slow-host": func(t *rapid.T) { w := f.randomWorker(t); w.slow = !w.slow },
			"deliver":   func(t *rapid.T) { f.fleet.deliverLate(f.randomWorker(t)) },
			"reboot":    func(t *rapid.T) { f.fleet.reboot(f.randomWorker(t)) },
			"cut-node": func(t *rapid.T) {
				n := f.randomNode(t)
				n.links.cutOff, n.links.renewalDenied, n.links.connectedSince = !n.links.cutOff, !n.links.cutOff, f.clock.Now()
			},
			"cancel": func(t *rapid.T) {
				if len(f.log.jobs) > 0 {
					f.log.cancel(rapid.SampledFrom(f.log.jobs).Draw(t, "job").ID)
				}
			},
		})
		f.healAndCheck(r)
		f.checkSafety(r)
	})
}

// delayStart has the first start of a job with one task carried out late, and returns the worker that it went to.
func (c *testCluster) delayStart(t *testing.T) *fakeWorker {
	t.Helper()
	c.advance(5 * time.Second)
	for _, w := range c.fleet.workers {
		w.slow = true
	}
	c.log.accept(job("j", "a", "patient", 1, cores(1)))
	c.advance(400 * time.Millisecond)
	tasks := c.log.tasks()
	assert.Equal(t, len(tasks), 1)
	for _, w := range c.fleet.workers {
		w.slow = false
	}
	assert.Equal(t, c.fleet.startCount, 0)
	w := c.fleet.workers[string(tasks[0].Worker)]
	assert.Assert(t, len(w.lateCalls) > 0)
	return w
}

// Guards against a start without an answer that is carried out beside the task's next attempt, after the worker reported
// that its attempt never started.
func TestLateStartOfEvictedAttempt(t *testing.T) {
	c := newTestCluster(t, 2, cores(4))
	first := c.delayStart(t)
	set := testDeclarations(testDataCentre)
	set.DataCentres[0].Service = decl.OutOfService
	c.log.declare(set)
	c.advance(time.Second)
	assert.Equal(t, c.log.tasks()[0].Phase, state.PhaseQueued)
	c.log.declare(testDeclarations(testDataCentre))
	c.advance(600 * time.Millisecond)
	assert.Equal(t, c.fleet.running("j"), 1)
	c.fleet.deliverLate(first)
	assert.Equal(t, c.fleet.running("j"), 1)
	c.assertSafe(t)
}

// Guards against a start without an answer that runs its attempt again after the end of the repeated start was
// acknowledged.
func TestLateStartAfterAcknowledgedEnd(t *testing.T) {
	c := newTestCluster(t, 1, cores(4))
	c.fleet.runTime, c.fleet.maxCommandDelay = 200*time.Millisecond, 5*time.Second
	w := c.delayStart(t)
	c.advance(3 * time.Second)
	assert.Equal(t, c.fleet.startCount, 1)
	assert.Equal(t, c.log.doneTasks(), 1)
	assert.Equal(t, len(w.tasks), 0, "the end is acknowledged")
	c.fleet.deliverLate(w)
	assert.Equal(t, c.fleet.startCount, 1)
	c.assertSafe(t)
}
