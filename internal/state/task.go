package state

import (
	"slices"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	outcome    model.Outcome
	usage      model.Usage
	checkpoint model.Duration
}

// gangPlan sums up what the members of a gang that were checked so far would reserve. The zero value is empty.
type gangPlan struct {
	workers map[model.WorkerID]model.Resources
	usage   Usage
	tasks   map[int]bool
}

// add adds a member's reservation.
func (p *gangPlan) add(op record.Taken) {
	if p.workers == nil {
		p.workers, p.tasks = make(map[model.WorkerID]model.Resources), make(map[int]bool)
	}
	p.tasks[op.Attempt.Task.Index] = true
	p.usage = p.usage.with(op.Reservation)
	if !op.Behind {
		p.workers[op.Worker] = p.workers[op.Worker].Plus(op.Reservation)
	}
}

// applyTaken binds one attempt to a worker. The members of a gang are all bound when the first of them is applied.
func (a *applier) applyTaken(op record.Taken) error {
	if results, decided := a.gangResults[op.Attempt.Task.Job]; decided {
		return results[a.opIndex]
	}
	j, err := a.jobFor(op.Attempt)
	if err != nil {
		return err
	}
	if op.Gang != 0 || j.Spec.Kind == model.KindGang {
		return a.applyTakenGang(op, j)
	}
	w, err := a.checkTaken(op, j, gangPlan{})
	if err != nil {
		return err
	}
	a.bind(op, j, w)
	a.reindexJob(j)
	return nil
}

// jobFor returns the job of the attempt. The attempt must be the next one of a queued task.
func (a *applier) jobFor(attempt model.AttemptID) (*job, error) {
	j, ok := a.jobs.rows.get(attempt.Task.Job)
	if !ok {
		return nil, ErrNotFound
	}
	if attempt.Task.Index < 0 || attempt.Task.Index >= len(j.Tasks) {
		return nil, ErrNotFound
	}
	t := &j.Tasks[attempt.Task.Index]
	if t.Phase != PhaseQueued || attempt.Number != t.Attempt+1 || j.Cancelled {
		return nil, ErrNotQueued
	}
	return j, nil
}

// checkTaken returns the worker if the attempt can be bound to it on top of what the plan reserves.
func (a *applier) checkTaken(op record.Taken, j *job, p gangPlan) (*worker, error) {
	if _, err := a.jobFor(op.Attempt); err != nil || p.tasks[op.Attempt.Task.Index] {
		return nil, ErrNotQueued
	}
	w, known := a.workers.rows.get(op.Worker)
	if !known || !w.usable(op.Boot) {
		return nil, ErrWorkerUnusable
	}
	if !a.mayRunIn(j.Spec, w.DataCentre) {
		return nil, ErrOutOfService
	}
	if !fitsOn(w, op, p) {
		return nil, ErrNoCapacity
	}
	usage := a.usages.get(j.Spec.Team).with(op.Reservation)
	usage = Usage{Resources: usage.Resources.Plus(p.usage.Resources), Tasks: usage.Tasks + p.usage.Tasks}
	if !a.decls.withinLimit(j.Spec.Team, usage) {
		return nil, ErrOverLimit
	}
	return w, nil
}

// mayRunIn reports whether the data centre is in service and the job allows it.
func (a *applier) mayRunIn(spec model.JobSpec, centre model.DataCentreID) bool {
	allowed := len(spec.DataCentres) == 0 || slices.Contains(spec.DataCentres, centre)
	return allowed && a.decls.inService(centre)
}

// fitsOn reports whether the worker has enough free capacity. An attempt for the backlog only has to fit an idle
// worker, because it reserves capacity when it is promoted.
func fitsOn(w *worker, op record.Taken, p gangPlan) bool {
	if op.Reservation.Negative() {
		return false
	}
	if op.Behind {
		return op.Reservation.Fits(w.Capacity)
	}
	return op.Reservation.Plus(p.workers[op.Worker]).Fits(w.free())
}

// bind records on job, worker and team that a checked attempt is bound.
func (a *applier) bind(op record.Taken, j *job, w *worker) {
	t := &j.Tasks[op.Attempt.Task.Index]
	a.alterJob(j, func() {
		j.setPhase(t, PhaseBound)
		t.Attempt = op.Attempt.Number
		t.Worker, t.Boot, t.Reservation, t.Behind = op.Worker, op.Boot, op.Reservation, op.Behind
		t.BoundAt = a.env.Time
	})
	a.alterWorker(w, func() {
		w.Bound = append(w.Bound, t.ID)
		if !op.Behind {
			w.Committed = w.Committed.Plus(op.Reservation)
		}
	})
	a.addUsage(j.Spec.Team, op.Reservation)
	a.emit(TaskBound{Task: *t, Spec: j.Spec})
}

// addUsage adds a task to the team's usage and marks the team for checkLimits.
func (a *applier) addUsage(team model.TeamID, size model.Resources) {
	a.usages.add(team, size)
	a.raisedTeams[team] = struct{}{}
}

