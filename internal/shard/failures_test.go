package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestFailureReportedAfterLeaseExpiryCounts guards against a failure that is acknowledged but not counted: a worker is
// unreachable until the lease of a run counts as expired, and reports the run's failure afterwards.
func TestFailureReportedAfterLeaseExpiryCounts(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 1)
	silent := first[0].Target.ID
	other := model.WorkerID("w1")
	if silent == "w1" {
		other = "w2"
	}
	// The worker is silent until its lease has expired; the task runs on the other worker and fails there.
	for range 20 {
		h.advance(time.Second)
		h.report(other, agent.Report{})
	}
	second := h.confirmStarts()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Target.ID, other)
	h.report(other, agent.Report{Ended: []agent.EndedRun{firstEnd(second[0], agent.OutcomeFailed)}})
	h.commit()
	h.requireState(work.StateRunning)
	// The queue allows two failures; the one on the unreachable worker is the second.
	h.report(silent, agent.Report{Ended: []agent.EndedRun{firstEnd(first[0], agent.OutcomeFailed)}})
	assert.Equal(t, len(h.confirmStarts()), 0)
	h.requireState(work.StateFailed)
}

// TestFailureCountsOnceAcrossOwners guards against counting a failure twice: a worker reports to a new owner an ended run
// that the former owner recorded but did not acknowledge.
func TestFailureCountsOnceAcrossOwners(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	failed := firstEnd(first[0], agent.OutcomeFailed)
	h.report("w1", agent.Report{Ended: []agent.EndedRun{failed}})
	progress := h.commit()
	assert.Equal(t, len(progress), 1)
	job := h.shard.jobs["j"].spec
	h.takeOver(RecordedState{Jobs: []work.Job{job}, Progress: map[model.JobID]work.Progress{"j": progress[0].Progress}})
	// Until then a start of the former owner may arrive at any worker, and its run keeps the longest lease.
	h.advance(h.shard.longestLeaseEnd(3*time.Second + maxCommandDelay))
	h.report("w1", agent.Report{Ended: []agent.EndedRun{failed}})
	assert.Equal(t, len(h.confirmStarts()), 1)
	h.requireState(work.StateRunning)
}

// TestNoStartWhileFinalFailureMayBeUnreported guards against a start after the final failure that the queue allows: a member of
// a gang failed on a worker that has become unreachable, and only the others report that their gang is broken.
func TestNoStartWhileFinalFailureMayBeUnreported(t *testing.T) {
	tests := []struct {
		name string
		// answers tells that the worker answers again, and reports no failure, before its lease has expired.
		answers bool
	}{
		{"until the worker answers", true},
		{"until the worker's lease has expired", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			workers := []model.WorkerID{"w1", "w2", "w3", "w4", "w5", "w6"}
			h := newHarness(t, workers...)
			gang := sized(2, 3000, time.Second)
			gang.Gang = true
			h.submitJob(gang)
			first := h.confirmStarts()
			assert.Equal(t, len(first), 2)
			h.report(first[0].Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(first[0], agent.OutcomeFailed)}})
			h.report(first[1].Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(first[1], agent.OutcomeGangBroken)}})
			second := h.confirmStarts()
			assert.Equal(t, len(second), 2)
			silent, other := second[0].Target.ID, second[1]
			h.report(silent, agent.Report{Incomplete: true})
			expires := h.shard.workers[silent].leaseEnd
			h.report(other.Target.ID, agent.Report{Ended: []agent.EndedRun{{
				Number: 2, Task: other.Start.Task, Run: other.Start.Run, Outcome: agent.OutcomeGangBroken,
			}}})
			presumed := h.now + simGangTimeout + simKillGrace + time.Second
			started := 0
			for h.now < expires+time.Second && started == 0 {
				if tt.answers && h.now > presumed {
					assert.Assert(t, h.now < expires)
					h.report(silent, agent.Report{})
				}
				h.advance(250 * time.Millisecond)
				for _, id := range workers {
					if id != silent {
						h.report(id, agent.Report{})
					}
				}
				commands := h.nextCommands()
				for _, cmd := range commands.Stops {
					h.shard.ApplyStopResult(cmd, 0, agent.ErrNoAnswer, h.now)
				}
				started = len(commands.Starts)
			}
			assert.Equal(t, started, 2)
			assert.Assert(t, h.now > presumed)
			assert.Equal(t, h.now > expires, !tt.answers)
		})
	}
}

