package state

import (
	"slices"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// jobs holds the jobs and their tasks.
type jobs struct {
	rows *table[model.JobID, *job]
	// nextNumber is the Number of the next accepted job.
	nextNumber int64
	queues     *queues
	// recentlyFinished lists the finished jobs kept in full, and archived those of which only the outcome is kept;
	// oldest first.
	recentlyFinished []model.JobID
	archived         []archivedJob
	// archivedByID indexes archived by job ID.
	archivedByID *table[model.JobID, archivedJob]
}

type job struct {
	Job
	// Number orders jobs by acceptance.
	Number int64 `json:"number"`
	// Ran is set once an attempt has ended that may have run.
	Ran bool `json:"ran,omitempty"`
	// FinishedAt is the log time at which the last task was done, in nanoseconds since 1970.
	FinishedAt int64 `json:"finished-at,omitempty"`

	// queued, bound and pulled count the tasks in each phase, as Done does.
	queued, bound, pulled int
}

// archivedJob is what is kept of an old finished job.
type archivedJob struct {
	ID      model.JobID   `json:"id"`
	Outcome model.Outcome `json:"outcome"`
	Time    int64         `json:"time"`
}

func newJobs() *jobs {
	return &jobs{
		rows: newTable[model.JobID, *job](), archivedByID: newTable[model.JobID, archivedJob](), queues: newQueues(),
	}
}

// clone returns a copy that later operations don't change.
func (j *job) clone() Job {
	out := j.Job
	out.Tasks = slices.Clone(j.Tasks)
	return out
}

// addToPhase adds n to the counter of the phase.
func (j *job) addToPhase(phase TaskPhase, n int) {
	switch phase {
	case PhaseQueued:
		j.queued += n
	case PhaseBound:
		j.bound += n
	case PhasePulled:
		j.pulled += n
	case PhaseDone:
		j.Done += n
	}
}

// setPhase changes a task's phase and the counters.
func (j *job) setPhase(t *Task, phase TaskPhase) {
	j.addToPhase(t.Phase, -1)
	t.Phase = phase
	j.addToPhase(phase, 1)
}

// outcome derives the outcome of a finished job from its tasks' outcomes; see Job.Outcome.
func (j *job) outcome() model.Outcome {
	if j.Refused != "" {
		return model.OutcomeNeverStarted
	}
	out := model.OutcomeSucceeded
	if j.Cancelled {
		out = model.OutcomeStopped
	}
	for i := range j.Tasks {
		switch j.Tasks[i].Outcome {
		case model.OutcomeLost:
			return model.OutcomeLost
		case model.OutcomeFailed:
			out = model.OutcomeFailed
		case model.OutcomeStopped:
			if out == model.OutcomeSucceeded {
				out = model.OutcomeStopped
			}
		}
	}
	return out
}

// known reports whether a job of this ID was accepted before and is not forgotten yet.
func (s *jobs) known(id model.JobID) bool {
	if _, ok := s.rows.get(id); ok {
		return true
	}
	_, ok := s.archivedByID.get(id)
	return ok
}

// keepFinished adds a finished job to those kept in full. If there are more than keep, the oldest is archived.
func (s *jobs) keepFinished(j *job, keep int) {
	s.recentlyFinished = append(s.recentlyFinished, j.Spec.ID)
	if len(s.recentlyFinished) <= keep {
		return
	}
	oldest, _ := s.rows.get(s.recentlyFinished[0])
	row := archivedJob{ID: oldest.Spec.ID, Outcome: oldest.Outcome, Time: oldest.FinishedAt}
	s.recentlyFinished = s.recentlyFinished[1:]
	s.archivedByID.put(row.ID, row)
	s.archived = append(s.archived, row)
	s.rows.remove(row.ID)
}

// prune forgets archived jobs that finished before the time.
func (s *jobs) prune(before int64) {
	for len(s.archived) > 0 && s.archived[0].Time < before {
		s.archivedByID.remove(s.archived[0].ID)
		s.archived = s.archived[1:]
	}
}

func (a *applier) applyJobAccepted(op record.JobAccepted) error {
	spec := op.Spec
	if a.jobs.known(spec.ID) {
		return ErrDuplicate
	}
	_, team := a.decls.set.Team(spec.Team)
	_, class := a.decls.set.Class(spec.Class)
	if !team || !class {
		return ErrNotFound
	}
	if !a.decls.mayUse(spec.Team, spec.Class, op.Key) {
		return ErrKeyNotGranted
	}
	if !a.validSpec(spec) {
		return ErrInvalid
	}
	j := &job{Number: a.jobs.nextNumber, Job: Job{
		Spec: spec, Accepted: a.offset, Submitted: op.Submitted, Tasks: make([]Task, spec.Tasks),
	}}
	a.jobs.nextNumber++
	for i := range j.Tasks {
		j.Tasks[i] = Task{ID: model.TaskID{Job: spec.ID, Index: i}, Phase: PhaseQueued, QueuedAt: a.env.Time}
	}
	j.queued = spec.Tasks
	a.jobs.rows.put(spec.ID, j)
	a.jobs.queues.update(j)
	a.markJobChanged(spec.ID)
	for i := range j.Tasks {
		a.emit(TaskQueued{Task: j.Tasks[i], Spec: spec})
	}
	return nil
}

// validSpec rejects specifications that would break the accounting of later operations.
func (a *applier) validSpec(spec model.JobSpec) bool {
	switch spec.Kind {
	case model.KindBatch, model.KindGang, model.KindService:
	default:
		return false
	}
	return spec.ID != "" && spec.Tasks >= 1 && spec.Tasks <= a.cfg.MaxTasks && !spec.Size.Negative()
}

// applyJobCancelled ends the queued tasks and marks the bound and pulled ones for stopping.
func (a *applier) applyJobCancelled(op record.JobCancelled) error {
	j, ok := a.jobs.rows.get(op.Job)
	if !ok {
		return a.missingJobError(op.Job)
	}
	if !a.decls.mayUse(j.Spec.Team, j.Spec.Class, op.Key) {
		return ErrKeyNotGranted
	}
	if j.Cancelled || j.Finished() {
		return ErrDuplicate
	}
	a.alterJob(j, func() { j.Cancelled = true })
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.Phase {
		case PhaseQueued:
			a.finishTask(j, t, "")
		case PhaseBound, PhasePulled:
			a.alterJob(j, func() { t.Stopping = true })
			a.emit(TaskStopping{Task: *t})
		}
	}
	a.reindexJob(j)
	return nil
}

