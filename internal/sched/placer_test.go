package sched

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// sound fails the test if a task ran twice at a time or a worker was overcommitted.
func (w *world) sound(t *testing.T) {
	t.Helper()
	assert.Equal(t, w.fleet.doubles, 0, "tasks running twice")
	assert.Equal(t, w.fleet.over, 0, "overcommitted starts")
}

// Guards against tasks that are queued and never taken, started or recorded as ended.
func TestWholeLoop(t *testing.T) {
	w := newWorld(t, 4, cores(8))
	w.log.accept(job("j", "a", "patient", 40, cores(2)))
	w.advance(60 * time.Second)
	assert.Equal(t, w.log.done(), 40)
	assert.Equal(t, w.fleet.ran, 40)
	w.sound(t)
}

// Guards against urgent work that waits for a full fleet, and against stopping more than it needs.
func TestUrgentWorkPreempts(t *testing.T) {
	w := newWorld(t, 4, cores(8))
	w.fleet.runTime = time.Hour
	w.log.accept(job("patient", "a", "patient", 100, cores(2)))
	w.advance(5 * time.Second)
	assert.Equal(t, w.fleet.running("patient"), 16)
	w.log.accept(job("urgent", "b", "urgent", 2, cores(4)))
	w.advance(4 * time.Second)
	assert.Equal(t, w.fleet.running("urgent"), 2)
	assert.Equal(t, w.fleet.running("patient"), 12)
	saved := slices.DeleteFunc(w.log.tasks(), func(t state.Task) bool { return t.Checkpoint == 0 })
	assert.Equal(t, len(saved), 4, "attempts that gave way with a checkpoint")
	w.sound(t)
}

// Guards against gangs that start in part, and against gangs that starve behind small tasks.
func TestGangStartsWhole(t *testing.T) {
	w := newWorld(t, 4, cores(8))
	w.fleet.runTime = 30 * time.Second
	w.log.accept(job("small", "a", "patient", 200, cores(2)))
	w.advance(5 * time.Second)
	gang := job("gang", "b", "patient", 4, cores(4))
	gang.Kind = model.KindGang
	w.log.accept(gang)
	for range 100 {
		w.advance(200 * time.Millisecond)
		n := w.fleet.running("gang")
		assert.Assert(t, n == 0 || n == 4, "%d members of the gang run", n)
		if n == 4 {
			break
		}
	}
	assert.Equal(t, w.fleet.running("gang"), 4)
	w.sound(t)
}

// Guards against cancelled work that goes on.
func TestCancelledWorkStops(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.fleet.runTime = time.Hour
	w.log.accept(job("j", "a", "patient", 20, cores(2)))
	w.advance(3 * time.Second)
	w.log.cancel("j")
	w.advance(3 * time.Second)
	assert.Equal(t, w.fleet.running("j"), 0)
	assert.Equal(t, w.log.done(), 20)
}

// Guards against a team that keeps more than a lowered limit, and against stopping its oldest work first.
func TestLoweredLimitStopsYoungest(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.fleet.runTime = time.Hour
	w.log.accept(job("old", "a", "patient", 2, cores(2)))
	w.advance(3 * time.Second)
	w.log.accept(job("young", "a", "patient", 2, cores(2)))
	w.advance(3 * time.Second)
	set := declared(testCentre)
	set.Teams[0].Limit = decl.Limit{Tasks: 2}
	w.log.declare(set)
	w.advance(3 * time.Second)
	assert.Equal(t, w.fleet.running("old"), 2)
	assert.Equal(t, w.fleet.running("young"), 0)
	assert.Equal(t, w.log.fold.Usage()["a"].Tasks, 2)
}

// Guards against a worker that idles during an outage of the log although work is bound behind its running tasks.
func TestOutageUsesBacklog(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.log.accept(job("j", "a", "patient", 8, cores(4)))
	w.advance(5 * time.Second)
	w.log.out, w.nodes[0].links.outage = true, true
	w.advance(14 * time.Second)
	assert.Equal(t, w.fleet.ran, 4, "attempts started by the second half of the outage")
	w.log.out, w.nodes[0].links.outage = false, false
	w.advance(40 * time.Second)
	assert.Equal(t, w.log.done(), 8)
	assert.Equal(t, w.fleet.ran, 8)
	w.sound(t)
}

