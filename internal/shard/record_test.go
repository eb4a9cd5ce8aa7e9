package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestNoAcknowledgementBeforeCommit guards against a completed job that runs again under a new owner: an ended run may be
// acknowledged to its worker, and a final state reported to clients, only once both are recorded.
func TestNoAcknowledgementBeforeCommit(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(first[0], agent.OutcomeDone)}})
	heartbeat, _ := h.shard.HeartbeatFor("w1", h.now, true)
	assert.Equal(t, heartbeat.Acked, int64(0))
	assert.Assert(t, !h.shard.EndsAcknowledgeable("w1", h.now))
	h.requireState(work.StateRunning)
	h.commit()
	assert.Assert(t, h.shard.EndsAcknowledgeable("w1", h.now))
	heartbeat, _ = h.shard.HeartbeatFor("w1", h.now, true)
	assert.Equal(t, heartbeat.Acked, int64(1))
	h.requireState(work.StateCompleted)
}

// TestNoStartBeforeCommit guards against a run that a new owner can't know about.
func TestNoStartBeforeCommit(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	h.shard.Tick(h.now, h.wall)
	assert.Equal(t, len(h.shard.TakeCommands(h.now).Starts), 0)
	h.commit()
	assert.Equal(t, len(h.shard.TakeCommands(h.now).Starts), 1)
}

// TestNoStartBeforeFirstReport guards against starts on a worker that still accepts commands from a former owner.
func TestNoStartBeforeFirstReport(t *testing.T) {
	h := newHarness(t, "w1")
	h.takeOver(RecordedState{})
	h.submitJob(tasks(1))
	assert.Equal(t, len(h.nextCommands().Starts), 0)
	h.report("w1", agent.Report{})
	assert.Equal(t, len(h.nextCommands().Starts), 1)
}

// TestEndInNewIncarnationCounts guards against a success that is acknowledged but ignored: the start reached the
// worker's next incarnation before the owner had learnt of that incarnation.
func TestEndInNewIncarnationCounts(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	h.incarnation["w1"] = 2
	h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(first[0], agent.OutcomeDone)}})
	h.commit()
	h.requireState(work.StateCompleted)
}

// TestStoppedRunKeepsCapacityUntilReported guards against reusing capacity while a stopped run may still be on the
// worker.
func TestStoppedRunKeepsCapacityUntilReported(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	h.shard.Cancel("j", h.now)
	stops := h.nextCommands().Stops
	assert.Equal(t, len(stops), 1)
	h.shard.ApplyStopResult(stops[0], h.clock["w1"], nil, h.now)
	assert.Equal(t, h.shard.workers["w1"].used.Cores, first[0].attempt.size().Cores)
	h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(first[0], agent.OutcomeStopped)}})
	assert.Equal(t, h.shard.workers["w1"].used, model.Resources{})
}

// TestGangWaitsForUnreachableWorker guards against two runs of a gang's member at the same time: another member has ended, which
// proves nothing about the one on a worker that doesn't answer.
func TestGangWaitsForUnreachableWorker(t *testing.T) {
	tests := []struct {
		name   string
		answer error
	}{
		{"both running", nil},
		{"start without an answer", agent.ErrNoAnswer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2", "w3")
			gang := tasks(2)
			gang.Gang, gang.Size.Cores = true, 3000
			h.submitJob(gang)
			starts := h.nextCommands().Starts
			assert.Equal(t, len(starts), 2)
			h.shard.ApplyStartResult(starts[0], h.clock[starts[0].Target.ID], nil, h.now)
			h.shard.ApplyStartResult(starts[1], h.clock[starts[1].Target.ID], test.answer, h.now)
			h.report(starts[0].Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(starts[0], agent.OutcomeStopped)}})
			silent, silentSince := starts[1].Target.ID, h.now
			for h.now-silentSince < 30*time.Second {
				h.advance(time.Second)
				for _, id := range h.workers {
					if id != silent {
						h.report(id, agent.Report{})
					}
				}
				if len(h.nextCommands().Starts) == 2 {
					waited := h.now - silentSince
					assert.Assert(t, waited > testLease, "started again after %v", waited)
					return
				}
			}
			t.Fatal("the gang isn't started again")
		})
	}
}

