package state_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// The planned size of the platform (docs/design.md).
const (
	benchWorkers  = 7_500
	benchTeams    = 280
	benchBound    = 34_000
	benchJobTasks = 4
	benchFinished = 20_000
	benchChunk    = 100
)

func benchWorker(i int) model.WorkerID {
	return model.WorkerID(fmt.Sprintf("worker-%04d", i%benchWorkers))
}

func benchSpec(i, tasks int) model.JobSpec {
	s := spec(model.JobID(fmt.Sprintf("job-%08d", i)), tasks)
	s.Team = model.TeamID(fmt.Sprintf("team-%d", i%benchTeams))
	s.Profile = fmt.Sprintf("profile-%d", i%(4*benchTeams))
	return s
}

// benchRig returns a machine of the planned size: all workers are known, all tasks are bound, and 20,000 jobs have
// finished.
func benchRig(b *testing.B) *rig {
	r := newRig(b, testConfig())
	set := baseSet()
	for i := range benchTeams {
		name := model.TeamID(fmt.Sprintf("team-%d", i))
		set.Teams = append(set.Teams, team(name, "north", model.HashKey(string(name)), benchBound))
	}
	r.must(record.Change{ID: "base", Base: model.NoOffset, Contents: patch(decl.Patch{Put: set})})
	ops := make([]record.Op, 0, benchWorkers+3*benchFinished+(1+benchJobTasks)*(benchBound/benchJobTasks))
	for i := range benchWorkers {
		op := seen(benchWorker(i), "boot-1", "a")
		op.Capacity = cores(64)
		ops = append(ops, op)
	}
	for i := range benchFinished {
		s := benchSpec(i, 1)
		end := ended(s.ID, 0, 1, benchWorker(i), model.OutcomeSucceeded)
		end.Usage = model.Usage{Peak: cores(1), RunTime: model.Duration(time.Hour)}
		ops = append(ops, accepted(s), taken(s.ID, 0, 1, benchWorker(i)), end)
	}
	for i := range benchBound / benchJobTasks {
		s := benchSpec(benchFinished+i, benchJobTasks)
		ops = append(ops, accepted(s))
		for k := range benchJobTasks {
			ops = append(ops, taken(s.ID, k, 1, benchWorker(i*benchJobTasks+k)))
		}
	}
	for ; len(ops) > benchChunk; ops = ops[benchChunk:] {
		r.must(ops[:benchChunk]...)
	}
	r.must(ops...)
	return r
}

// BenchmarkApply applies envelopes that end 100 attempts and bind 100 others, on a state of the planned size.
func BenchmarkApply(b *testing.B) {
	r := benchRig(b)
	next := 0
	for b.Loop() {
		b.StopTimer()
		ops := make([]record.Op, 0, 2*benchChunk)
		for i := range benchChunk {
			task, s, _ := r.machine.Task(model.TaskID{
				Job: benchSpec(benchFinished+(next+i)/benchJobTasks, 1).ID, Index: (next + i) % benchJobTasks,
			})
			end := ended(s.ID, task.ID.Index, task.Attempt, task.Worker, model.OutcomePreempted)
			ops = append(ops, end, taken(s.ID, task.ID.Index, task.Attempt+1, benchWorker(next+i+1)))
		}
		next = (next + benchChunk) % benchBound
		env := r.envelope("entry-1", ops...)
		r.offset++
		b.StartTimer()
		applied := r.machine.Apply(r.offset, env)
		b.StopTimer()
		for _, err := range applied.Results {
			assert.NilError(b, err)
		}
		b.StartTimer()
	}
}

// BenchmarkSnapshot encodes and restores a state of the planned size.
func BenchmarkSnapshot(b *testing.B) {
	r := benchRig(b)
	var size int
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			snapshot, err := r.machine.Snapshot()
			assert.NilError(b, err)
			size = len(snapshot)
		}
		b.ReportMetric(float64(size), "snapshot-bytes")
	})
	b.Run("restore", func(b *testing.B) {
		snapshot, err := r.machine.Snapshot()
		assert.NilError(b, err)
		for b.Loop() {
			fresh, err := state.New(testConfig())
			assert.NilError(b, err)
			_, err = fresh.Restore(snapshot)
			assert.NilError(b, err)
		}
	})
}

// BenchmarkMemory reports the heap that a state of the planned size takes.
func BenchmarkMemory(b *testing.B) {
	var held uint64
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := benchRig(b)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held = after.HeapAlloc - before.HeapAlloc
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(held), "held-bytes")
}