// Guards against starts while the instance is cut off, or the data centre is out of service.
func TestBoundTaskIsNotStarted(t *testing.T) {
	tests := []struct {
		name  string
		fault func(w *world)
	}{
		{"cut off", func(w *world) { w.nodes[0].links.cut = true }},
		{"out of service", func(w *world) {
			set := declared(testCentre)
			set.DataCentres[0].Service = decl.OutOfService
			w.log.declare(set)
		}},
		{"suspected", func(w *world) {
			w.nodes[0].links.cut = true
			w.log.write(record.WorkerSuspected{Worker: "w0", Boot: "1"})
		}},
	}
	for _, tt := range tests {
		w := newWorld(t, 1, cores(8))
		w.advance(2 * time.Second)
		w.fleet.hosts["w0"].mute, w.fleet.hosts["w0"].cut = true, true
		w.log.accept(job("j", "a", "patient", 2, cores(4)))
		w.advance(time.Second)
		assert.Equal(t, w.log.taken, 2, tt.name)
		tt.fault(w)
		w.fleet.hosts["w0"].mute, w.fleet.hosts["w0"].cut = false, false
		w.advance(30 * time.Second)
		assert.Equal(t, w.fleet.ran, 0, tt.name)
	}
}

// Guards against a new holder that starts an attempt again because its view lacks the end that the last holder had
// acknowledged.
func TestTakeoverWaitsForFreshView(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.addNode(testCentre)
	w.nodes[1].links.placer = false
	// The other instance is not recorded yet, so the end is acknowledged without it.
	w.nodes[0].links.lone = true
	w.fleet.runTime = 2 * time.Second
	w.log.accept(job("j", "a", "patient", 1, cores(4)))
	w.advance(2 * time.Second)
	w.nodes[1].links.frozen = w.clock.Now()
	w.advance(3 * time.Second)
	assert.Equal(t, w.log.done(), 1)
	assert.Equal(t, len(w.fleet.hosts["w0"].tasks), 0, "attempts not acknowledged")
	w.nodes[0].links.placer, w.nodes[1].links.placer = false, true
	w.advance(5 * time.Second)
	w.sound(t)
	assert.Equal(t, w.fleet.ran, 1)
}

// Guards against an end that is acknowledged before the other instances of the data centre hold it: one of them may take
// over during an outage of the log and would run the attempt again.
func TestAcknowledgementWaitsForOtherInstances(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.addNode(testCentre)
	w.nodes[1].links.placer = false
	w.fleet.runTime = 2 * time.Second
	w.log.accept(job("j", "a", "patient", 1, cores(4)))
	w.advance(2 * time.Second)
	w.nodes[1].links.frozen = w.clock.Now()
	w.advance(3 * time.Second)
	assert.Equal(t, w.log.done(), 1)
	assert.Equal(t, len(w.fleet.hosts["w0"].tasks), 1, "acknowledged too early")
	w.nodes[1].links.frozen = time.Time{}
	w.advance(3 * time.Second)
	assert.Equal(t, len(w.fleet.hosts["w0"].tasks), 0, "not acknowledged")
}

