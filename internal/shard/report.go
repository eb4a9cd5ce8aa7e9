package shard

import (
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// HoldFor returns the hold to send to a worker now; renew tells whether the owner may extend leases.
func (s *Shard) HoldFor(id model.WorkerID, now time.Duration, renew bool) (agent.Heartbeat, bool) {
	w, ok := s.workers[id]
	if !ok || s.stopped {
		return agent.Heartbeat{}, false
	}
	hold := agent.Heartbeat{Token: s.cfg.Token, Acked: w.ackable(s.committed)}
	// A worker that has not answered gets no longer lease, so that its runs lapse at a known moment.
	if renew && now-w.answered < suspectAfter {
		hold.LeaseEnd = w.lease(now, s.cfg.Lease)
	}
	return hold, true
}

// Busy reports whether a worker has runs, or ends that wait to be acknowledged.
func (s *Shard) Busy(id model.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && (len(w.attempts) > 0 || len(w.acks) > 0 || !w.visited)
}

// Reported applies a worker's report.
func (s *Shard) Reported(id model.WorkerID, r agent.Report, now time.Duration) {
	w, ok := s.workers[id]
	if !ok || s.stopped || r.Incarnation < w.born || (r.Incarnation == w.born && w.visited && r.Clock < w.clock) {
		return
	}
	if r.Incarnation > w.born {
		s.reborn(w, r, now)
	}
	if now-w.answered > suspectAfter {
		s.event("worker-answers", "", "", w, "", r.Clock.Milliseconds())
	}
	// A worker that answers for the first time, or again, gives room.
	if !w.visited || now-w.answered > suspectAfter {
		s.freed[w] = true
		s.replan = true
	}
	if !w.visited {
		// From here on no other owner extends the lease, and none is longer than the maximum.
		w.leaseEnd = now + time.Duration(float64(s.cfg.MaxLease)/(1-clockDrift)) + lapseMargin
	}
	w.visited, w.clock, w.clockAt, w.answered = true, r.Clock, now, now
	listed := make(map[runKey]bool, len(r.Running)+len(r.Ended))
	for _, end := range r.Ended {
		listed[runKey{end.Task, end.Run}] = true
		s.endReported(w, end, now)
	}
	for _, row := range r.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		s.runReported(w, key, row, now)
	}
	for key := range w.strangers {
		if !listed[key] {
			delete(w.strangers, key)
			s.freed[w] = true
		}
	}
	if r.Truncated {
		return
	}
	s.settleAssumed(w)
	for _, a := range sortedAttempts(w) {
		if !listed[a.key()] && a.settled >= 0 && r.Clock > a.settled && !a.calling {
			s.ended(a, agent.OutcomeLeaseExpired, "", now)
		}
	}
}

// reborn ends what ran in the worker's former life. A start without an answer may still reach the new life, so that
// run stays until a stop is confirmed; so does a run that the new life reports, since the start
// reached that life.
func (s *Shard) reborn(w *worker, r agent.Report, now time.Duration) {
	first, born := w.born == 0, r.Incarnation
	w.born, w.clock, w.seen, w.acked, w.acks = born, 0, 0, 0, nil
	w.strangers = make(map[runKey]*stranger)
	if first {
		return
	}
	s.event("worker-reborn", "", "", w, "", born)
	s.forgetWorker(w.id)
	present := make(map[runKey]bool, len(r.Running))
	for _, row := range r.Running {
		present[runKey{row.Task, row.Run}] = true
	}
	for _, end := range r.Ended {
		present[runKey{end.Task, end.Run}] = true
	}
	for _, a := range sortedAttempts(w) {
		if present[a.key()] {
			continue
		}
		if a.unsettled || a.calling {
			s.stop(a, now)
			a.settled = -1
			continue
		}
		s.ended(a, agent.OutcomeLeaseExpired, "", now)
	}
}

func (s *Shard) endReported(w *worker, end agent.EndedRun, now time.Duration) {
	key := runKey{end.Task, end.Run}
	if end.Number > w.seen {
		w.seen = end.Number
		if a, ok := w.attempts[key]; ok {
			if end.Outcome != agent.OutcomeDone {
				s.gangEnded(a, now)
			}
			s.ended(a, end.Outcome, end.Checkpoint, now)
		} else if end.Outcome == agent.OutcomeFailed {
			s.failedUnexpected(end, now)
		}
		w.acks = append(w.acks, pendingAck{end.Number, s.next})
	}
}

func (s *Shard) runReported(w *worker, key runKey, row agent.ActiveRun, now time.Duration) {
	a, ok := w.attempts[key]
	if !ok {
		if w.strangers[key] == nil {
			w.strangers[key] = &stranger{}
			s.event("run-unknown", string(key.task.Job), key.task.String(), w, "", int64(key.run))
		}
		return
	}
	if a.phase == phaseBound {
		a.phase, a.changedAt = phaseStarted, now
		s.begin(a, now)
	}
	a.unsettled = false
	a.settled = max(a.settled, 0)
	if row.Percent != a.percent {
		a.percent, a.changedAt = row.Percent, now
	}
	if row.Checkpoint != "" && row.Checkpoint != a.checkpoint {
		a.checkpoint, a.savedAt = row.Checkpoint, now
	}
}

// failedUnexpected counts the failure of a run that was taken as lapsed: acknowledging the end makes it count.
func (s *Shard) failedUnexpected(end agent.EndedRun, now time.Duration) {
	j := s.jobs[end.Task.Job]
	if j == nil || j.final != "" {
		return
	}
	st := j.stage(end.Task.Occurrence, end.Task.Stage)
	if st == nil || end.Task.Index < 0 || end.Task.Index >= len(st.tasks) || st.spec.Service {
		return
	}
	s.touch(j)
	failures := st.countFailure(end.Task.Index, end.Run)
	s.event("late-failure", string(j.spec.ID), end.Task.String(), nil, "", int64(failures))
	if st.left > 0 && failures >= max(j.queue.Attempts, 1) && !st.tasks[end.Task.Index].done {
		s.finish(j, work.StateFailed, now)
	}
}

