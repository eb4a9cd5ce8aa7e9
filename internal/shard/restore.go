package shard

import (
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// Restored is what a former owner recorded.
type Restored struct {
	Jobs      []work.Job
	Progress  map[model.JobID]work.Progress
	Cancelled []model.JobID
}

// Restore takes over the recorded state. Runs that were bound may be present on their workers until these report under
// the new token, or until the longest lease that the former owner may have given has lapsed.
func (s *Shard) Restore(r Restored, now time.Duration, wall time.Time) {
	for _, spec := range r.Jobs {
		if _, ok := s.jobs[spec.ID]; ok {
			continue
		}
		queue, _ := s.terms.Queue(spec.Queue)
		age := min(max(wall.Sub(spec.Accepted), 0), restoredAge)
		j := newJob(spec, queue, now-age)
		s.add(j)
		if p, ok := r.Progress[spec.ID]; ok {
			s.restoreProgress(j, p, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.Progress)) {
		p := r.Progress[id]
		if _, ok := s.jobs[id]; !ok && p.Final != "" {
			// The submission was dropped once the job was final; only its state is still needed.
			s.restoreProgress(s.addFinal(id), p, now)
		}
	}
	for _, st := range s.active {
		s.breakPartial(st, now)
	}
	for _, id := range r.Cancelled {
		s.Cancel(id, now)
	}
	limit := now + s.cfg.RenewLimit + time.Duration(float64(s.cfg.Lease)/(1-clockDrift)) + lapseMargin
	for _, w := range s.byID {
		w.leaseEnd = limit
	}
}

// breakPartial stops what is left of a gang that is known to lack a member.
func (s *Shard) breakPartial(st *stage, now time.Duration) {
	if !st.spec.Gang || st.left == 0 || !slices.ContainsFunc(st.tasks, func(t task) bool { return len(t.attempts) == 0 }) {
		return
	}
	for i := range st.tasks {
		for _, a := range st.tasks[i].attempts {
			s.stop(a, now)
		}
	}
}

func (s *Shard) addFinal(id model.JobID) *job {
	j := newJob(work.Job{ID: id}, terms.Queue{}, 0)
	s.jobs[id] = j
	return j
}

func (s *Shard) restoreProgress(j *job, p work.Progress, now time.Duration) {
	j.begun = p.Begun
	for _, tp := range p.Tasks {
		st := j.stage(tp.Occurrence, tp.Stage)
		if st == nil || tp.Index < 0 || tp.Index >= len(st.tasks) {
			s.event("progress-mismatch", string(j.spec.ID), "", nil, "", int64(tp.Index))
			continue
		}
		t := &st.tasks[tp.Index]
		t.lastRun, t.failedRuns, t.checkpoint = tp.LastRun, tp.FailedRuns, tp.Checkpoint
		if tp.Done {
			t.done = true
			st.left--
		}
		for _, b := range tp.Bindings {
			s.restoreBinding(st, tp.Index, b, now)
		}
	}
	if p.Final != "" {
		j.final, j.finalAt = p.Final, now
		s.finals = append(s.finals, j)
		active := s.active[:0]
		for _, st := range s.active {
			if st.job != j {
				active = append(active, st)
			}
		}
		s.active = active
		j.live(func(a *attempt) { s.stop(a, now) })
	}
}

// restoreBinding notes a run that may be present on its worker.
func (s *Shard) restoreBinding(st *stage, index int, b work.Binding, now time.Duration) {
	w := s.worker(b.Worker)
	if b.Incarnation < w.born {
		// A later life of the worker was already bound to, so this run is gone.
		return
	}
	if b.Incarnation > w.born {
		for _, a := range sortedAttempts(w) {
			s.ended(a, agent.OutcomeLeaseExpired, "", now)
		}
		w.born = b.Incarnation
	}
	s.attach(&attempt{stage: st, index: index, run: b.Run, worker: w, settled: 0, changedAt: now, savedAt: now})
}
