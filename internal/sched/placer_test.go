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

// assertSafe checks that no task ran twice at a time and no worker was overcommitted.
func (c *testCluster) assertSafe(t *testing.T) {
	t.Helper()
	assert.Equal(t, c.fleet.doubleRuns, 0, "tasks running twice")
	assert.Equal(t, c.fleet.overcommits, 0, "overcommitted starts")
}

// Guards against queued tasks that are never bound or started, or whose end is never recorded.
func TestQueuedTasksRunToCompletion(t *testing.T) {
	c := newTestCluster(t, 4, cores(8))
	c.log.accept(job("j", "a", "patient", 40, cores(2)))
	c.advance(60 * time.Second)
	assert.Equal(t, c.log.doneTasks(), 40)
	assert.Equal(t, c.fleet.startCount, 40)
	c.assertSafe(t)
}

// Guards against urgent work that waits because the fleet is full, and against preempting more than it needs.
func TestUrgentWorkPreempts(t *testing.T) {
	c := newTestCluster(t, 4, cores(8))
	c.fleet.runTime = time.Hour
	c.log.accept(job("patient", "a", "patient", 100, cores(2)))
	c.advance(5 * time.Second)
	assert.Equal(t, c.fleet.running("patient"), 16)
	c.log.accept(job("urgent", "b", "urgent", 2, cores(4)))
	c.advance(4 * time.Second)
	assert.Equal(t, c.fleet.running("urgent"), 2)
	assert.Equal(t, c.fleet.running("patient"), 12)
	saved := slices.DeleteFunc(c.log.tasks(), func(t state.Task) bool { return t.Checkpoint == 0 })
	assert.Equal(t, len(saved), 4, "preempted attempts with a checkpoint")
	c.assertSafe(t)
}

// Guards against gangs of which only some members start, and against gangs that starve behind small tasks.
func TestGangStartsTogether(t *testing.T) {
	c := newTestCluster(t, 4, cores(8))
	c.fleet.runTime = 30 * time.Second
	c.log.accept(job("small", "a", "patient", 200, cores(2)))
	c.advance(5 * time.Second)
	gang := job("gang", "b", "patient", 4, cores(4))
	gang.Kind = model.KindGang
	c.log.accept(gang)
	for range 100 {
		c.advance(200 * time.Millisecond)
		n := c.fleet.running("gang")
		assert.Assert(t, n == 0 || n == 4, "%d members of the gang run", n)
		if n == 4 {
			break
		}
	}
	assert.Equal(t, c.fleet.running("gang"), 4)
	c.assertSafe(t)
}

// Guards against cancelled tasks that keep running.
func TestCancelledWorkStops(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.fleet.runTime = time.Hour
	c.log.accept(job("j", "a", "patient", 20, cores(2)))
	c.advance(3 * time.Second)
	c.log.cancel("j")
	c.advance(3 * time.Second)
	assert.Equal(t, c.fleet.running("j"), 0)
	assert.Equal(t, c.log.doneTasks(), 20)
}

// Guards against a team that keeps more than its lowered limit, and against stopping its oldest tasks first.
func TestLoweredLimitStopsYoungest(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.fleet.runTime = time.Hour
	c.log.accept(job("old", "a", "patient", 2, cores(2)))
	c.advance(3 * time.Second)
	c.log.accept(job("young", "a", "patient", 2, cores(2)))
	c.advance(3 * time.Second)
	set := testDeclarations(testDataCentre)
	set.Teams[0].Limit = decl.Limit{Tasks: 2}
	c.log.declare(set)
	c.advance(3 * time.Second)
	assert.Equal(t, c.fleet.running("old"), 2)
	assert.Equal(t, c.fleet.running("young"), 0)
	assert.Equal(t, c.log.machine.Usage()["a"].Tasks, 2)
}

