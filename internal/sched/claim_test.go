package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// Guards against preempting more than several claims on one worker need, because none of them counts the capacity that
// the others' victims release.
func TestClaimsOnOneWorkerTakeNoMoreThanNeeded(t *testing.T) {
	c := newTestCluster(t, 1, cores(32))
	c.fleet.runTime = time.Hour
	c.log.accept(job("patient", "a", "patient", 16, cores(2)))
	c.advance(3 * time.Second)
	c.log.accept(job("urgent", "b", "urgent", 3, cores(4)))
	c.advance(3 * time.Second)
	assert.Equal(t, c.fleet.running("urgent"), 3)
	assert.Equal(t, c.fleet.running("patient"), 10)
	assert.Equal(t, c.fleet.startCount, 19, "attempts started; if more, some were stopped and started again")
}

// Guards against stopping victims after the work that needed their capacity was cancelled.
func TestCancelledClaimKeepsVictimsRunning(t *testing.T) {
	c := newTestCluster(t, 1, cores(16))
	c.fleet.runTime = time.Hour
	c.log.accept(job("patient", "a", "patient", 8, cores(2)))
	c.advance(3 * time.Second)
	p := c.nodes[0].placer
	c.log.accept(job("urgent", "b", "urgent", 1, cores(4)))
	c.nodes[0].applyNewRecords()
	p.decide()
	assert.Equal(t, len(p.claims), 1)
	c.log.cancel("urgent")
	c.nodes[0].applyNewRecords()
	p.decide()
	c.advance(3 * time.Second)
	assert.Equal(t, c.fleet.running("patient"), 8)
	assert.Equal(t, c.fleet.startCount, 8)
}

// Guards against a gang that is bound with fewer members after the claim of one member was dropped.
func TestDroppedClaimOfGangMemberDropsAll(t *testing.T) {
	c := newTestCluster(t, 2, cores(8))
	c.fleet.runTime = time.Hour
	c.log.accept(job("patient", "a", "patient", 8, cores(2)))
	c.advance(3 * time.Second)
	p := c.nodes[0].placer
	gang := job("gang", "b", "urgent", 2, cores(6))
	gang.Kind = model.KindGang
	c.log.accept(gang)
	c.nodes[0].applyNewRecords()
	p.decide()
	assert.Equal(t, len(p.claims), 2)
	p.claims[model.TaskID{Job: "gang"}].since = time.Time{}
	for range 20 {
		p.decide()
		assert.Assert(t, len(p.claims) != 1, "one member's claim is left")
		c.advance(200 * time.Millisecond)
		n := c.fleet.running("gang")
		assert.Assert(t, n == 0 || n == 2, "%d members of the gang run", n)
	}
	assert.Equal(t, c.fleet.running("gang"), 2)
}

// Guards against a task that uses up all its attempts on a worker where it fails.
func TestRetryAvoidsFailedWorker(t *testing.T) {
	c := newTestCluster(t, 2, cores(8))
	c.fleet.runTime = time.Second
	c.fleet.workers["w0"].failsTasks = true
	c.log.accept(job("j", "a", "patient", 1, cores(8)))
	c.advance(20 * time.Second)
	assert.Equal(t, c.log.tasks()[0].Outcome, model.OutcomeSucceeded)
}

// Guards against bindings that were not recorded but keep their reservations and their tasks.
func TestUnrecordedBindingIsReleased(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.advance(time.Second)
	c.log.accept(job("j", "a", "patient", 2, cores(4)))
	c.log.unavailable = true
	c.advance(time.Second)
	c.log.unavailable = false
	c.advance(15 * time.Second)
	assert.Equal(t, c.log.doneTasks(), 2)
}

// Guards against an attempt that stays in a worker's backlog for ever because all attempts ahead of it had ended when
// it was bound.
func TestStrandedBacklogIsRequeued(t *testing.T) {
	c := newTestCluster(t, 1, cores(8))
	c.advance(time.Second)
	c.log.accept(job("j", "a", "patient", 1, cores(4)))
	c.log.write(record.Taken{
		Attempt: model.AttemptID{Task: model.TaskID{Job: "j"}, Number: 1}, Worker: "w0", Boot: "1", Reservation: cores(4),
		Behind: true,
	})
	c.advance(20 * time.Second)
	assert.Equal(t, c.log.doneTasks(), 1)
}
