package shard

import (
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// HoldFor returns the hold to send to a worker now; renew tells whether the owner may extend leases.
func (s *Shard) HoldFor(id model.WorkerID, now time.Duration, renew bool) (agent.Hold, bool) {
	w, ok := s.workers[id]
	if !ok || s.stopped {
		return agent.Hold{}, false
	}
	hold := agent.Hold{Token: s.cfg.Token, Acked: w.ackableEnd(s.lastCommitted)}
	// A worker that has not answered gets no longer lease, so that its runs lapse at a known moment.
	if renew && now-w.lastReportAt < suspectAfter {
		hold.LeaseEnd = w.newLeaseEnd(now, s.cfg.Lease)
	}
	return hold, true
}

// Busy reports whether a worker has runs, or ends that wait to be acknowledged.
func (s *Shard) Busy(id model.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && (len(w.attempts) > 0 || len(w.pendingAcks) > 0 || !w.tokenSeen)
}

// ApplyReport applies a worker's report.
func (s *Shard) ApplyReport(id model.WorkerID, r agent.Report, now time.Duration) {
	w, ok := s.workers[id]
	if !ok || s.stopped || r.Born < w.incarnation || (r.Born == w.incarnation && w.tokenSeen && r.Clock < w.clock) {
		return
	}
	if r.Born > w.incarnation {
		s.replaceIncarnation(w, r, now)
	}
	if now-w.lastReportAt > suspectAfter {
		s.emit("worker-answers", "", "", w, "", r.Clock.Milliseconds())
	}
	// A worker that answers for the first time, or again, gives room.
	if !w.tokenSeen || now-w.lastReportAt > suspectAfter {
		s.freedWorkers[w] = true
		s.replan = true
	}
	if !w.tokenSeen {
		// From here on no other owner extends the lease, and none is longer than the maximum.
		w.leaseEnd = now + time.Duration(float64(s.cfg.MaxLease)/(1-clockDrift)) + lapseMargin
	}
	w.tokenSeen, w.clock, w.clockReadAt, w.lastReportAt = true, r.Clock, now, now
	listed := make(map[runKey]bool, len(r.Running)+len(r.Ended))
	for _, end := range r.Ended {
		listed[runKey{end.Task, end.Run}] = true
		s.applyEnd(w, end, now)
	}
	for _, row := range r.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		s.applyRunning(w, key, row, now)
	}
	for key := range w.unknownRuns {
		if !listed[key] {
			delete(w.unknownRuns, key)
			s.freedWorkers[w] = true
		}
	}
	if r.Truncated {
		return
	}
	s.clearUnconfirmed(w)
	for _, a := range sortedAttempts(w) {
		if !listed[a.key()] && a.visibleSince >= 0 && r.Clock > a.visibleSince && !a.commandPending {
			s.endRun(a, agent.HowLapsed, "", now)
		}
	}
}

// reborn ends what ran in the worker's former life. A start without an answer may still reach the new life, so that
// run stays until a stop is confirmed; so does a run that the new life reports, since the start
// reached that life.
func (s *Shard) replaceIncarnation(w *worker, r agent.Report, now time.Duration) {
	first, incarnation := w.incarnation == 0, r.Born
	w.incarnation, w.clock, w.lastEndSeen, w.ackedEnd, w.pendingAcks = incarnation, 0, 0, 0, nil
	w.unknownRuns = make(map[runKey]*unknownRun)
	if first {
		return
	}
	s.emit("worker-reborn", "", "", w, "", incarnation)
	s.forgetAdvice(w.id)
	reported := make(map[runKey]bool, len(r.Running))
	for _, row := range r.Running {
		reported[runKey{row.Task, row.Run}] = true
	}
	for _, end := range r.Ended {
		reported[runKey{end.Task, end.Run}] = true
	}
	for _, a := range sortedAttempts(w) {
		if reported[a.key()] {
			continue
		}
		if a.startUnanswered || a.commandPending {
			s.stopRun(a, now)
			a.visibleSince = -1
			continue
		}
		s.endRun(a, agent.HowLapsed, "", now)
	}
}

func (s *Shard) applyEnd(w *worker, end agent.Ended, now time.Duration) {
	key := runKey{end.Task, end.Run}
	if end.Number > w.lastEndSeen {
		w.lastEndSeen = end.Number
		if a, ok := w.attempts[key]; ok {
			if end.How != agent.HowDone {
				s.setGangEndedBy(a, now)
			}
			s.endRun(a, end.How, end.Checkpoint, now)
		} else if end.How == agent.HowFailed {
			s.countLateFailure(end, now)
		}
		w.pendingAcks = append(w.pendingAcks, pendingAck{end.Number, s.nextCommit})
	}
}

func (s *Shard) applyRunning(w *worker, key runKey, row agent.Running, now time.Duration) {
	a, ok := w.attempts[key]
	if !ok {
		if w.unknownRuns[key] == nil {
			w.unknownRuns[key] = &unknownRun{}
			s.emit("run-unknown", string(key.task.Job), key.task.String(), w, "", int64(key.run))
		}
		return
	}
	if a.phase == phaseBound {
		a.phase, a.progressAt = phaseStarted, now
		s.markStarted(a, now)
	}
	a.startUnanswered = false
	a.visibleSince = max(a.visibleSince, 0)
	if row.Percent != a.percent {
		a.percent, a.progressAt = row.Percent, now
	}
	if row.Checkpoint != "" && row.Checkpoint != a.checkpoint {
		a.checkpoint, a.savedAt = row.Checkpoint, now
	}
}

