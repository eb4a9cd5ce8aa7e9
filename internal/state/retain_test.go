package state_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// TestFinishedJobs guards against a job that runs again because its ID was forgotten too early, and against finished
// jobs that are kept for ever.
func TestFinishedJobs(t *testing.T) {
	cfg := testConfig()
	cfg.FinishedJobs, cfg.IDRetention = 2, model.Duration(10*time.Second)
	r := newBaseRig(t, cfg)
	for i := range 4 {
		id := model.JobID(fmt.Sprintf("j%d", i))
		r.must(accepted(spec(id, 1)), taken(id, 0, 1, "w1"), ended(id, 0, 1, "w1", model.OutcomeSucceeded))
	}
	old, known := r.machine.Job("j0")
	assert.Assert(t, known && old.Outcome == model.OutcomeSucceeded && old.Tasks == nil)
	full, known := r.machine.Job("j3")
	assert.Assert(t, known && full.Finished() && len(full.Tasks) == 1)
	assert.ErrorIs(t, r.apply(accepted(spec("j0", 1)))[0], state.ErrDuplicate)
	assert.ErrorIs(t, r.apply(record.JobCancelled{Job: "j0"})[0], state.ErrDuplicate)
	restored, err := state.New(cfg)
	assert.NilError(t, err)
	snapshot, err := r.machine.Snapshot()
	assert.NilError(t, err)
	_, err = restored.Restore(snapshot)
	assert.NilError(t, err)
	r.machine = restored
	assert.ErrorIs(t, r.apply(accepted(spec("j1", 1)))[0], state.ErrDuplicate)
	// The clock of one writer must not make the machine forget the jobs at once.
	r.time += int64(1_000 * time.Hour)
	assert.ErrorIs(t, r.apply(accepted(spec("j3", 1)))[0], state.ErrDuplicate)
	for range 2 {
		r.must()
	}
	_, known = r.machine.Job("j0")
	assert.Assert(t, !known)
	assert.Equal(t, len(r.machine.Jobs(state.JobFilter{Team: "red"})), 2)
	assert.Equal(t, len(r.machine.Jobs(state.JobFilter{Unfinished: true})), 0)
}

// TestRetentionPeriod guards against members, writers and lost workers that are kept for ever after they are gone.
func TestRetentionPeriod(t *testing.T) {
	cfg := testConfig()
	cfg.IDRetention = model.Duration(time.Minute)
	r := newBaseRig(t, cfg)
	suspicion := r.offset + 1
	r.must(record.WorkerSuspected{Worker: "w1", Boot: "boot-1"}, record.MemberJoined{Instance: "entry-9", Incarnation: 2})
	r.must(
		record.WorkerLost{Worker: "w1", Boot: "boot-1", Suspicion: suspicion},
		record.MemberLeft{Instance: "entry-9", Incarnation: 2},
	)
	for range 70 {
		r.time += int64(time.Minute)
		r.must()
	}
	_, known := r.machine.Worker("w1")
	assert.Assert(t, !known)
	assert.Equal(t, len(r.machine.Workers("")), 3)
	r.must(seen("w1", "boot-1", "a"), record.MemberJoined{Instance: "entry-9", Incarnation: 1})
	members, offset := r.machine.Members()
	assert.Equal(t, members[0].Incarnation, model.Incarnation(1))
	assert.Equal(t, offset, r.offset)
}

// TestRefusedJob guards against a job that can never run but stays queued, and against losing the reason for its
// refusal.
func TestRefusedJob(t *testing.T) {
	r := newBaseRig(t, testConfig())
	r.must(accepted(spec("j", 2)), taken("j", 0, 1, "w1"))
	r.must(ended("j", 0, 1, "w1", model.OutcomeNeverStarted), record.JobRefused{Job: "j", Reason: "no worker is as large"})
	job, _ := r.machine.Job("j")
	assert.Equal(t, job.Refused, "no worker is as large")
	assert.Equal(t, job.Outcome, model.OutcomeNeverStarted)
	assert.Equal(t, len(r.machine.Queued("red", "night", 10)), 0)
}

