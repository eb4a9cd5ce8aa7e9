package state

import (
	"slices"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// ending is how an attempt ended.
type ending struct {
	outcome    model.Outcome
	usage      model.Usage
	checkpoint model.Duration
}

// plan holds what the earlier members of a gang would reserve; the zero value is an empty one.
type plan struct {
	workers map[model.WorkerID]model.Resources
	usage   Usage
	tasks   map[int]bool
}

// add counts a member in.
func (p *plan) add(op record.Taken) {
	if p.workers == nil {
		p.workers, p.tasks = make(map[model.WorkerID]model.Resources), make(map[int]bool)
	}
	p.tasks[op.Attempt.Task.Index] = true
	p.usage = p.usage.with(op.Reservation)
	if !op.Behind {
		p.workers[op.Worker] = p.workers[op.Worker].Plus(op.Reservation)
	}
}

// taken binds one attempt; members of a gang are bound together, at the place of the first of them.
func (f *fold) taken(op record.Taken) error {
	if results, decided := f.gangs[op.Attempt.Task.Job]; decided {
		return results[f.index]
	}
	j, err := f.jobFor(op.Attempt)
	if err != nil {
		return err
	}
	if op.Gang != 0 || j.Spec.Kind == model.KindGang {
		return f.takenGang(op, j)
	}
	w, err := f.checkTaken(op, j, plan{})
	if err != nil {
		return err
	}
	f.bind(op, j, w)
	f.settle(j)
	return nil
}

// jobFor returns the job of an attempt whose task is queued and whose next attempt it is.
func (f *fold) jobFor(attempt model.AttemptID) (*job, error) {
	j, ok := f.jobs.rows.get(attempt.Task.Job)
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

// checkTaken returns the worker if the attempt can be bound in addition to the plan.
func (f *fold) checkTaken(op record.Taken, j *job, p plan) (*worker, error) {
	if _, err := f.jobFor(op.Attempt); err != nil || p.tasks[op.Attempt.Task.Index] {
		return nil, ErrNotQueued
	}
	w, known := f.workers.rows.get(op.Worker)
	if !known || !w.usable(op.Boot) {
		return nil, ErrWorkerUnusable
	}
	if !f.mayRunIn(j.Spec, w.DataCentre) {
		return nil, ErrOutOfService
	}
	if !fitsOn(w, op, p) {
		return nil, ErrNoRoom
	}
	usage := f.usages.get(j.Spec.Team).with(op.Reservation)
	usage = Usage{Resources: usage.Resources.Plus(p.usage.Resources), Tasks: usage.Tasks + p.usage.Tasks}
	if !f.decls.withinLimit(j.Spec.Team, usage) {
		return nil, ErrOverLimit
	}
	return w, nil
}

// mayRunIn reports whether the data centre is in service and allowed by the job.
func (f *fold) mayRunIn(spec model.JobSpec, centre model.DataCentreID) bool {
	allowed := len(spec.DataCentres) == 0 || slices.Contains(spec.DataCentres, centre)
	return allowed && f.decls.inService(centre)
}

// fitsOn reports whether the worker has room; an attempt behind others needs it only once it is promoted.
func fitsOn(w *worker, op record.Taken, p plan) bool {
	if op.Reservation.Negative() {
		return false
	}
	if op.Behind {
		return op.Reservation.Fits(w.Capacity)
	}
	return op.Reservation.Plus(p.workers[op.Worker]).Fits(w.free())
}

// bind records a checked attempt on the worker.
func (f *fold) bind(op record.Taken, j *job, w *worker) {
	t := &j.Tasks[op.Attempt.Task.Index]
	f.alterJob(j, func() {
		j.move(t, PhaseBound)
		t.Attempt = op.Attempt.Number
		t.Worker, t.Boot, t.Reservation, t.Behind = op.Worker, op.Boot, op.Reservation, op.Behind
		t.BoundAt = f.env.Time
	})
	f.alterWorker(w, func() {
		w.Bound = append(w.Bound, t.ID)
		if !op.Behind {
			w.Committed = w.Committed.Plus(op.Reservation)
		}
	})
	f.raise(j.Spec.Team, op.Reservation)
	f.emit(TaskBound{Task: *t, Spec: j.Spec})
}

// raise adds to the team's usage and marks the team for the check of its limit.
func (f *fold) raise(team model.TeamID, size model.Resources) {
	f.usages.add(team, size)
	f.raised[team] = struct{}{}
}

// pulled hands a task of an open class to the team's own runner; it counts at its declared size.
func (f *fold) pulled(op record.Pulled) error {
	j, err := f.jobFor(op.Attempt)
	if err != nil {
		return err
	}
	if !f.decls.open(j.Spec.Class) {
		return ErrNotFound
	}
	if !f.decls.granted(j.Spec.Team, op.Key) {
		return ErrKeyNotGranted
	}
	if j.Spec.Kind == model.KindGang {
		return ErrGangIncomplete
	}
	if !f.decls.withinLimit(j.Spec.Team, f.usages.get(j.Spec.Team).with(j.Spec.Size)) {
		return ErrOverLimit
	}
	t := &j.Tasks[op.Attempt.Task.Index]
	f.alterJob(j, func() {
		j.move(t, PhasePulled)
		t.Attempt = op.Attempt.Number
		t.Reservation, t.Lease, t.BoundAt = j.Spec.Size, op.Lease, f.env.Time
	})
	f.raise(j.Spec.Team, j.Spec.Size)
	f.emit(TaskPulled{Task: *t})
	f.settle(j)
	return nil
}

// ended records the end of a current attempt and promotes what waits behind it.
func (f *fold) ended(op record.Ended) error {
	j, ok := f.jobs.rows.get(op.Attempt.Task.Job)
	if !ok || op.Attempt.Task.Index < 0 || op.Attempt.Task.Index >= len(j.Tasks) {
		return ErrNotCurrent
	}
	t := &j.Tasks[op.Attempt.Task.Index]
	running := t.Phase == PhaseBound || t.Phase == PhasePulled
	if !running || t.Attempt != op.Attempt.Number || t.Worker != op.Worker {
		return ErrNotCurrent
	}
	if !knownOutcome(op.Outcome) {
		return ErrInvalid
	}
	f.endAttempt(j, op.Attempt.Task.Index, ending{op.Outcome, op.Usage, op.Checkpoint})
	if w, ok := f.workers.rows.get(op.Worker); ok {
		f.promote(w)
	}
	return nil
}

func knownOutcome(outcome model.Outcome) bool {
	switch outcome {
	case model.OutcomeSucceeded, model.OutcomeFailed, model.OutcomeStopped, model.OutcomePreempted,
		model.OutcomeNeverStarted, model.OutcomeLost:
		return true
	}
	return false
}

// endAttempt takes the task off its worker and finishes it or queues it again.
func (f *fold) endAttempt(j *job, index int, end ending) {
	t := &j.Tasks[index]
	attempt, workerID, resumed := t.CurrentAttempt(), t.Worker, t.Checkpoint
	f.release(j, t)
	again := f.runsAgain(j, t, end.outcome)
	f.alterJob(j, func() {
		j.Ran = j.Ran || end.outcome != model.OutcomeNeverStarted
		t.Checkpoint = max(t.Checkpoint, end.checkpoint)
		if end.outcome == model.OutcomeFailed {
			t.Failures++
		}
		if again {
			j.move(t, PhaseQueued)
			t.QueuedAt = f.env.Time
			return
		}
		j.move(t, PhaseDone)
		t.Outcome, t.Stopping = end.outcome, false
	})
	f.emit(AttemptEnded{
		Task: *t, Attempt: attempt, Worker: workerID, Outcome: end.outcome, Usage: end.usage, Spec: j.Spec,
	})
	if again {
		f.emit(TaskQueued{Task: *t, Spec: j.Spec})
	} else {
		f.emit(TaskDone{Task: *t})
	}
	if end.outcome == model.OutcomeSucceeded {
		// An attempt that resumed from a checkpoint ran only the rest of the task.
		f.learned.learn(j.Spec, model.Usage{Peak: end.usage.Peak, RunTime: resumed + end.usage.RunTime})
	}
	f.settle(j)
}

// release gives back what the attempt had reserved.
func (f *fold) release(j *job, t *Task) {
	f.usages.remove(j.Spec.Team, t.Reservation)
	if w, ok := f.workers.rows.get(t.Worker); ok && t.Phase == PhaseBound {
		f.alterWorker(w, func() { w.unbind(t) })
	}
	f.alterJob(j, func() {
		t.Worker, t.Boot, t.Reservation, t.Behind = "", "", model.Resources{}, false
		t.Lease, t.BoundAt = 0, 0
	})
}

// runsAgain decides whether the task is queued again after the outcome.
func (f *fold) runsAgain(j *job, t *Task, outcome model.Outcome) bool {
	if t.Stopping || j.Cancelled {
		return false
	}
	if j.Spec.Kind == model.KindService {
		return true
	}
	switch outcome {
	case model.OutcomeFailed:
		return t.Failures+1 < f.cfg.MaxFailures
	case model.OutcomePreempted, model.OutcomeNeverStarted:
		return true
	case model.OutcomeLost:
		return j.Spec.Rerun
	default:
		return false
	}
}