// Guards against a worker that idles during a log outage although tasks are bound to its backlog.
func TestBacklogStartsDuringLogOutage(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.log.accept(job("j", "a", "patient", 8, cores(4)))
	c.advance(5 * time.Second)
	c.log.unavailable, c.nodes[0].links.outage = true, true
	c.advance(14 * time.Second)
	assert.Equal(t, c.fleet.startCount, 4, "attempts started before and during the outage")
	c.log.unavailable, c.nodes[0].links.outage = false, false
	c.advance(40 * time.Second)
	assert.Equal(t, c.log.doneTasks(), 8)
	assert.Equal(t, c.fleet.startCount, 8)
	c.assertSafe(t)
}

// Guards against starts while the instance is cut off, the data centre is out of service or the worker is suspected
// lost.
func TestBoundTaskIsNotStarted(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *testCluster)
	}{
		{"cut off", func(c *testCluster) { c.nodes[0].links.cutOff = true }},
		{"out of service", func(c *testCluster) {
			set := testDeclarations(testDataCentre)
			set.DataCentres[0].Service = decl.OutOfService
			c.log.declare(set)
		}},
		{"suspected", func(c *testCluster) {
			c.nodes[0].links.cutOff = true
			c.log.write(record.WorkerSuspected{Worker: "w0", Boot: "1"})
		}},
	}
	for _, tt := range tests {
		c := newTestCluster(t, 1, cores(8))
		c.advance(2 * time.Second)
		c.fleet.workers["w0"].answersLost, c.fleet.workers["w0"].unreachable = true, true
		c.log.accept(job("j", "a", "patient", 2, cores(4)))
		c.advance(time.Second)
		assert.Equal(t, c.log.bindings, 2, tt.name)
		tt.fault(c)
		c.fleet.workers["w0"].answersLost, c.fleet.workers["w0"].unreachable = false, false
		c.advance(30 * time.Second)
		assert.Equal(t, c.fleet.startCount, 0, tt.name)
	}
}

// Guards against a new lease holder that starts an attempt again because its state machine lacks the end that the
// previous holder acknowledged.
func TestTakeoverWaitsForFreshView(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.addNode(testDataCentre)
	c.nodes[1].links.placer = false
	// The other instance is not registered yet, so the end is acknowledged without it.
	c.nodes[0].links.soleInstance = true
	c.fleet.runTime = 2 * time.Second
	c.log.accept(job("j", "a", "patient", 1, cores(4)))
	c.advance(2 * time.Second)
	c.nodes[1].links.frozenAt = c.clock.Now()
	c.advance(3 * time.Second)
	assert.Equal(t, c.log.doneTasks(), 1)
	assert.Equal(t, len(c.fleet.workers["w0"].tasks), 0, "attempts not acknowledged")
	c.nodes[0].links.placer, c.nodes[1].links.placer = false, true
	c.advance(5 * time.Second)
	c.assertSafe(t)
	assert.Equal(t, c.fleet.startCount, 1)
}

// Guards against an end that is acknowledged before the other instances of the data centre have applied it: one of them
// may take over during a log outage and would run the attempt again.
func TestAcknowledgementWaitsForOtherInstances(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.addNode(testDataCentre)
	c.nodes[1].links.placer = false
	c.fleet.runTime = 2 * time.Second
	c.log.accept(job("j", "a", "patient", 1, cores(4)))
	c.advance(2 * time.Second)
	c.nodes[1].links.frozenAt = c.clock.Now()
	c.advance(3 * time.Second)
	assert.Equal(t, c.log.doneTasks(), 1)
	assert.Equal(t, len(c.fleet.workers["w0"].tasks), 1, "acknowledged too early")
	c.nodes[1].links.frozenAt = time.Time{}
	c.advance(3 * time.Second)
	assert.Equal(t, len(c.fleet.workers["w0"].tasks), 0, "not acknowledged")
}