// failedUnexpected counts the failure of a run that was taken as lapsed: acknowledging the end makes it count.
func (s *Shard) countLateFailure(end agent.Ended, now time.Duration) {
	j := s.jobs[end.Task.Job]
	if j == nil || j.final != "" {
		return
	}
	st := j.stage(end.Task.Occurrence, end.Task.Stage)
	if st == nil || end.Task.Index < 0 || end.Task.Index >= len(st.tasks) || st.spec.Service {
		return
	}
	s.markDirty(j)
	failures := st.countFailure(end.Task.Index, end.Run)
	s.emit("late-failure", string(j.spec.ID), end.Task.String(), nil, "", int64(failures))
	if st.left > 0 && failures >= max(j.queue.Attempts, 1) && !st.tasks[end.Task.Index].done {
		s.finishJob(j, work.StateFailed, now)
	}
}

// gangEnded notes when the other members of a run have ended for certain, since one was reported to have: those at work
// end with it, and one that was started afterwards ends when it has waited for the others in vain. So members on workers
// that don't answer needn't be waited for until their leases lapse; a start that may still arrive is no such member.
func (s *Shard) setGangEndedBy(a *attempt, now time.Duration) {
	if !a.stage.spec.Gang {
		return
	}
	limit := now + time.Duration(float64(s.cfg.GangTimeout+s.cfg.KillGrace)/(1-clockDrift)) + lapseMargin
	for i := range a.stage.tasks {
		for _, other := range a.stage.tasks[i].attempts {
			if other != a && other.run == a.run && other.endedBy == 0 && other.worker.tokenSeen &&
				!other.startUnanswered && other.visibleSince >= 0 {
				other.endedBy = limit
			}
		}
	}
}

// begin notes that a task of the job has started.
func (s *Shard) markStarted(a *attempt, now time.Duration) {
	j := a.stage.job
	if j.started {
		return
	}
	j.started = true
	s.markDirty(j)
	s.emit(EventJobStarted, string(j.spec.ID), a.ref().String(), a.worker, j.spec.Queue, (now - j.received).Milliseconds())
}

// ended removes a run that is no longer on its worker and decides what follows for its task.
func (s *Shard) endRun(a *attempt, how agent.How, checkpoint string, now time.Duration) {
	w, t, st, j := a.worker, a.task(), a.stage, a.stage.job
	if w.attempts[a.key()] != a {
		// The end of another member of the gang has ended this one already.
		return
	}
	delete(w.attempts, a.key())
	w.used = w.used.Minus(a.size())
	s.freedWorkers[w], st.retry = true, true
	s.retryTeamStages(j.spec.Team)
	s.teamUsage[j.spec.Team] = s.teamUsage[j.spec.Team].Minus(st.spec.Size)
	for i, other := range t.attempts {
		if other == a {
			t.attempts = append(t.attempts[:i:i], t.attempts[i+1:]...)
			break
		}
	}
	s.markDirty(j)
	s.replan = true
	s.emit("run-ended", string(j.spec.ID), a.ref().String(), w, string(how), int64(a.run))
	if checkpoint == "" {
		checkpoint = a.checkpoint
	}
	if how != agent.HowDone {
		st.saveCheckpoint(a.index, checkpoint)
	}
	if j.final != "" {
		return
	}
	switch how {
	case agent.HowDone:
		w.consecutiveFailures = 0
		s.recordSuccess(a, now)
	case agent.HowFailed:
		s.recordFailure(a, now)
	case agent.HowStopped, agent.HowLapsed, agent.HowBroken, agent.HowAlone:
		s.stopGangMembers(a, now)
	}
}

// freeTeam lets the stages be tried again that wait for their team's limit.
func (s *Shard) retryTeamStages(team model.TeamID) {
	for _, st := range s.activeStages {
		if st.waitsFor == waitTeamLimit && st.job.spec.Team == team {
			st.retry = true
		}
	}
}

// succeeded marks the task, or all tasks of a gang, as done.
func (s *Shard) recordSuccess(a *attempt, now time.Duration) {
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
			s.stopRun(other, now)
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
	s.finishJob(j, work.StateCompleted, now)
}

// failed counts a failure against the task, or once against the whole gang, and against the worker.
func (s *Shard) recordFailure(a *attempt, now time.Duration) {
	st, j, w := a.stage, a.stage.job, a.worker
	j.avoid[w.id] = true
	if w.lastFailedJob != j.spec.ID {
		w.consecutiveFailures++
		w.lastFailedJob = j.spec.ID
	}
	if w.consecutiveFailures >= quarantineThreshold {
		w.quarantinedUntil = now + quarantineTime
		s.emit("worker-quarantined", "", "", w, "", int64(w.consecutiveFailures))
	}
	failures := st.countFailure(a.index, a.run)
	if !st.spec.Service && failures >= max(j.queue.Attempts, 1) {
		s.finishJob(j, work.StateFailed, now)
		return
	}
	s.stopGangMembers(a, now)
}

// breakGang stops the other members of a gang one of which has ended; workers usually end them by themselves first.
func (s *Shard) stopGangMembers(a *attempt, now time.Duration) {
	st := a.stage
	if !st.spec.Gang {
		return
	}
	for i := range st.tasks {
		for _, other := range st.tasks[i].attempts {
			if other.phase == phaseStopping {
				continue
			}
			s.stopRun(other, now)
			if other.visibleSince >= 0 {
				other.notBefore = now + gangStopGrace
			}
		}
	}
}

// stop asks for the end of a run; its room stays taken until the worker proves that it is gone. A run whose start was
// never sent ends at once.
func (s *Shard) stopRun(a *attempt, now time.Duration) {
	if a.phase == phaseStopping {
		return
	}
	if a.phase == phaseBound && !a.commandPending && !a.startUnanswered && a.visibleSince < 0 {
		s.endRun(a, agent.HowLapsed, "", now)
		return
	}
	a.phase, a.notBefore = phaseStopping, now
}