// TestLostWorkerReturns guards against a worker that stays lost although it is reachable again under the same boot.
func TestLostWorkerReturns(t *testing.T) {
	r := newBaseRig(t, testConfig())
	r.must(accepted(spec("j", 1)), taken("j", 0, 1, "w1"), record.WorkerSuspected{Worker: "w1", Boot: "boot-1"})
	lost := record.WorkerLost{Worker: "w1", Boot: "boot-1", Suspicion: r.offset}
	assert.ErrorIs(t, r.applyAs("entry-2", lost).Results[0], state.ErrNotCurrent)
	r.must(lost)
	assert.Equal(t, r.worker("w1").Lost, true)
	assert.Equal(t, r.task("j", 0).Phase, state.PhaseQueued)
	r.must(record.WorkerCleared{Worker: "w1", Boot: "boot-1"}, taken("j", 0, 2, "w1"))
	assert.ErrorIs(t, r.apply(ended("j", 0, 1, "w1", model.OutcomeSucceeded))[0], state.ErrNotCurrent)
}

// TestQueuedOrder guards against handing out newer work before older work.
func TestQueuedOrder(t *testing.T) {
	r := newBaseRig(t, testConfig())
	r.must(accepted(spec("j2", 2)), accepted(spec("j1", 1)), taken("j2", 0, 1, "w1"))
	r.must(ended("j2", 0, 1, "w1", model.OutcomeFailed))
	tasks := r.machine.Queued("red", "night", 3)
	assert.Equal(t, len(tasks), 3)
	for i, want := range []model.TaskID{{Job: "j2"}, {Job: "j2", Index: 1}, {Job: "j1"}} {
		assert.Equal(t, tasks[i].ID, want)
	}
	assert.Equal(t, len(r.machine.Queued("red", "night", 1)), 1)
}

// TestEstimate guards against estimates that are based on other samples than the latest ones of the profile.
func TestEstimate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newBaseRig(t, testConfig())
		peaks := rapid.SliceOfN(rapid.Int64Range(0, 50), 1, 80).Draw(rt, "peaks")
		r.must(accepted(spec("j", len(peaks))))
		_, known := r.machine.Estimate(spec("other", 1))
		assert.Assert(rt, !known)
		for i, peak := range peaks {
			end := ended("j", i, 1, "w1", model.OutcomeSucceeded)
			end.Usage = model.Usage{Peak: cores(peak), RunTime: model.Duration(peak)}
			r.must(taken("j", i, 1, "w1"), end)
		}
		latest := slices.Sorted(slices.Values(peaks[max(0, len(peaks)-32):]))
		n := len(latest)
		high := latest[(n*95+99)/100-1]
		got, known := r.machine.Estimate(spec("other", 1))
		assert.Assert(rt, known)
		assert.Equal(rt, got, state.Estimate{
			Size: cores(high), RunTime: model.Duration(latest[(n+1)/2-1]), RunTimeHigh: model.Duration(high), Count: n,
		})
	})
}

// TestBadSnapshot guards against a damaged snapshot that changes the state.
func TestBadSnapshot(t *testing.T) {
	r := newBaseRig(t, testConfig())
	snapshot, err := r.machine.Snapshot()
	assert.NilError(t, err)
	for _, damaged := range [][]byte{nil, snapshot[:len(snapshot)/2], []byte("no snapshot")} {
		_, err := r.machine.Restore(damaged)
		assert.ErrorIs(t, err, state.ErrBadSnapshot)
	}
	assert.Equal(t, len(r.machine.Workers("")), 4)
}

// TestConcurrentReaders guards, under the race detector, against readers that see a row while it is being changed.
func TestConcurrentReaders(t *testing.T) {
	r := newBaseRig(t, testConfig())
	r.must(accepted(spec("j", 4)))
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r.machine.Task(model.TaskID{Job: "j"})
				r.machine.Jobs(state.JobFilter{})
				r.machine.Queued("red", "night", 5)
				r.machine.Workers("a")
				r.machine.Usage()
				r.machine.Estimate(spec("j", 1))
				r.machine.Declarations()
				r.machine.Members()
				r.machine.Proposals()
				_, _ = r.machine.Snapshot()
			}
		})
	}
	for n := 1; n <= 60; n += 2 {
		r.must(taken("j", 0, n, "w1"), record.MemberJoined{Instance: "entry-9", Incarnation: model.Incarnation(n)})
		r.must(ended("j", 0, n, "w1", model.OutcomePreempted), taken("j", 0, n+1, "w2"))
		r.must(ended("j", 0, n+1, "w2", model.OutcomePreempted))
	}
	close(stop)
	readers.Wait()
}