// Guards against a new lease holder that starts nothing during a log outage, and against one that starts tasks although
// a live instance has applied more records.
func TestTakeoverDuringLogOutage(t *testing.T) {
	tests := []struct {
		name   string
		behind bool
		ran    int
	}{{"current", false, 1}, {"a live instance has applied more", true, 0}}
	for _, test := range tests {
		c := newTestCluster(t, 1, cores(8))
		c.addNode(testDataCentre)
		c.nodes[1].links.placer = false
		c.advance(2 * time.Second)
		c.fleet.workers["w0"].answersLost, c.fleet.workers["w0"].unreachable = true, true
		c.log.accept(job("j", "a", "patient", 1, cores(4)))
		c.advance(time.Second)
		assert.Equal(t, c.log.bindings, 1, test.name)
		if test.behind {
			c.nodes[1].links.frozenAt = c.clock.Now()
			c.log.accept(job("unseen", "a", "patient", 1, cores(9)))
			c.advance(200 * time.Millisecond)
		}
		f := &faults{testCluster: c}
		f.toggleLogOutage()
		for _, n := range c.nodes {
			n.links.frozenAt = c.clock.Now().Add(-time.Second)
		}
		c.nodes[0].links.placer, c.nodes[1].links.placer = false, true
		c.fleet.workers["w0"].answersLost, c.fleet.workers["w0"].unreachable = false, false
		c.advance(6 * time.Second)
		assert.Equal(t, c.fleet.startCount, test.ran, test.name)
	}
}

// Guards against capacity that an instance keeps claimed when it is no longer the placer (found by
// TestPlacementUnderFaults with -rapid.seed=714615).
func TestDemotedPlacerDropsClaims(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.fleet.runTime = time.Hour
	c.log.accept(job("patient", "a", "patient", 1, cores(8)))
	c.advance(2 * time.Second)
	c.fleet.workers["w0"].answersLost, c.fleet.workers["w0"].unreachable = true, true
	c.log.accept(job("urgent", "b", "urgent", 1, cores(8)))
	c.advance(400 * time.Millisecond)
	p := c.nodes[0].placer
	assert.Equal(t, len(p.claims), 1)
	c.nodes[0].links.placer = false
	c.advance(400 * time.Millisecond)
	assert.Equal(t, len(p.claims), 0)
}

// Guards against a start that is based on events older than the state machine, or made while an earlier attempt still
// runs on another worker.
func TestStartChecksStateAndOtherWorkers(t *testing.T) {
	c := newTestCluster(t, 2, cores(8))
	c.fleet.runTime = time.Hour
	c.advance(2 * time.Second)
	for _, w := range c.fleet.workers {
		w.unreachable, w.answersLost = true, true
	}
	c.log.accept(job("j", "a", "patient", 1, cores(4)))
	c.advance(400 * time.Millisecond)
	task, _, _ := c.log.machine.Task(model.TaskID{Job: "j"})
	first := task.CurrentAttempt()
	c.log.write(record.Ended{Attempt: first, Worker: task.Worker, Outcome: model.OutcomeNeverStarted})
	c.advance(time.Second)
	p := c.nodes[0].placer
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
	assert.Equal(t, len(p.starts(s)), 0, "the state machine has no such attempt bound")
}

// Guards against work that stays in a data centre that is out of service, and against stopping services without a
// replacement.
func TestOutOfServiceDataCentreIsDrained(t *testing.T) {
	c := newTestCluster(t, 2, cores(8))
	c.fleet.add("dc2", 2, cores(8))
	c.addNode("dc2")
	inService := testDeclarations(testDataCentre, "dc2")
	c.log.declare(inService)
	c.fleet.runTime = 8 * time.Second
	service := job("service", "a", "patient", 3, cores(4))
	service.Kind, service.RunTime = model.KindService, 0
	c.log.accept(service)
	c.log.accept(job("batch", "b", "patient", 16, cores(1)))
	c.advance(3 * time.Second)
	outOfService := testDeclarations(testDataCentre, "dc2")
	outOfService.DataCentres[0].Service = decl.OutOfService
	c.log.declare(outOfService)
	for range 50 {
		c.advance(time.Second)
		assert.Assert(t, c.fleet.running("service") >= 1)
	}
	for _, w := range c.fleet.workers {
		for id, a := range w.tasks {
			assert.Assert(t, w.dc == "dc2" || a.ended, "%s still runs in %s", id, w.dc)
		}
	}
	assert.Equal(t, c.fleet.running("service"), 3)
	assert.Equal(t, c.log.doneTasks(), 16)
	c.assertSafe(t)
}

