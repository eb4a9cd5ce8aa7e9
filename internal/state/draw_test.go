package state_test

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

var outcomes = []model.Outcome{
	model.OutcomeSucceeded, model.OutcomeFailed, model.OutcomeStopped, model.OutcomePreempted,
	model.OutcomeNeverStarted, model.OutcomeLost,
}

// draw returns random operations, most of which are valid in the oracle's present state.
func (w *writerSim) draw(t *rapid.T) []record.Op {
	switch rapid.SampledFrom([]string{
		"accept", "taken", "taken", "taken", "ended", "ended", "ended", "gang", "pulled", "pulled", "cancel", "refuse", "worker",
		"worker", "lost", "lost", "change",
	}).Draw(t, "operation") {
	case "accept":
		return []record.Op{w.drawJob(t)}
	case "cancel":
		return []record.Op{record.JobCancelled{Job: w.drawJobID(t), Key: redKey}}
	case "refuse":
		return []record.Op{record.JobRefused{Job: w.drawJobID(t), Reason: "too large"}}
	case "taken":
		return []record.Op{w.drawTaken(t, w.drawAttempt(t, state.PhaseQueued), 0)}
	case "gang":
		return w.drawGang(t)
	case "pulled":
		key := rapid.SampledFrom([]model.KeyHash{redKey, redKey, blueKey}).Draw(t, "key")
		return []record.Op{record.Pulled{Attempt: w.drawAttempt(t, state.PhaseQueued), Key: key}}
	case "ended":
		return []record.Op{w.drawEnded(t)}
	case "change":
		return []record.Op{w.drawChange(t)}
	case "lost":
		return []record.Op{w.drawLost(t)}
	default:
		return []record.Op{w.drawWorkerOp(t)}
	}
}

func (w *writerSim) drawJobID(t *rapid.T) model.JobID {
	return model.JobID(fmt.Sprintf("j%d", rapid.IntRange(0, 7).Draw(t, "job")))
}

func (w *writerSim) drawWorker(t *rapid.T) model.WorkerID {
	return rapid.SampledFrom([]model.WorkerID{"w1", "w2", "w3"}).Draw(t, "worker")
}

func (w *writerSim) drawJob(t *rapid.T) record.JobAccepted {
	s := spec(w.drawJobID(t), rapid.IntRange(1, 4).Draw(t, "tasks"))
	s.Kind = rapid.SampledFrom([]model.JobKind{model.KindBatch, model.KindGang, model.KindService}).Draw(t, "kind")
	s.Rerun = rapid.Bool().Draw(t, "rerun")
	if rapid.Bool().Draw(t, "open") {
		s.Class = "open"
		return record.JobAccepted{Spec: s, Key: rapid.SampledFrom([]model.KeyHash{redKey, redKey, blueKey}).Draw(t, "key")}
	}
	s.Team = rapid.SampledFrom([]model.TeamID{"red", "blue"}).Draw(t, "team")
	return record.JobAccepted{Spec: s}
}

// drawAttempt returns the next attempt of a queued task, or the current attempt of a task in another phase. It
// sometimes returns a wrong one.
func (w *writerSim) drawAttempt(t *rapid.T, phase state.TaskPhase) model.AttemptID {
	var fitting []model.TaskID
	for _, id := range slices.SortedFunc(maps.Keys(w.oracle.tasks), compareTasks) {
		if w.oracle.tasks[id].Phase == phase {
			fitting = append(fitting, id)
		}
	}
	if len(fitting) == 0 {
		return attempt(w.drawJobID(t), 0, 1)
	}
	task := w.oracle.tasks[rapid.SampledFrom(fitting).Draw(t, "task")]
	id := task.CurrentAttempt()
	if phase == state.PhaseQueued {
		id = task.NextAttempt()
	}
	if rapid.IntRange(0, 9).Draw(t, "off") == 0 {
		id.Number += rapid.SampledFrom([]int{-1, 1}).Draw(t, "by")
	}
	return id
}

func compareTasks(a, b model.TaskID) int {
	if a.Job != b.Job {
		return map[bool]int{true: -1, false: 1}[a.Job < b.Job]
	}
	return a.Index - b.Index
}