// applyPulled hands a task of an open class to the team's own runner. The team's usage counts the task's declared size.
func (a *applier) applyPulled(op record.Pulled) error {
	j, err := a.jobFor(op.Attempt)
	if err != nil {
		return err
	}
	if !a.decls.isOpen(j.Spec.Class) {
		return ErrNotFound
	}
	if !a.decls.hasKey(j.Spec.Team, op.Key) {
		return ErrKeyNotGranted
	}
	if j.Spec.Kind == model.KindGang {
		return ErrGangIncomplete
	}
	if !a.decls.withinLimit(j.Spec.Team, a.usages.get(j.Spec.Team).with(j.Spec.Size)) {
		return ErrOverLimit
	}
	t := &j.Tasks[op.Attempt.Task.Index]
	a.alterJob(j, func() {
		j.setPhase(t, PhasePulled)
		t.Attempt = op.Attempt.Number
		t.Reservation, t.Lease, t.BoundAt = j.Spec.Size, op.Lease, a.env.Time
	})
	a.addUsage(j.Spec.Team, j.Spec.Size)
	a.emit(TaskPulled{Task: *t})
	a.reindexJob(j)
	return nil
}

// applyEnded records the end of a current attempt and promotes attempts from the worker's backlog.
func (a *applier) applyEnded(op record.Ended) error {
	j, ok := a.jobs.rows.get(op.Attempt.Task.Job)
	if !ok || op.Attempt.Task.Index < 0 || op.Attempt.Task.Index >= len(j.Tasks) {
		return ErrNotCurrent
	}
	t := &j.Tasks[op.Attempt.Task.Index]
	running := t.Phase == PhaseBound || t.Phase == PhasePulled
	if !running || t.Attempt != op.Attempt.Number || t.Worker != op.Worker {
		return ErrNotCurrent
	}
	if !validOutcome(op.Outcome) {
		return ErrInvalid
	}
	a.endAttempt(j, op.Attempt.Task.Index, attemptEnd{op.Outcome, op.Usage, op.Checkpoint})
	if w, ok := a.workers.rows.get(op.Worker); ok {
		a.promote(w)
	}
	return nil
}

func validOutcome(outcome model.Outcome) bool {
	switch outcome {
	case model.OutcomeSucceeded, model.OutcomeFailed, model.OutcomeStopped, model.OutcomePreempted,
		model.OutcomeNeverStarted, model.OutcomeLost:
		return true
	}
	return false
}

// endAttempt removes the task from its worker and marks it as done or queues it again.
func (a *applier) endAttempt(j *job, index int, end attemptEnd) {
	t := &j.Tasks[index]
	attempt, workerID, resumed := t.CurrentAttempt(), t.Worker, t.Checkpoint
	a.release(j, t)
	requeue := a.shouldRequeue(j, t, end.outcome)
	a.alterJob(j, func() {
		j.Ran = j.Ran || end.outcome != model.OutcomeNeverStarted
		t.Checkpoint = max(t.Checkpoint, end.checkpoint)
		if end.outcome == model.OutcomeFailed {
			t.Failures++
		}
		if requeue {
			j.setPhase(t, PhaseQueued)
			t.QueuedAt = a.env.Time
			return
		}
		j.setPhase(t, PhaseDone)
		t.Outcome, t.Stopping = end.outcome, false
	})
	a.emit(AttemptEnded{
		Task: *t, Attempt: attempt, Worker: workerID, Outcome: end.outcome, Usage: end.usage, Spec: j.Spec,
	})
	if requeue {
		a.emit(TaskQueued{Task: *t, Spec: j.Spec})
	} else {
		a.emit(TaskDone{Task: *t})
	}
	if end.outcome == model.OutcomeSucceeded {
		// An attempt that resumed from a checkpoint ran only the rest of the task.
		a.profiles.addSample(j.Spec, model.Usage{Peak: end.usage.Peak, RunTime: resumed + end.usage.RunTime})
	}
	a.reindexJob(j)
}

// release frees what the attempt reserved.
func (a *applier) release(j *job, t *Task) {
	a.usages.remove(j.Spec.Team, t.Reservation)
	if w, ok := a.workers.rows.get(t.Worker); ok && t.Phase == PhaseBound {
		a.alterWorker(w, func() { w.unbind(t) })
	}
	a.alterJob(j, func() {
		t.Worker, t.Boot, t.Reservation, t.Behind = "", "", model.Resources{}, false
		t.Lease, t.BoundAt = 0, 0
	})
}

// shouldRequeue reports whether the task is queued again after an attempt with this outcome.
func (a *applier) shouldRequeue(j *job, t *Task, outcome model.Outcome) bool {
	if t.Stopping || j.Cancelled {
		return false
	}
	if j.Spec.Kind == model.KindService {
		return true
	}
	switch outcome {
	case model.OutcomeFailed:
		return t.Failures+1 < a.cfg.MaxFailures
	case model.OutcomePreempted, model.OutcomeNeverStarted:
		return true
	case model.OutcomeLost:
		return j.Spec.Rerun
	default:
		return false
	}
}