// Guards against a new holder that starts nothing during an outage of the log, and against one that starts although a
// live instance has folded more.
func TestTakeoverInOutage(t *testing.T) {
	tests := []struct {
		name   string
		behind bool
		ran    int
	}{{"current", false, 1}, {"behind a live instance", true, 0}}
	for _, test := range tests {
		w := newWorld(t, 1, cores(8))
		w.addNode(testCentre)
		w.nodes[1].links.placer = false
		w.advance(2 * time.Second)
		w.fleet.hosts["w0"].mute, w.fleet.hosts["w0"].cut = true, true
		w.log.accept(job("j", "a", "patient", 1, cores(4)))
		w.advance(time.Second)
		assert.Equal(t, w.log.taken, 1, test.name)
		if test.behind {
			w.nodes[1].links.frozen = w.clock.Now()
			w.log.accept(job("unseen", "a", "patient", 1, cores(9)))
			w.advance(200 * time.Millisecond)
		}
		f := &faults{world: w}
		f.outage()
		for _, n := range w.nodes {
			n.links.frozen = w.clock.Now().Add(-time.Second)
		}
		w.nodes[0].links.placer, w.nodes[1].links.placer = false, true
		w.fleet.hosts["w0"].mute, w.fleet.hosts["w0"].cut = false, false
		w.advance(6 * time.Second)
		assert.Equal(t, w.fleet.ran, test.ran, test.name)
	}
}

// Guards against room that stays claimed by an instance that is no longer the placer (found by the fault test with
// -rapid.seed=714615).
func TestLostRoleDropsClaims(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.fleet.runTime = time.Hour
	w.log.accept(job("patient", "a", "patient", 1, cores(8)))
	w.advance(2 * time.Second)
	w.fleet.hosts["w0"].mute, w.fleet.hosts["w0"].cut = true, true
	w.log.accept(job("urgent", "b", "urgent", 1, cores(8)))
	w.advance(400 * time.Millisecond)
	p := w.nodes[0].placer
	assert.Equal(t, len(p.claims), 1)
	w.nodes[0].links.placer = false
	w.advance(400 * time.Millisecond)
	assert.Equal(t, len(p.claims), 0)
}

// Guards against a start from events that lag behind the fold, and beside an attempt that still runs elsewhere.
func TestStartChecksTheFoldAndOtherWorkers(t *testing.T) {
	w := newWorld(t, 2, cores(8))
	w.fleet.runTime = time.Hour
	w.advance(2 * time.Second)
	for _, h := range w.fleet.hosts {
		h.cut, h.mute = true, true
	}
	w.log.accept(job("j", "a", "patient", 1, cores(4)))
	w.advance(400 * time.Millisecond)
	task, _, _ := w.log.fold.Task(model.TaskID{Job: "j"})
	first := task.CurrentAttempt()
	w.log.write(record.Ended{Attempt: first, Worker: task.Worker, Outcome: model.OutcomeNeverStarted})
	w.advance(time.Second)
	p := w.nodes[0].placer
	a := p.currentAttempts[task.ID]
	assert.Equal(t, a.id.Number, 2)
	s, other := p.workerStates[a.worker], p.workerStates["w0"]
	if s == other {
		other = p.workerStates["w1"]
	}
	a.startSent, a.startUnconfirmed = false, false
	p.setTasks(other, []ports.TaskReport{{Attempt: first, Phase: ports.PhaseRunning}})
	assert.Equal(t, len(p.starts(s)), 0, "the first attempt still runs on the other worker")
	p.setTasks(other, nil)
	assert.Equal(t, len(p.starts(s)), 1)
	a.startSent, a.startUnconfirmed, a.id.Number = false, false, 3
	assert.Equal(t, len(p.starts(s)), 0, "the fold has no such attempt bound")
}

// Guards against work that stays in a data centre out of service, and against services stopped without a replacement.
func TestDataCentreOut(t *testing.T) {
	w := newWorld(t, 2, cores(8))
	w.fleet.add("dc2", 2, cores(8))
	w.addNode("dc2")
	both := declared(testCentre, "dc2")
	w.log.declare(both)
	w.fleet.runTime = 8 * time.Second
	service := job("service", "a", "patient", 3, cores(4))
	service.Kind, service.RunTime = model.KindService, 0
	w.log.accept(service)
	w.log.accept(job("batch", "b", "patient", 16, cores(1)))
	w.advance(3 * time.Second)
	out := declared(testCentre, "dc2")
	out.DataCentres[0].Service = decl.OutOfService
	w.log.declare(out)
	for range 50 {
		w.advance(time.Second)
		assert.Assert(t, w.fleet.running("service") >= 1)
	}
	for _, h := range w.fleet.hosts {
		for id, r := range h.tasks {
			assert.Assert(t, h.dc == "dc2" || r.ended, "%s still runs in %s", id, h.dc)
		}
	}
	assert.Equal(t, w.fleet.running("service"), 3)
	assert.Equal(t, w.log.done(), 16)
	w.sound(t)
}