// applyJobRefused ends a job that can never run. It is rejected if an attempt of the job may have run.
func (a *applier) applyJobRefused(op record.JobRefused) error {
	j, ok := a.jobs.rows.get(op.Job)
	if !ok {
		return a.missingJobError(op.Job)
	}
	if j.Cancelled || j.Finished() {
		return ErrDuplicate
	}
	if j.Ran || j.queued != len(j.Tasks) {
		return ErrNotQueued
	}
	if op.Reason == "" {
		return ErrInvalid
	}
	a.alterJob(j, func() { j.Refused = op.Reason })
	for i := range j.Tasks {
		a.finishTask(j, &j.Tasks[i], "")
	}
	a.reindexJob(j)
	return nil
}

// missingJobError returns ErrDuplicate for an archived job and ErrNotFound for one that was never accepted.
func (a *applier) missingJobError(id model.JobID) error {
	if a.jobs.known(id) {
		return ErrDuplicate
	}
	return ErrNotFound
}

// finishTask marks a task as done.
func (a *applier) finishTask(j *job, t *Task, outcome model.Outcome) {
	a.alterJob(j, func() {
		j.setPhase(t, PhaseDone)
		t.Outcome = outcome
		t.Stopping = false
	})
	a.emit(TaskDone{Task: *t})
}

// reindexJob updates the index of queued tasks after the job's tasks changed, and completes the job if all are done.
func (a *applier) reindexJob(j *job) {
	a.markJobChanged(j.Spec.ID)
	a.jobs.queues.update(j)
	if j.Done < len(j.Tasks) || j.Finished() {
		return
	}
	a.alterJob(j, func() {
		j.Outcome = j.outcome()
		j.FinishedAt = a.clock
	})
	a.jobs.keepFinished(j, a.cfg.FinishedJobs)
}

// alterJob runs change under the lock of the job's shard.
func (a *applier) alterJob(j *job, change func()) {
	defer a.jobs.rows.lock(j.Spec.ID).Unlock()
	change()
}