func (w *writerSim) drawTaken(t *rapid.T, id model.AttemptID, gang int) record.Taken {
	worker := w.drawWorker(t)
	return record.Taken{
		Attempt: id, Worker: worker, Boot: w.oracle.workers[worker].boot, Gang: gang,
		Reservation: cores(int64(rapid.IntRange(1, 3).Draw(t, "size"))), Behind: rapid.IntRange(0, 3).Draw(t, "behind") == 0,
	}
}

// drawGang takes the queued tasks of a job together, sometimes with one missing or with a wrong count.
func (w *writerSim) drawGang(t *rapid.T) []record.Op {
	job := w.drawJobID(t)
	var ids []model.AttemptID
	for i := range w.oracle.jobs[job].spec.Tasks {
		if task := w.oracle.tasks[model.TaskID{Job: job, Index: i}]; task.Phase == state.PhaseQueued {
			ids = append(ids, task.NextAttempt())
		}
	}
	count := len(ids) + rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(t, "off")
	if len(ids) > 0 && rapid.IntRange(0, 4).Draw(t, "missing") == 0 {
		ids = ids[1:]
	}
	out := make([]record.Op, 0, len(ids)+1)
	for _, id := range ids {
		out = append(out, w.drawTaken(t, id, count))
	}
	return append(out, w.drawEnded(t))
}

func (w *writerSim) drawEnded(t *rapid.T) record.Ended {
	phase := rapid.SampledFrom([]state.TaskPhase{
		state.PhaseBound, state.PhaseBound, state.PhaseBound, state.PhasePulled, state.PhaseDone,
	}).Draw(t, "phase")
	id := w.drawAttempt(t, phase)
	return record.Ended{
		Attempt: id, Worker: w.oracle.tasks[id.Task].Worker, Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
		Usage:      model.Usage{Peak: cores(int64(rapid.IntRange(0, 2).Draw(t, "peak"))), RunTime: model.Duration(second)},
		Checkpoint: model.Duration(rapid.Int64Range(0, 3).Draw(t, "checkpoint")),
	}
}

func (w *writerSim) drawChange(t *rapid.T) record.Change {
	put := decl.Set{DataCentres: []decl.DataCentre{{
		Region: "r", Name: rapid.SampledFrom([]model.DataCentreID{"a", "b"}).Draw(t, "centre"),
		Service: rapid.SampledFrom([]decl.ServiceState{decl.InService, decl.OutOfService}).Draw(t, "service"),
	}}}
	if rapid.Bool().Draw(t, "limit") {
		red := team("red", "north", redKey, rapid.IntRange(0, 6).Draw(t, "tasks"))
		red.Limit.Resources.Cores = model.MilliCores(rapid.IntRange(0, 8).Draw(t, "cores") * 1000)
		put = decl.Set{Teams: []decl.Team{red}}
	}
	return record.Change{ID: "c", Base: w.oracle.base, Contents: patch(decl.Patch{Put: put})}
}

// drawLost declares a worker lost, if possible one that the envelope's author suspects. If the worker isn't suspected
// yet, it suspects it instead.
func (w *writerSim) drawLost(t *rapid.T) record.Op {
	id := w.drawWorker(t)
	for other, known := range w.oracle.workers {
		if known.suspector == w.author && known.suspicion != model.NoOffset && !known.lost {
			id = min(id, other)
		}
	}
	known := w.oracle.workers[id]
	if known.suspicion == model.NoOffset && !known.lost {
		return record.WorkerSuspected{Worker: id, Boot: known.boot}
	}
	return record.WorkerLost{Worker: id, Boot: known.boot, Suspicion: known.suspicion}
}

func (w *writerSim) drawWorkerOp(t *rapid.T) record.Op {
	id := w.drawWorker(t)
	known := w.oracle.workers[id]
	switch rapid.SampledFrom([]string{"boot", "boot", "suspect", "clear", "clear"}).Draw(t, "step") {
	case "boot":
		// A delayed record can name an earlier boot.
		boots := append(slices.Clone(known.boots), model.BootID(fmt.Sprintf("boot-%d", len(known.boots)+1)))
		return seen(id, rapid.SampledFrom(boots).Draw(t, "boot"), "a")
	case "suspect":
		return record.WorkerSuspected{Worker: id, Boot: known.boot}
	default:
		return record.WorkerCleared{Worker: id, Boot: known.boot}
	}
}
