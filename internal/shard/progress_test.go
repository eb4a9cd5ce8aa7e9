package shard

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// failer is the part of testing.TB that rapid.T has too.
type failer interface {
	Fatalf(format string, args ...any)
}

// joinRecords returns the progress of each job, as a new owner reads it from the records.
func joinRecords(t failer, records map[string]work.Progress) map[model.JobID]work.Progress {
	joined := make(map[model.JobID]work.Progress)
	for key, p := range records {
		id, _, err := work.ParseProgressKey(key)
		if err != nil {
			t.Fatalf("%v", err)
		}
		joined[id] = joined[id].Join(p)
	}
	return joined
}

// recordStore holds the progress records that a shard has committed.
type recordStore map[string]work.Progress

// write stores the records of a commit and requires that the store would accept each of them.
func (r recordStore) write(t *testing.T, records []JobProgress) {
	t.Helper()
	for _, p := range records {
		key := work.ProgressKey(model.JobID(p.ID), p.Part)
		value, err := p.Progress.Encode()
		assert.NilError(t, err)
		size := ledger.Record{Key: key, Value: value}.Size()
		assert.Assert(t, size <= ledger.MaxRecordBytes, "%s has %d bytes", key, size)
		r[key], err = work.DecodeProgress(value)
		assert.NilError(t, err)
		if p.Deleted() {
			delete(r, key)
		}
	}
}

// TestProgressOfLargeJobIsRecorded guards against a job whose progress outgrows what the store accepts in one record, so that
// each owner in turn fails to record it. A new owner must find each task as it was recorded.
func TestProgressOfLargeJobIsRecorded(t *testing.T) {
	tests := []struct {
		name        string
		occurrences int
		tasks       int
	}{
		{"recurring", 8, 160},
		{"wide", 0, 3000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := model.WorkerID(strings.Repeat("w", 255))
			h := newHarness(t, worker)
			stage := work.Stage{Count: tt.tasks, RunTime: model.Duration(time.Minute), Checkpoints: true}
			spec := work.Job{
				ID: "j", Queue: testQueue, Team: "north", Stages: []work.Stage{stage, stage, stage}, Accepted: h.wall,
				Occurrences: tt.occurrences, Start: h.wall,
			}
			total := 3 * tt.tasks * spec.OccurrenceCount()
			h.shard.Submit(spec, h.now)
			records := make(recordStore)
			var ended []agent.EndedRun
			for previous := -1; len(ended) < total && previous < len(ended); {
				previous = len(ended)
				h.shard.Tick(h.now, h.wall)
				records.write(t, h.commit())
				for _, cmd := range h.shard.TakeCommands(h.now).Starts {
					h.shard.ApplyStartResult(cmd, h.clock[worker], nil, h.now)
					number := int64(len(ended) + 1)
					ended = append(ended, agent.EndedRun{Number: number, Task: cmd.Start.Task, Run: 1, Outcome: agent.OutcomeDone})
				}
			}
			assert.Equal(t, len(ended), total)
			h.report(worker, agent.Report{Ended: ended[:total-1], Incomplete: true})
			records.write(t, h.commit())
			h.takeOver(RecordedState{Jobs: []work.Job{spec}, Progress: joinRecords(t, records)})
			h.report(worker, agent.Report{Ended: ended, Incomplete: true})
			assert.Equal(t, len(h.nextCommands().Starts), 0)
			records.write(t, h.commit())
			h.requireState(work.StateCompleted)
		})
	}
}

