package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// Guards against claims on one worker that each count the room of the others' victims as missing.
func TestClaimsOnOneWorkerTakeNoMoreThanNeeded(t *testing.T) {
	w := newWorld(t, 1, cores(32))
	w.fleet.runTime = time.Hour
	w.log.accept(job("patient", "a", "patient", 16, cores(2)))
	w.advance(3 * time.Second)
	w.log.accept(job("urgent", "b", "urgent", 3, cores(4)))
	w.advance(3 * time.Second)
	assert.Equal(t, w.fleet.running("urgent"), 3)
	assert.Equal(t, w.fleet.running("patient"), 10)
	assert.Equal(t, w.fleet.ran, 19, "attempts started; more were stopped and started again")
}

// Guards against victims that are stopped although the work that needed their room is gone.
func TestCancelledClaimSparesVictims(t *testing.T) {
	w := newWorld(t, 1, cores(16))
	w.fleet.runTime = time.Hour
	w.log.accept(job("patient", "a", "patient", 8, cores(2)))
	w.advance(3 * time.Second)
	p := w.nodes[0].placer
	w.log.accept(job("urgent", "b", "urgent", 1, cores(4)))
	w.nodes[0].pump()
	p.decide()
	assert.Equal(t, len(p.claims), 1)
	w.log.cancel("urgent")
	w.nodes[0].pump()
	p.decide()
	w.advance(3 * time.Second)
	assert.Equal(t, w.fleet.running("patient"), 8)
	assert.Equal(t, w.fleet.ran, 8)
}

// Guards against a task that uses up its attempts on the one worker where it fails.
func TestRetryGoesElsewhere(t *testing.T) {
	w := newWorld(t, 2, cores(8))
	w.fleet.runTime = time.Second
	w.fleet.hosts["w0"].fails = true
	w.log.accept(job("j", "a", "patient", 1, cores(8)))
	w.advance(20 * time.Second)
	assert.Equal(t, w.log.tasks()[0].Outcome, model.OutcomeSucceeded)
}

// Guards against room and tasks that stay taken after a binding that was not recorded.
func TestUnrecordedBindingIsReleased(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.advance(time.Second)
	w.log.accept(job("j", "a", "patient", 2, cores(4)))
	w.log.out = true
	w.advance(time.Second)
	w.log.out = false
	w.advance(15 * time.Second)
	assert.Equal(t, w.log.done(), 2)
}

// Guards against an attempt that waits for ever behind others that had all ended when it was bound.
func TestStrandedBacklogIsReturned(t *testing.T) {
	w := newWorld(t, 1, cores(8))
	w.advance(time.Second)
	w.log.accept(job("j", "a", "patient", 1, cores(4)))
	w.log.write(record.Taken{
		Attempt: model.AttemptID{Task: model.TaskID{Job: "j"}, Number: 1}, Worker: "w0", Boot: "1", Reservation: cores(4),
		Behind: true,
	})
	w.advance(20 * time.Second)
	assert.Equal(t, w.log.done(), 1)
}
