package state

import (
	"slices"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// jobs is the aggregate of jobs and their tasks.
type jobs struct {
	rows *table[model.JobID, *job]
	// next numbers accepted jobs.
	next   int64
	queues *queues
	// done lists the finished jobs kept in full, and ids those of which only the outcome is kept, oldest first.
	done []model.JobID
	ids  []finished
	// outcomes finds the rows of ids.
	outcomes *table[model.JobID, finished]
}

type job struct {
	Job
	// Number orders jobs by acceptance.
	Number int64 `json:"number"`
	// Ran is set once an attempt ended that may have run.
	Ran bool `json:"ran,omitempty"`
	// FinishedAt is the record time at which the last task ended.
	FinishedAt int64 `json:"finished-at,omitempty"`

	queued, bound, pulled int
}

// finished is what is kept of an old finished job.
type finished struct {
	ID      model.JobID   `json:"id"`
	Outcome model.Outcome `json:"outcome"`
	Time    int64         `json:"time"`
}

func newJobs() *jobs {
	return &jobs{
		rows: newTable[model.JobID, *job](), outcomes: newTable[model.JobID, finished](), queues: newQueues(),
	}
}

// copied returns a copy that later operations don't alter.
func (j *job) copied() Job {
	out := j.Job
	out.Tasks = slices.Clone(j.Tasks)
	return out
}

// count adds n to the counter of the phase.
func (j *job) count(phase TaskPhase, n int) {
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

// move brings a task into a phase.
func (j *job) move(t *Task, phase TaskPhase) {
	j.count(t.Phase, -1)
	t.Phase = phase
	j.count(phase, 1)
}

// outcome summarises the ends of all tasks.
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

// known reports whether the job was accepted before.
func (s *jobs) known(id model.JobID) bool {
	if _, ok := s.rows.get(id); ok {
		return true
	}
	_, ok := s.outcomes.get(id)
	return ok
}

// finish keeps the job in full among the latest ones, and reduces the oldest of these to its outcome.
func (s *jobs) finish(j *job, keep int) {
	s.done = append(s.done, j.Spec.ID)
	if len(s.done) <= keep {
		return
	}
	oldest, _ := s.rows.get(s.done[0])
	row := finished{ID: oldest.Spec.ID, Outcome: oldest.Outcome, Time: oldest.FinishedAt}
	s.done = s.done[1:]
	s.outcomes.put(row.ID, row)
	s.ids = append(s.ids, row)
	s.rows.remove(row.ID)
}

// prune forgets jobs that finished before the time.
func (s *jobs) prune(before int64) {
	for len(s.ids) > 0 && s.ids[0].Time < before {
		s.outcomes.remove(s.ids[0].ID)
		s.ids = s.ids[1:]
	}
}

func (f *fold) jobAccepted(op record.JobAccepted) error {
	spec := op.Spec
	if f.jobs.known(spec.ID) {
		return ErrDuplicate
	}
	_, team := f.decls.set.Team(spec.Team)
	_, class := f.decls.set.Class(spec.Class)
	if !team || !class {
		return ErrNotFound
	}
	if !f.decls.mayUse(spec.Team, spec.Class, op.Key) {
		return ErrKeyNotGranted
	}
	if !f.validSpec(spec) {
		return ErrInvalid
	}
	j := &job{Number: f.jobs.next, Job: Job{
		Spec: spec, Accepted: f.offset, Submitted: op.Submitted, Tasks: make([]Task, spec.Tasks),
	}}
	f.jobs.next++
	for i := range j.Tasks {
		j.Tasks[i] = Task{ID: model.TaskID{Job: spec.ID, Index: i}, Phase: PhaseQueued, QueuedAt: f.env.Time}
	}
	j.queued = spec.Tasks
	f.jobs.rows.put(spec.ID, j)
	f.jobs.queues.file(j)
	f.touchJob(spec.ID)
	for i := range j.Tasks {
		f.emit(TaskQueued{Task: j.Tasks[i], Spec: spec})
	}
	return nil
}

// validSpec refuses what would break the accounting of later operations.
func (f *fold) validSpec(spec model.JobSpec) bool {
	switch spec.Kind {
	case model.KindBatch, model.KindGang, model.KindService:
	default:
		return false
	}
	return spec.ID != "" && spec.Tasks >= 1 && spec.Tasks <= f.cfg.MaxTasks && !spec.Size.Negative()
}

// jobCancelled ends the queued tasks and marks the others for stopping.
func (f *fold) jobCancelled(op record.JobCancelled) error {
	j, ok := f.jobs.rows.get(op.Job)
	if !ok {
		return f.unknownJob(op.Job)
	}
	if !f.decls.mayUse(j.Spec.Team, j.Spec.Class, op.Key) {
		return ErrKeyNotGranted
	}
	if j.Cancelled || j.Finished() {
		return ErrDuplicate
	}
	f.alterJob(j, func() { j.Cancelled = true })
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.Phase {
		case PhaseQueued:
			f.finishTask(j, t, "")
		case PhaseBound, PhasePulled:
			f.alterJob(j, func() { t.Stopping = true })
			f.emit(TaskStopping{Task: *t})
		}
	}
	f.settle(j)
	return nil
}

// jobRefused ends a job that can never run; one of which an attempt may have run is not refused.
func (f *fold) jobRefused(op record.JobRefused) error {
	j, ok := f.jobs.rows.get(op.Job)
	if !ok {
		return f.unknownJob(op.Job)
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
	f.alterJob(j, func() { j.Refused = op.Reason })
	for i := range j.Tasks {
		f.finishTask(j, &j.Tasks[i], "")
	}
	f.settle(j)
	return nil
}

// unknownJob tells a job that finished long ago from one that was never accepted.
func (f *fold) unknownJob(id model.JobID) error {
	if f.jobs.known(id) {
		return ErrDuplicate
	}
	return ErrNotFound
}

// finishTask ends a task for good.
func (f *fold) finishTask(j *job, t *Task, outcome model.Outcome) {
	f.alterJob(j, func() {
		j.move(t, PhaseDone)
		t.Outcome = outcome
		t.Stopping = false
	})
	f.emit(TaskDone{Task: *t})
}

// settle brings the index of queued tasks and the list of finished jobs up to date after a job's tasks changed.
func (f *fold) settle(j *job) {
	f.touchJob(j.Spec.ID)
	f.jobs.queues.file(j)
	if j.Done < len(j.Tasks) || j.Finished() {
		return
	}
	f.alterJob(j, func() {
		j.Outcome = j.outcome()
		j.FinishedAt = f.clock
	})
	f.jobs.finish(j, f.cfg.FinishedJobs)
}

// alterJob runs change under the lock of the job's shard.
func (f *fold) alterJob(j *job, change func()) {
	defer f.jobs.rows.lock(j.Spec.ID).Unlock()
	change()
}