// TestNoWaitForFailuresBeyondLease guards against a task with one attempt left that waits for a worker that is gone for good: a
// failure there that is reported after the worker's lease has expired doesn't count.
func TestNoWaitForFailuresBeyondLease(t *testing.T) {
	h := newHarness(t, "w1", "w2", "w3")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 1)
	h.report(first[0].Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(first[0], agent.OutcomeFailed)}})
	second := h.confirmStarts()
	assert.Equal(t, len(second), 1)
	lost := second[0].Target.ID
	expires := h.shard.workers[lost].leaseEnd
	h.workers = slices.DeleteFunc(h.workers, func(id model.WorkerID) bool { return id == lost })
	h.register()
	started := 0
	for h.now < expires+time.Second && started == 0 {
		h.advance(250 * time.Millisecond)
		for _, id := range h.workers {
			h.report(id, agent.Report{})
		}
		started = len(h.confirmStarts())
	}
	assert.Equal(t, started, 1)
}

// TestLateStartReachesNewIncarnation guards against exceeding a worker's capacity: a start went unanswered and was
// repeated successfully, the worker restarted, and the first start reaches the new incarnation.
func TestLateStartReachesNewIncarnation(t *testing.T) {
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprintf("listed %v", listed), func(t *testing.T) {
			h := newHarness(t, "w1")
			h.submitJob(tasks(4))
			starts := h.nextCommands().Starts
			assert.Equal(t, len(starts), 4)
			running := agent.Report{}
			for i, cmd := range starts {
				var err error
				if i == 0 {
					err = agent.ErrNoAnswer
				}
				h.clock["w1"] += time.Millisecond
				h.shard.ApplyStartResult(cmd, h.clock["w1"], err, h.now)
				running.Running = append(running.Running, agent.ActiveRun{Task: cmd.Start.Task, Run: cmd.Start.Run})
			}
			h.advance(commandRetryDelay)
			assert.Equal(t, len(h.confirmStarts()), 1, "the unanswered start is sent again")
			if listed {
				h.report("w1", running)
			}
			h.incarnation["w1"], h.clock["w1"] = 2, 0
			h.report("w1", agent.Report{})
			assert.Assert(t, len(h.confirmStarts()) < 4, "a start that may still arrive keeps its capacity")
		})
	}
}

// TestLateStartOfEndedRunIsStopped guards against starting a task again after its success was acknowledged: a start went
// unanswered and was repeated successfully, the run ended, the worker restarted, and the first start is still in flight.
func TestLateStartOfEndedRunIsStopped(t *testing.T) {
	tests := []struct {
		name    string
		restart time.Duration
		stops   int
	}{
		{"while the start may arrive", time.Second, 1},
		{"after the start is lost for certain", maxCommandDelay + time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.submitJob(tasks(1))
			starts := h.nextCommands().Starts
			assert.Equal(t, len(starts), 1)
			h.shard.ApplyStartResult(starts[0], 0, agent.ErrNoAnswer, h.now)
			h.advance(commandRetryDelay)
			assert.Equal(t, len(h.confirmStarts()), 1)
			h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(starts[0], agent.OutcomeDone)}})
			h.commit()
			h.requireState(work.StateCompleted)
			h.advance(tt.restart)
			h.incarnation["w1"], h.clock["w1"] = 2, 0
			h.report("w1", agent.Report{})
			commands := h.nextCommands()
			assert.Equal(t, len(commands.Stops), tt.stops)
			w := h.shard.workers["w1"]
			assert.Equal(t, w.usable(h.now), tt.stops == 0)
			for _, stop := range commands.Stops {
				assert.Equal(t, stop.Stop.Task, starts[0].Start.Task)
				h.shard.ApplyStopResult(stop, h.clock["w1"], nil, h.now)
			}
			h.report("w1", agent.Report{})
			assert.Assert(t, w.usable(h.now), "the worker refuses the late start once the stop is confirmed")
		})
	}
}

// TestAvoidedWorkersAreUsedAgain guards against a job that never runs again, though it has attempts left, because a task has
// failed once on each worker that may run it. Such a start is paced: a worker that fails everything must not use up the
// attempts at once.
func TestAvoidedWorkersAreUsedAgain(t *testing.T) {
	service := tasks(1)
	service.Service = true
	tests := []struct {
		name     string
		stage    work.Stage
		failures int
	}{
		{"task with an attempt left", tasks(1), 1},
		{"service", service, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.submitJob(tt.stage)
			for i := range tt.failures + 1 {
				var starts []StartCommand
				waited := time.Duration(0)
				for ; len(starts) == 0 && waited < 3*time.Second; waited += 50 * time.Millisecond {
					h.advance(50 * time.Millisecond)
					h.report("w1", agent.Report{Incomplete: true})
					starts = h.confirmStarts()
				}
				assert.Equal(t, len(starts), 1, "start %d", i+1)
				assert.Assert(t, i == 0 || waited >= time.Second, "start %d came %v after the failure", i+1, waited)
				failed := agent.EndedRun{Number: int64(i + 1), Task: starts[0].Start.Task, Run: i + 1, Outcome: agent.OutcomeFailed}
				h.report("w1", agent.Report{Ended: []agent.EndedRun{failed}})
			}
		})
	}
}