// gangEnded notes when the other members of a run have ended for certain, since one was reported to have: those at work
// end with it, and one that was started afterwards ends when it has waited for the others in vain. So members on workers
// that don't answer needn't be waited for until their leases lapse; a start that may still arrive is no such member.
func (s *Shard) gangEnded(a *attempt, now time.Duration) {
	if !a.stage.spec.Gang {
		return
	}
	limit := now + time.Duration(float64(s.cfg.GangTimeout+s.cfg.KillGrace)/(1-clockDrift)) + lapseMargin
	for i := range a.stage.tasks {
		for _, other := range a.stage.tasks[i].attempts {
			if other != a && other.run == a.run && other.goneAt == 0 && other.worker.visited && !other.unsettled && other.settled >= 0 {
				other.goneAt = limit
			}
		}
	}
}

// begin notes that a task of the job has started.
func (s *Shard) begin(a *attempt, now time.Duration) {
	j := a.stage.job
	if j.begun {
		return
	}
	j.begun = true
	s.touch(j)
	s.event(EventJobBegun, string(j.spec.ID), a.ref().String(), a.worker, j.spec.Queue, (now - j.received).Milliseconds())
}

// ended removes a run that is no longer on its worker and decides what follows for its task.
func (s *Shard) ended(a *attempt, how agent.RunOutcome, checkpoint string, now time.Duration) {
	w, t, st, j := a.worker, a.task(), a.stage, a.stage.job
	if w.attempts[a.key()] != a {
		// The end of another member of the gang has ended this one already.
		return
	}
	delete(w.attempts, a.key())
	w.used = w.used.Minus(a.size())
	s.freed[w], st.retry = true, true
	s.freeTeam(j.spec.Team)
	s.usage[j.spec.Team] = s.usage[j.spec.Team].Minus(st.spec.Size)
	for i, other := range t.attempts {
		if other == a {
			t.attempts = append(t.attempts[:i:i], t.attempts[i+1:]...)
			break
		}
	}
	s.touch(j)
	s.replan = true
	s.event("run-ended", string(j.spec.ID), a.ref().String(), w, string(how), int64(a.run))
	if checkpoint == "" {
		checkpoint = a.checkpoint
	}
	if how != agent.OutcomeDone {
		st.saveCheckpoint(a.index, checkpoint)
	}
	if j.final != "" {
		return
	}
	switch how {
	case agent.OutcomeDone:
		w.failures = 0
		s.succeeded(a, now)
	case agent.OutcomeFailed:
		s.failed(a, now)
	case agent.OutcomeStopped, agent.OutcomeLeaseExpired, agent.OutcomeGangBroken, agent.OutcomeGangIncomplete:
		s.breakGang(a, now)
	}
}

// freeTeam lets the stages be tried again that wait for their team's limit.
func (s *Shard) freeTeam(team model.TeamID) {
	for _, st := range s.active {
		if st.waitsFor == waitTeamLimit && st.job.spec.Team == team {
			st.retry = true
		}
	}
}

// succeeded marks the task, or all tasks of a gang, as done.
func (s *Shard) succeeded(a *attempt, now time.Duration) {
	st, j := a.stage, a.stage.job
	if st.spec.Service {
		return
	}
	for i := range st.tasks {
		if (i == a.index || st.spec.Gang) && !st.tasks[i].done {
			st.tasks[i].done = true
			st.left--
		}
	}
	if !st.spec.Gang {
		// Copies of a speculative task are no longer needed.
		for _, other := range a.task().attempts {
			s.stop(other, now)
		}
	}
	if st.left > 0 {
		return
	}
	for _, other := range j.stages {
		if other.left > 0 {
			return
		}
	}
	s.finish(j, work.StateCompleted, now)
}

// failed counts a failure against the task, or once against the whole gang, and against the worker.
func (s *Shard) failed(a *attempt, now time.Duration) {
	st, j, w := a.stage, a.stage.job, a.worker
	j.avoid[w.id] = true
	if w.lastFailure != j.spec.ID {
		w.failures++
		w.lastFailure = j.spec.ID
	}
	if w.failures >= quarantineAfter {
		w.quarantinedUntil = now + quarantineTime
		s.event("worker-quarantined", "", "", w, "", int64(w.failures))
	}
	failures := st.countFailure(a.index, a.run)
	if !st.spec.Service && failures >= max(j.queue.Attempts, 1) {
		s.finish(j, work.StateFailed, now)
		return
	}
	s.breakGang(a, now)
}

// breakGang stops the other members of a gang one of which has ended; workers usually end them by themselves first.
func (s *Shard) breakGang(a *attempt, now time.Duration) {
	st := a.stage
	if !st.spec.Gang {
		return
	}
	for i := range st.tasks {
		for _, other := range st.tasks[i].attempts {
			if other.phase == phaseStopping {
				continue
			}
			s.stop(other, now)
			if other.settled >= 0 {
				other.notBefore = now + gangBreakGrace
			}
		}
	}
}

// stop asks for the end of a run; its room stays taken until the worker proves that it is gone. A run whose start was
// never sent ends at once.
func (s *Shard) stop(a *attempt, now time.Duration) {
	if a.phase == phaseStopping {
		return
	}
	if a.phase == phaseBound && !a.calling && !a.unsettled && a.settled < 0 {
		s.ended(a, agent.OutcomeLeaseExpired, "", now)
		return
	}
	a.phase, a.notBefore = phaseStopping, now
}