// Guards against stopping services when no other data centre has free capacity for them.
func TestServiceStaysWithoutReplacement(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	service := job("service", "a", "patient", 1, cores(4))
	service.Kind, service.RunTime = model.KindService, 0
	c.log.accept(service)
	c.log.accept(job("batch", "a", "patient", 1, cores(4)))
	c.advance(3 * time.Second)
	set := testDeclarations(testDataCentre)
	set.DataCentres[0].Service = decl.OutOfService
	c.log.declare(set)
	c.advance(5 * time.Second)
	assert.Equal(t, c.fleet.running("service"), 1)
	assert.Equal(t, c.fleet.running("batch"), 0)
}

// Guards against attempts that together use more memory than the worker has, and against attempts that use more
// processors than they reserved.
func TestUsageAboveReservation(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.fleet.runTime = time.Minute
	c.fleet.peak = func(r ports.StartRequest) model.Resources { return model.Resources{Cores: 4000, Memory: 3 * 1024} }
	c.log.accept(job("j", "a", "patient", 4, cores(2)))
	c.advance(8 * time.Second)
	assert.Equal(t, c.fleet.running("j"), 2)
	for _, w := range c.fleet.workers {
		for _, a := range w.tasks {
			assert.Assert(t, a.ended || a.throttle == 0.5 || a.req.Reservation.Cores > 4000, "%+v", a)
		}
	}
	c.advance(5 * time.Minute)
	assert.Equal(t, c.log.doneTasks(), 4)
}

// Guards against reserving memory for new tasks that running attempts use above their reservations: the same task was
// evicted every few seconds.
func TestOverusedMemoryIsNotReserved(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.fleet.runTime = 10 * time.Minute
	c.fleet.peak = func(r ports.StartRequest) model.Resources {
		if r.Attempt.Task.Job == "large" {
			return model.Resources{Cores: 2000, Memory: 3 * 1024}
		}
		return r.Reservation
	}
	c.log.accept(job("large", "a", "nightly", 2, cores(2)))
	c.log.accept(job("patient", "b", "patient", 2, cores(2)))
	c.advance(time.Minute)
	assert.Equal(t, c.fleet.running("large"), 2)
	assert.Equal(t, c.fleet.running("patient"), 1)
	for _, task := range c.log.tasks() {
		assert.Assert(t, task.Attempt <= 2, "%s is at attempt %d", task.ID, task.Attempt)
	}
}

// Guards against a worker that fails every task and is still given work.
func TestFailingWorkerIsAvoided(t *testing.T) {
	c := newTestCluster(t, 2, cores(8))
	c.fleet.runTime = time.Second
	bad := c.fleet.workers["w0"]
	bad.failsTasks = true
	for _, id := range []model.JobID{"a", "b", "c", "d"} {
		c.log.accept(job(id, "a", "patient", 10, cores(4)))
	}
	c.advance(55 * time.Second)
	for _, task := range c.log.tasks() {
		assert.Equal(t, task.Outcome == model.OutcomeFailed, false, "%s", task.ID)
	}
	assert.Assert(t, !c.nodes[0].placer.quarantine.Allows("w0", c.clock.Now()))
	assert.Equal(t, c.log.doneTasks(), 40)
}

// Guards against jobs that wait for ever because no worker is large enough.
func TestJobLargerThanEveryWorkerIsRefused(t *testing.T) {
	c := newTestCluster(t, 2, cores(8))
	c.log.accept(job("huge", "a", "patient", 1, cores(9)))
	c.advance(time.Minute)
	assert.Equal(t, len(c.nodes[0].placer.refusals), 0)
	c.advance(2 * time.Minute)
	c.nodes[0].placer.refuse(t.Context(), <-c.nodes[0].placer.refusals)
	assert.Equal(t, c.log.doneTasks(), 1)
}
