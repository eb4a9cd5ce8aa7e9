package state_test

import (
	"slices"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// applyOp applies any operation except Taken and reports whether it takes effect.
func (o *oracle) applyOp(offset model.Offset, env record.Envelope, op record.Op) bool {
	switch op := op.(type) {
	case record.JobAccepted:
		return o.accept(op)
	case record.JobCancelled:
		return o.jobs[op.Job].spec.Team == "red" && o.finishQueued(op.Job, true)
	case record.JobRefused:
		return o.finishQueued(op.Job, false)
	case record.Pulled:
		return o.pull(op)
	case record.Ended:
		t, ok := o.tasks[op.Attempt.Task]
		if !ok || (t.Phase != state.PhaseBound && t.Phase != state.PhasePulled) || t.Attempt != op.Attempt.Number ||
			t.Worker != op.Worker {
			return false
		}
		o.endAttempt(t.ID, op.Outcome, op.Checkpoint)
		o.promote(op.Worker)
		return true
	case record.Change:
		return o.change(offset, op)
	default:
		return o.applyWorkerOp(offset, env, op)
	}
}

func (o *oracle) accept(op record.JobAccepted) bool {
	if _, known := o.jobs[op.Spec.ID]; known || (op.Spec.Class == "open" && op.Key != redKey) {
		return false
	}
	o.jobs[op.Spec.ID] = oracleJob{spec: op.Spec}
	for i := range op.Spec.Tasks {
		id := model.TaskID{Job: op.Spec.ID, Index: i}
		o.tasks[id] = state.Task{ID: id, Phase: state.PhaseQueued}
	}
	return true
}

// finishQueued cancels or refuses a job: it ends the queued tasks and marks the others for stopping.
func (o *oracle) finishQueued(id model.JobID, cancel bool) bool {
	job, known := o.jobs[id]
	done, queued := 0, 0
	for i := range job.spec.Tasks {
		switch o.tasks[model.TaskID{Job: id, Index: i}].Phase {
		case state.PhaseDone:
			done++
		case state.PhaseQueued:
			queued++
		}
	}
	if !known || job.cancelled || job.refused || done == job.spec.Tasks ||
		(!cancel && (job.ran || queued != job.spec.Tasks)) {
		return false
	}
	job.cancelled, job.refused = cancel, !cancel
	o.jobs[id] = job
	for i := range job.spec.Tasks {
		t := o.tasks[model.TaskID{Job: id, Index: i}]
		switch t.Phase {
		case state.PhaseQueued:
			t.Phase = state.PhaseDone
		case state.PhaseBound, state.PhasePulled:
			t.Stopping = true
		}
		o.tasks[t.ID] = t
	}
	return true
}

func (o *oracle) pull(op record.Pulled) bool {
	job := o.jobs[op.Attempt.Task.Job]
	if !o.isNextAttempt(op.Attempt) || job.spec.Class != "open" || op.Key != redKey || job.spec.Kind == model.KindGang ||
		!o.underLimit(job.spec.Team, job.spec.Size) {
		return false
	}
	t := o.tasks[op.Attempt.Task]
	t.Phase, t.Attempt, t.Reservation = state.PhasePulled, op.Attempt.Number, job.spec.Size
	o.tasks[t.ID] = t
	return true
}

func (o *oracle) change(offset model.Offset, op record.Change) bool {
	if op.Base != o.base {
		return false
	}
	p, _ := decl.ParsePatch("", op.Contents)
	o.set, _ = o.set.Apply(p)
	o.base = offset
	return true
}

func (o *oracle) applyWorkerOp(offset model.Offset, env record.Envelope, op record.Op) bool {
	switch op := op.(type) {
	case record.WorkerSeen:
		w := o.workers[op.Worker]
		if slices.Contains(w.boots, op.Boot) {
			return false
		}
		o.endAllAttempts(op.Worker)
		o.workers[op.Worker] = oracleWorker{
			boot: op.Boot, boots: append(slices.Clone(w.boots), op.Boot), dc: op.DataCentre, suspicion: model.NoOffset,
		}
		return true
	case record.WorkerSuspected:
		w := o.workers[op.Worker]
		if w.boot != op.Boot || w.lost {
			return false
		}
		w.suspicion, w.suspector, w.suspectorIncarnation = offset, env.Writer, env.Incarnation
		o.workers[op.Worker] = w
		return true
	case record.WorkerCleared:
		w := o.workers[op.Worker]
		if w.boot != op.Boot || (!w.lost && w.suspicion == model.NoOffset) {
			return false
		}
		w.suspicion, w.lost = model.NoOffset, false
		o.workers[op.Worker] = w
		return true
	case record.WorkerLost:
		w := o.workers[op.Worker]
		if w.boot != op.Boot || w.lost || w.suspicion == model.NoOffset || w.suspicion != op.Suspicion ||
			w.suspector != env.Writer || w.suspectorIncarnation != env.Incarnation {
			return false
		}
		o.endAllAttempts(op.Worker)
		w.lost = true
		o.workers[op.Worker] = w
		return true
	}
	return false
}