// Guards against services that are stopped although no other data centre has room for them.
func TestServiceStaysWithoutReplacement(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	service := job("service", "a", "patient", 1, cores(4))
	service.Kind, service.RunTime = model.KindService, 0
	w.log.accept(service)
	w.log.accept(job("batch", "a", "patient", 1, cores(4)))
	w.advance(3 * time.Second)
	set := declared(testCentre)
	set.DataCentres[0].Service = decl.OutOfService
	w.log.declare(set)
	w.advance(5 * time.Second)
	assert.Equal(t, w.fleet.running("service"), 1)
	assert.Equal(t, w.fleet.running("batch"), 0)
}

// Guards against attempts that use more memory than the worker has, and against processors above the reservation.
func TestUsageAboveReservation(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.fleet.runTime = time.Minute
	w.fleet.peak = func(r ports.StartRequest) model.Resources { return model.Resources{Cores: 4000, Memory: 3 * 1024} }
	w.log.accept(job("j", "a", "patient", 4, cores(2)))
	w.advance(8 * time.Second)
	assert.Equal(t, w.fleet.running("j"), 2)
	for _, h := range w.fleet.hosts {
		for _, r := range h.tasks {
			assert.Assert(t, r.ended || r.throttle == 0.5 || r.req.Reservation.Cores > 4000, "%+v", r)
		}
	}
	w.advance(5 * time.Minute)
	assert.Equal(t, w.log.done(), 4)
}

// Guards against memory that running attempts use above their reservations being given away again, which evicted the same
// task every few seconds.
func TestOverusedMemoryIsNotGivenAway(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.fleet.runTime = 10 * time.Minute
	w.fleet.peak = func(r ports.StartRequest) model.Resources {
		if r.Attempt.Task.Job == "large" {
			return model.Resources{Cores: 2000, Memory: 3 * 1024}
		}
		return r.Reservation
	}
	w.log.accept(job("large", "a", "nightly", 2, cores(2)))
	w.log.accept(job("patient", "b", "patient", 2, cores(2)))
	w.advance(time.Minute)
	assert.Equal(t, w.fleet.running("large"), 2)
	assert.Equal(t, w.fleet.running("patient"), 1)
	for _, task := range w.log.tasks() {
		assert.Assert(t, task.Attempt <= 2, "%s is at attempt %d", task.ID, task.Attempt)
	}
}

// Guards against a worker that fails everything and goes on to get work.
func TestFailingWorkerIsAvoided(t *testing.T) {
	w := newWorld(t, 2, cores(8))
	w.fleet.runTime = time.Second
	bad := w.fleet.hosts["w0"]
	bad.fails = true
	for _, id := range []model.JobID{"a", "b", "c", "d"} {
		w.log.accept(job(id, "a", "patient", 10, cores(4)))
	}
	w.advance(55 * time.Second)
	for _, task := range w.log.tasks() {
		assert.Equal(t, task.Outcome == model.OutcomeFailed, false, "%s", task.ID)
	}
	assert.Assert(t, !w.nodes[0].placer.quarantine.Allows("w0", w.clock.Now()))
	assert.Equal(t, w.log.done(), 40)
}

// Guards against jobs that wait for ever because no worker is large enough.
func TestJobLargerThanEveryWorkerIsRefused(t *testing.T) {
	w := newWorld(t, 2, cores(8))
	w.log.accept(job("huge", "a", "patient", 1, cores(9)))
	w.advance(time.Minute)
	assert.Equal(t, len(w.nodes[0].placer.refusals), 0)
	w.advance(2 * time.Minute)
	w.nodes[0].placer.refuse(t.Context(), <-w.nodes[0].placer.refusals)
	assert.Equal(t, w.log.done(), 1)
}
