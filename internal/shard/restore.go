package shard

import (
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// RecordedState is the state that a former owner recorded.
type RecordedState struct {
	Jobs      []work.Job
	Progress  map[model.JobID]work.Progress
	Cancelled []model.JobID
	// Unreadable lists the jobs of which a record can't be decoded.
	Unreadable []model.JobID
}

// Restore loads the recorded state. Bound runs may still be on their workers until these report under the new token, or
// until the longest lease that the former owner may have granted has expired.
func (s *Shard) Restore(r RecordedState, now time.Duration, wall time.Time) {
	s.formerStartsUntil = now + s.cfg.RenewLimit + maxCommandDelay
	for _, id := range r.Unreadable {
		if r.Progress[id].Final == "" {
			s.Hold(id)
		}
	}
	for _, spec := range r.Jobs {
		if _, ok := s.jobs[spec.ID]; ok || s.held[spec.ID] {
			continue
		}
		queue := s.queueOf(spec)
		age := min(max(wall.Sub(spec.Accepted), 0), maxRestoredAge)
		j := newJob(spec, queue, now-age)
		s.addJob(j)
		if p, ok := r.Progress[spec.ID]; ok {
			s.restoreProgress(j, p, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.Progress)) {
		p := r.Progress[id]
		_, known := s.jobs[id]
		switch {
		case known || s.held[id]:
		case p.Final != "":
			// The submission is deleted after the job is final; from then on only the final state is needed.
			s.restoreProgress(s.addFinal(id), p, now)
		default:
			s.emit("progress-without-job", string(id), "", nil, "", int64(len(p.Tasks)))
		}
	}
	s.dropFinalSubmissions(r)
	s.completeGangs(now)
	for _, st := range s.activeStages {
		s.stopIncompleteGang(st, now)
	}
	for _, id := range r.Cancelled {
		s.Cancel(id, now)
	}
	limit := now + s.cfg.RenewLimit
	for _, w := range s.workersByID {
		w.leaseEnd = s.longestLeaseEnd(limit)
		w.formerLeaseEnd = s.longestLeaseEnd(limit + maxCommandDelay)
	}
}

// completeGangs marks all tasks of a gang as done if one is, because a gang succeeds as a whole: the former owner may have
// recorded a part of its tasks only.
func (s *Shard) completeGangs(now time.Duration) {
	for _, st := range slices.Clone(s.activeStages) {
		if !st.spec.Gang || st.left == 0 || st.left == len(st.tasks) {
			continue
		}
		for i := range st.tasks {
			if !st.tasks[i].done {
				st.tasks[i].done = true
				st.left--
				s.markTaskDirty(st, i)
			}
		}
		s.finishIfDone(st.job, now)
	}
}

// stopIncompleteGang stops the remaining members of a gang if at least one member has no run.
func (s *Shard) stopIncompleteGang(st *stage, now time.Duration) {
	if !st.spec.Gang || st.left == 0 || !slices.ContainsFunc(st.tasks, func(t task) bool { return len(t.attempts) == 0 }) {
		return
	}
	s.stopStage(st, now)
}

// dropFinalSubmissions requests the deletion of the submissions that a former owner had yet to delete.
func (s *Shard) dropFinalSubmissions(r RecordedState) {
	stored := slices.Clone(r.Unreadable)
	for _, spec := range r.Jobs {
		stored = append(stored, spec.ID)
	}
	for _, id := range stored {
		if j := s.jobs[id]; j != nil && j.final != "" {
			s.dropSubmission(j)
		}
	}
}

// addFinal adds a final job whose submission is no longer known.
func (s *Shard) addFinal(id model.JobID) *job {
	j := newJob(work.Job{ID: id}, terms.Queue{}, 0)
	s.jobs[id] = j
	return j
}

func (s *Shard) restoreProgress(j *job, p work.Progress, now time.Duration) {
	j.started = p.Begun
	for _, tp := range p.Tasks {
		st := j.stage(tp.Occurrence, tp.Stage)
		if st == nil || tp.Index < 0 || tp.Index >= len(st.tasks) {
			s.emit("progress-mismatch", string(j.spec.ID), "", nil, "", int64(tp.Index))
			continue
		}
		t := &st.tasks[tp.Index]
		t.lastRun, t.checkpoint = tp.LastRun, tp.Checkpoint
		if t.settled = tp.Settled; tp.LastRun > 0 && j.queue.Advice == nil && !tp.Settled {
			// A start of a run that the former owner gave up may still reach a later incarnation of its worker.
			t.waitForLateStart(s.formerStartsUntil, now, tp.LateStartOn)
		}
		if !st.spec.Service {
			t.failedRuns = tp.FailedRuns
		}
		s.restorePart(st, tp.Index, p.Split)
		if tp.Done && !t.done {
			t.done = true
			st.left--
		}
		unsettled := tp.LastRun > 0 && !tp.Settled
		for _, b := range tp.Bindings {
			s.restoreBinding(st, tp.Index, b, now)
			unsettled = unsettled || !b.Settled
		}
		if unsettled && !tp.Done {
			s.recordSettled(st, tp.Index, s.formerStartsUntil)
		}
	}
	if p.Final != "" {
		j.final, j.finalAt = p.Final, now
		if len(j.recordedParts) > 0 {
			// The former owner had yet to delete them.
			s.markPartsDirty(j)
		}
		s.finalJobs = append(s.finalJobs, j)
		active := s.activeStages[:0]
		for _, st := range s.activeStages {
			if st.job != j {
				active = append(active, st)
			}
		}
		s.activeStages = active
		j.eachAttempt(func(a *attempt) { s.stopRun(a, now) })
	}
}

// restorePart notes the part that a task with recorded progress belongs to. If the job is split but its record isn't, an
// earlier version wrote it, and the part has yet to get a record.
func (s *Shard) restorePart(st *stage, index int, recorded bool) {
	part := s.partOf(st, index)
	switch {
	case part == 0:
	case recorded:
		st.job.recordedParts[part] = true
	default:
		s.markTaskDirty(st, index)
	}
}

// restoreBinding restores a run that may be on its worker, whatever incarnation of the worker is recorded with it: the start may
// have reached a later one. The worker's first report tells.
func (s *Shard) restoreBinding(st *stage, index int, b work.Binding, now time.Duration) {
	a := &attempt{
		stage: st, index: index, run: b.Run, worker: s.ensureWorker(b.Worker), visibleSince: 0, progressAt: now, savedAt: now,
		startInFlightUntil: s.formerStartsUntil,
	}
	if b.Settled {
		a.startInFlightUntil = 0
	}
	s.attach(a)
}