// TestFailedTaskUsesLastRoom guards against a task that idles beside room because it has failed there, while the other workers that
// may run it are full.
func TestFailedTaskUsesLastRoom(t *testing.T) {
	service, gang := tasks(1), tasks(2)
	service.Service, gang.Gang = true, true
	tests := []struct {
		name  string
		stage work.Stage
		// filled is what is in use on the other worker.
		filled model.MilliCores
	}{
		{"task", tasks(1), 4000},
		{"service", service, 4000},
		{"gang of which the other worker holds a part", gang, 3000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2")
			filler := sized(1, tt.filled, time.Hour)
			filler.Service = true
			h.submitAs("other", testQueue, filler)
			other := h.confirmStarts()[0]
			h.submitJob(tt.stage)
			first := h.confirmStarts()
			assert.Equal(t, len(first), tt.stage.Count)
			failedOn := first[0].Target.ID
			assert.Assert(t, failedOn != other.Target.ID)
			ends := make([]agent.EndedRun, 0, len(first))
			for i, cmd := range first {
				ends = append(ends, agent.EndedRun{Number: int64(i + 1), Task: cmd.Start.Task, Run: cmd.Start.Run, Outcome: agent.OutcomeFailed})
			}
			h.report(failedOn, agent.Report{Ended: ends})
			failed, started := h.now, 0
			for h.now-failed < 5*time.Second && started == 0 {
				h.advance(100 * time.Millisecond)
				for _, id := range h.workers {
					h.report(id, agent.Report{Incomplete: true})
				}
				for _, cmd := range h.confirmStarts() {
					assert.Equal(t, cmd.Target.ID, failedOn)
					started++
				}
			}
			waited := h.now - failed
			assert.Equal(t, started, tt.stage.Count)
			assert.Assert(t, waited >= avoidTimeWithoutOthers && waited < 3*time.Second, "started again after %v", waited)
		})
	}
}

// TestFailedTaskMovesToAnotherWorker guards against a second start on a worker that has just failed the task, while another
// worker may run it but is full.
func TestFailedTaskMovesToAnotherWorker(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	service := sized(1, 4000, time.Hour)
	service.Service = true
	h.submitAs("other", testQueue, service)
	other := h.confirmStarts()
	assert.Equal(t, len(other), 1)
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 1)
	h.report(first[0].Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(first[0], agent.OutcomeFailed)}})
	for range 3 {
		h.advance(avoidTimeWithoutOthers / 4)
		h.report("w1", agent.Report{Incomplete: true})
		h.report("w2", agent.Report{Incomplete: true})
		assert.Equal(t, len(h.confirmStarts()), 0)
	}
	h.report(other[0].Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(other[0], agent.OutcomeFailed)}})
	started := false
	for _, cmd := range h.confirmStarts() {
		if cmd.Start.Task.Job == "j" {
			started = true
			assert.Equal(t, cmd.Target.ID, other[0].Target.ID)
		}
	}
	assert.Assert(t, started)
}

// TestLateSuccessIsNotRunAgain guards against a run after an acknowledged success: the worker reports the success of a run that
// was given up.
func TestLateSuccessIsNotRunAgain(t *testing.T) {
	tests := []struct {
		name string
		gang bool
		// again tells that the task was started again before the report.
		again bool
	}{
		{"before another run", false, false},
		{"beside another run", false, true},
		{"gang beside another run", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2", "w3", "w4")
			stage := sized(2, 3000, time.Second)
			stage.Gang = tt.gang
			h.submitJob(stage)
			first := h.confirmStarts()
			assert.Equal(t, len(first), 2)
			for _, cmd := range first {
				a := h.shard.jobs["j"].stages[0].tasks[cmd.Start.Task.Index].attempts[0]
				h.shard.endUnreported(a, goneNotListed, h.now)
			}
			var again []StartCommand
			if tt.again {
				again = h.confirmStarts()
				assert.Equal(t, len(again), 2)
			}
			for _, cmd := range first {
				report := agent.Report{Ended: []agent.EndedRun{firstEnd(cmd, agent.OutcomeDone)}}
				for _, other := range again {
					if other.Target.ID == cmd.Target.ID {
						report.Running = append(report.Running, agent.ActiveRun{Task: other.Start.Task, Run: other.Start.Run})
					}
				}
				h.report(cmd.Target.ID, report)
			}
			commands := h.nextCommands()
			assert.Equal(t, len(commands.Starts), 0)
			assert.Equal(t, len(commands.Stops), len(again))
			h.requireState(work.StateCompleted)
		})
	}
}