// TestPartsOfFinalJobAreDeleted guards against records that stay in the store for good, and against an owner that ends after it
// has deleted parts of a job but before it has recorded that the job is final.
func TestPartsOfFinalJobAreDeleted(t *testing.T) {
	h := newHarness(t, "w1")
	h.shard.cfg.TasksPerRecord = 2
	h.submitJob(sized(4, 1000, time.Second))
	records := make(recordStore)
	h.shard.Tick(h.now, h.wall)
	records.write(t, h.commit())
	assert.Equal(t, len(records), 3)
	starts := h.confirmStarts()
	ended := make([]agent.EndedRun, 0, len(starts))
	for i, cmd := range starts {
		ended = append(ended, agent.EndedRun{Number: int64(i + 1), Task: cmd.Start.Task, Run: 1, Outcome: agent.OutcomeDone})
	}
	h.report("w1", agent.Report{Ended: ended})
	last := h.commit()
	assert.Equal(t, len(last), 3)
	final := recordStore{"j": {Final: work.StateCompleted, Begun: true, Split: true}}
	records.write(t, last[:1])
	assert.DeepEqual(t, records["j"], final["j"])
	// The next owner finds the main record and both parts.
	spec := h.shard.jobs["j"].spec
	h.tasksPerRecord = 2
	h.takeOver(RecordedState{Jobs: []work.Job{spec}, Progress: joinRecords(t, records)})
	h.report("w1", agent.Report{})
	records.write(t, h.commit())
	assert.DeepEqual(t, records, final)
}

// TestOnlyChangedPartsAreRecorded guards against writing all of a large job again at each change, and against an owner that
// takes over a whole record of an earlier version and records only a part of it.
func TestOnlyChangedPartsAreRecorded(t *testing.T) {
	tests := []struct {
		name  string
		split bool
		want  []int
	}{
		{"recorded in parts", true, []int{1, 0}},
		{"recorded as a whole", false, []int{1, 2, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			spec := work.Job{ID: "j", Queue: testQueue, Team: "north", Stages: []work.Stage{sized(128, 0, time.Hour)}}
			progress := work.Progress{Begun: true, Split: tt.split}
			for i := range 127 {
				progress.Tasks = append(progress.Tasks, work.TaskProgress{Index: i + 1, Done: true, LastRun: 1})
			}
			h.takeOver(RecordedState{Jobs: []work.Job{spec}, Progress: map[model.JobID]work.Progress{"j": progress}})
			h.report("w1", agent.Report{})
			h.shard.Tick(h.now, h.wall)
			committed := h.commit()
			parts := make([]int, 0, len(committed))
			for _, p := range committed {
				parts = append(parts, p.Part)
			}
			assert.DeepEqual(t, parts, tt.want)
		})
	}
}

// TestFailuresOfServiceAreNotRecorded guards against a record that grows with each failure of a task that has to be restarted
// for ever.
func TestFailuresOfServiceAreNotRecorded(t *testing.T) {
	workers := make([]model.WorkerID, 30)
	for i := range workers {
		workers[i] = model.WorkerID(fmt.Sprintf("w%02d", i))
	}
	h := newHarness(t, workers...)
	service := sized(1, 1000, time.Second)
	service.Service = true
	h.submitJob(service)
	for i := range len(workers) {
		starts := h.confirmStarts()
		assert.Equal(t, len(starts), 1, "start %d", i)
		h.report(starts[0].Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(starts[0], agent.OutcomeFailed)}})
	}
	tasks := h.progress("j").Tasks
	assert.Assert(t, !slices.ContainsFunc(tasks, func(tp work.TaskProgress) bool { return len(tp.FailedRuns) > 0 }))
}

// TestSuccessOfGangIsRecordedInAllParts guards against a gang that runs again under a new owner because only the part with the
// member that reported its success was recorded.
func TestSuccessOfGangIsRecordedInAllParts(t *testing.T) {
	h := newHarness(t, "w1")
	h.shard.cfg.TasksPerRecord = 2
	gang := sized(3, 1000, time.Second)
	gang.Gang = true
	after := sized(1, 1000, time.Second)
	after.After = []int{0}
	h.submitJob(gang, after)
	records := make(recordStore)
	h.shard.Tick(h.now, h.wall)
	records.write(t, h.commit())
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 3)
	h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(starts[0], agent.OutcomeDone)}, Incomplete: true})
	records.write(t, h.commit())
	done := 0
	for _, task := range joinRecords(t, records)["j"].Tasks {
		if task.Done {
			done++
		}
	}
	assert.Equal(t, done, 3)
}
