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