// TestGangCapacityIsReturnedOnce guards against returning capacity twice: the end of one member also ends members whose
// start was never sent, and the same report may end these as well.
func TestGangCapacityIsReturnedOnce(t *testing.T) {
	h := newHarness(t, "w1")
	gang := tasks(2)
	gang.Gang = true
	h.submitJob(gang)
	h.shard.Tick(h.now, h.wall)
	h.incarnation["w1"] = 2
	h.report("w1", agent.Report{})
	h.shard.Tick(h.now, h.wall)
	assert.Equal(t, h.shard.workers["w1"].used, gang.Size.Times(2))
}

// TestRestoredFinalJobIsNotRunAgain guards against an ended or cancelled job that runs again after two changes of owner: the
// first new owner deletes the job's progress record but not its submission, so that the second one takes the job for a new one.
func TestRestoredFinalJobIsNotRunAgain(t *testing.T) {
	tests := []struct {
		name string
		// cancel cancels the job. Its cancellation is no longer recorded when it is restored: the submission is a repeat that
		// came after the former owner had deleted the records of both.
		cancel   bool
		restored func(spec work.Job, progress map[model.JobID]work.Progress) RecordedState
	}{
		{"cancelled, submitted again", true, func(spec work.Job, progress map[model.JobID]work.Progress) RecordedState {
			return RecordedState{Jobs: []work.Job{spec}, Progress: progress}
		}},
		{"submission", false, func(spec work.Job, progress map[model.JobID]work.Progress) RecordedState {
			return RecordedState{Jobs: []work.Job{spec}, Progress: progress}
		}},
		{"unreadable submission", false, func(_ work.Job, progress map[model.JobID]work.Progress) RecordedState {
			return RecordedState{Unreadable: []model.JobID{"j"}, Progress: progress}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.submitJob(tasks(1))
			starts := h.confirmStarts()
			outcome := agent.OutcomeDone
			if tt.cancel {
				h.shard.Cancel("j", h.now)
				outcome = agent.OutcomeStopped
			}
			h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(starts[0], outcome)}})
			progress := h.commit()
			assert.Equal(t, len(progress), 1)
			h.takeOver(tt.restored(h.shard.jobs["j"].spec, map[model.JobID]work.Progress{"j": progress[0].Progress}))
			h.advance(dropDelay)
			c := h.shard.TakeCommit(h.now)
			assert.DeepEqual(t, c.Dropped, []string{"j"})
			h.shard.MarkCommitted(c.Number)
			h.advance(2 * time.Minute)
			h.shard.NoteInboxRead(h.now)
			assert.Equal(t, len(h.shard.TakeCommit(h.now).Expired), 0, "the submission may still be in the store")
			h.shard.MarkDropped(c.Dropped)
			assert.DeepEqual(t, h.shard.TakeCommit(h.now).Expired, []string{"j"})
		})
	}
}

// TestAcknowledgementNamesConnectionOfReport guards against an acknowledgement that reaches an incarnation of the worker that
// the acknowledged ends don't come from.
func TestAcknowledgementNamesConnectionOfReport(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	h.report("w1", agent.Report{Connection: 7, Ended: []agent.EndedRun{firstEnd(first[0], agent.OutcomeDone)}})
	h.commit()
	heartbeat, _ := h.shard.HeartbeatFor("w1", h.now, true)
	assert.Equal(t, heartbeat.Acked, int64(1))
	assert.Equal(t, heartbeat.ReportConnection, uint64(7))
}

// TestGangRecordedInPartIsDone guards against a gang that never ends: the former owner recorded the gang's success for some of
// the tasks only.
func TestGangRecordedInPartIsDone(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	gang := tasks(2)
	gang.Gang = true
	h.takeOver(RecordedState{
		Jobs: []work.Job{{ID: "j", Queue: testQueue, Team: "north", Stages: []work.Stage{gang}, Accepted: h.wall}},
		Progress: map[model.JobID]work.Progress{"j": {Begun: true, Tasks: []work.TaskProgress{
			{Index: 0, LastRun: 1, Done: true}, {Index: 1, LastRun: 1},
		}}},
	})
	for _, id := range h.workers {
		h.report(id, agent.Report{})
	}
	assert.Equal(t, len(h.confirmStarts()), 0)
	h.requireState(work.StateCompleted)
}
