package shard

import (
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// HeartbeatFor returns the heartbeat to send to a worker now, or false if the worker is unknown or the shard is stopped;
// renew tells whether the owner may extend leases.
func (s *Shard) HeartbeatFor(id model.WorkerID, now time.Duration, renew bool) (agent.Heartbeat, bool) {
	w, ok := s.workers[id]
	if !ok || s.stopped {
		return agent.Heartbeat{}, false
	}
	if w.heartbeat.pending {
		s.HeartbeatFailed(id, agent.ErrNoAnswer, now)
	}
	w.heartbeat = sentHeartbeat{pending: true, sentAt: now, generation: w.generation}
	heartbeat := agent.Heartbeat{Token: s.token(w), ReportConnection: w.reportConnection}
	if !s.startMayArriveLate(w, now) {
		heartbeat.Acked = w.ackableEnd(s.lastCommitted, now)
	}
	w.heartbeat.acknowledges = heartbeat.Acked > 0
	// The lease of a silent worker is not extended, so that its runs expire at a known time.
	if renew && now-w.lastReportAt < suspectAfter && s.renewalDue(w, now) {
		heartbeat.LeaseEnd = s.presumed.noteLease(w, w.newLeaseEnd(now, s.cfg.Lease))
		w.heartbeat.grant = s.addGrant(w, now+maxCommandDelay, now)
		w.renewedAt = now
	}
	heartbeat.Prompt = heartbeat.LeaseEnd > 0 || !w.tokenSeen || w.hasDoubts()
	return heartbeat, true
}

// Busy reports whether a worker has runs, has ended runs that are not acknowledged yet, or has not reported yet.
func (s *Shard) Busy(id model.WorkerID) bool {
	w, ok := s.workers[id]
	return ok && (len(w.attempts) > 0 || len(w.pendingAcks) > 0 || !w.tokenSeen)
}

// EndsAcknowledgeable reports whether all ended runs that a worker has reported can be acknowledged.
func (s *Shard) EndsAcknowledgeable(id model.WorkerID, now time.Duration) bool {
	w, ok := s.workers[id]
	if !ok || len(w.pendingAcks) == 0 {
		return true
	}
	return !s.startMayArriveLate(w, now) &&
		!slices.ContainsFunc(w.pendingAcks, func(p pendingAck) bool { return !p.due(s.lastCommitted, now) })
}

// ApplyReport applies a worker's report.
func (s *Shard) ApplyReport(id model.WorkerID, r agent.Report, now time.Duration) {
	w, ok := s.workers[id]
	if !ok || s.stopped || (r.Incarnation == 0 && w.incarnation != 0) ||
		(r.Incarnation == w.incarnation && w.tokenSeen && r.Clock < w.clock) {
		return
	}
	// A worker has one heartbeat at a time, so that a report with another incarnation comes from a later one. Incarnations
	// can't be ordered: they are named after the time of day, which may be set back.
	if r.Incarnation != w.incarnation {
		s.replaceIncarnation(w, r, now)
	}
	if now-w.lastReportAt > suspectAfter {
		s.emit("worker-answers", "", "", w, "", r.Clock.Milliseconds())
	}
	// A worker that reports for the first time, or again after a silence, has capacity to offer.
	if !w.tokenSeen || now-w.lastReportAt > suspectAfter {
		s.freedWorkers[w] = true
		s.replan = true
	}
	if !w.tokenSeen {
		// From its first report on, only this owner extends the worker's lease. Any lease granted earlier lasts at most
		// MaxLease.
		w.leaseEnd, w.formerLeaseEnd = s.longestLeaseEnd(now), 0
	}
	s.voidGrants(w, w.heartbeat.generation, now)
	w.settleGrant(w.heartbeat.grant)
	w.heartbeat.pending = false
	heldRun := w.holdsHeldRun()
	w.tokenSeen, w.clock, w.clockReadAt, w.lastReportAt = true, r.Clock, now, now
	w.reportConnection = r.Connection
	listed := make(map[runKey]bool, len(r.Running)+len(r.Ended))
	var margin lapseMargin
	for _, end := range r.Ended {
		listed[runKey{end.Task, end.Run}] = true
		s.applyEnd(w, end, &margin, now)
	}
	s.emitMargin(w, margin)
	for _, row := range r.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		s.applyRunning(w, key, row, now)
	}
	if r.Incomplete {
		if heldRun {
			w.heldRunAt = now
		}
		return
	}
	for key, unknown := range w.unknownRuns {
		if !listed[key] && !unknown.mayArrive {
			delete(w.unknownRuns, key)
			s.freedWorkers[w] = true
		}
	}
	gone := func(a *attempt) bool {
		// The clock in the answer to a start is that of the incarnation which answered, the report may be of the one before.
		overtaken := answeredUnlisted(a) && a.answeredAt >= w.heartbeat.sentAt
		return a.visibleSince >= 0 && r.Clock > a.visibleSince && !a.commandPending && !listed[a.key()] && !overtaken
	}
	for _, a := range sortedAttempts(w, gone) {
		// The end of one member of a gang changes what the others wait for.
		if gone(a) {
			s.endUnreported(a, goneNotListed, now)
		}
	}
}

// answeredUnlisted reports whether a start of the run was answered, but no report has listed the run since. It may have been
// answered by an incarnation that has not reported yet.
func answeredUnlisted(a *attempt) bool { return a.answeredAt > 0 && !a.listed }

// replaceIncarnation ends the runs of the worker's previous incarnation. It keeps a run of which a start went unanswered
// or is in flight until a stop is confirmed, because that start may still reach the new incarnation. The same holds for a
// start whose answer may have overtaken this report of the new incarnation. It also keeps the runs that the new incarnation
// reports: their start reached it.
func (s *Shard) replaceIncarnation(w *worker, r agent.Report, now time.Duration) {
	first, incarnation := w.incarnation == 0, r.Incarnation
	w.incarnation, w.clock, w.lastEndSeen, w.ackedEnd, w.pendingAcks = incarnation, 0, 0, 0, nil
	w.unknownRuns, w.firstHeldEnd = make(map[runKey]*unknownRun), 0
	for _, g := range w.grants {
		// This incarnation shortens a lease end on the clock of the one before to the longest lease.
		g.lease = s.cfg.MaxLease
	}
	for key, until := range w.inFlightStarts {
		if now < until {
			s.addUnknownRun(w, key, unknownRun{mayArrive: true})
		}
	}
	if first {
		return
	}
	s.emit("worker-reborn", "", "", w, "", incarnation)
	s.freedWorkers[w], s.replan = true, true
	w.leaseEnd = max(w.leaseEnd, s.longestLeaseEnd(now))
	s.forgetAdvice(w.id)
	reported := make(map[runKey]bool, len(r.Running))
	for _, row := range r.Running {
		reported[runKey{row.Task, row.Run}] = true
	}
	for _, end := range r.Ended {
		reported[runKey{end.Task, end.Run}] = true
	}
	for _, a := range sortedAttempts(w, anyAttempt) {
		if reported[a.key()] {
			a.listed, a.visibleSince = false, 0
			continue
		}
		if a.startUnanswered || a.commandPending || now < a.startInFlightUntil || answeredUnlisted(a) {
			s.stopRun(a, now)
			a.listed, a.visibleSince = false, -1
			continue
		}
		s.endUnreported(a, goneIncarnation, now)
	}
}

// applyEnd applies an ended run of a report unless it was processed before, and has it acknowledged after the next
// commit.
func (s *Shard) applyEnd(w *worker, end agent.EndedRun, margin *lapseMargin, now time.Duration) {
	key := runKey{end.Task, end.Run}
	if end.Number > w.lastEndSeen && !s.holdEnd(w, end) {
		w.lastEndSeen = end.Number
		a, attempted := w.attempts[key]
		notBefore := s.lateStartsUntil(key, attempted)
		if attempted {
			s.endRun(a, end.Outcome, end.Checkpoint, now)
		} else {
			s.checkPresumedEnd(w, key, end.Outcome, margin, now)
			s.countLateEnd(end, now)
		}
		w.pendingAcks = append(w.pendingAcks, pendingAck{end.Number, s.lastChange(), notBefore})
	}
}

// applyRunning applies a reported run: its start is confirmed, and its progress and checkpoint are updated.
func (s *Shard) applyRunning(w *worker, key runKey, row agent.ActiveRun, now time.Duration) {
	s.checkPresumedRun(w, key, now)
	s.checkOverlap(w, key)
	a, ok := w.attempts[key]
	if !ok {
		switch {
		case s.holdRun(w, key, now):
		case s.adoptRun(w, key, now):
			s.emit("run-unknown", string(key.task.Job), key.task.String(), w, "adopted", int64(key.run))
			s.noteOverlap(w, key, now)
		case w.unknownRuns[key] == nil:
			s.addUnknownRun(w, key, unknownRun{})
			s.emit("run-unknown", string(key.task.Job), key.task.String(), w, "", int64(key.run))
		}
		return
	}
	if a.phase == phaseBound {
		a.phase, a.progressAt = phaseStarted, now
		s.markStarted(a, now)
	}
	a.startUnanswered, a.listed = false, true
	a.visibleSince = max(a.visibleSince, 0)
	saved := row.Checkpoint != "" && row.Checkpoint != a.checkpoint
	if saved {
		a.checkpoint, a.savedAt = row.Checkpoint, now
	}
	if row.Percent == a.percent && !saved {
		a.unchanged = true
		return
	}
	if a.unchanged {
		a.longestGap = max(a.longestGap, now-a.progressAt)
	}
	a.percent, a.progressAt, a.unchanged = row.Percent, now, false
}

// adoptRun adds a reported run of a task that isn't done and stops it. No other run of the task starts while it is there. It returns
// false if no such task is known.
func (s *Shard) adoptRun(w *worker, key runKey, now time.Duration) bool {
	j := s.jobs[key.task.Job]
	if j == nil || !j.open() {
		return false
	}
	st := j.stage(key.task.Occurrence, key.task.Stage)
	if st == nil || key.task.Index < 0 || key.task.Index >= len(st.tasks) || st.tasks[key.task.Index].done {
		return false
	}
	delete(w.unknownRuns, key)
	t := &st.tasks[key.task.Index]
	t.lastRun = max(t.lastRun, key.run)
	s.attach(&attempt{
		stage: st, index: key.task.Index, run: key.run, worker: w, phase: phaseStopping, listed: true, notBefore: now,
		progressAt: now, savedAt: now,
	})
	s.markTaskDirty(st, key.task.Index)
	return true
}

// countLateEnd counts the success or failure of a run that was already given up. The ended run is about to be acknowledged, and
// every acknowledged success and failure must count: no run may start after it.
func (s *Shard) countLateEnd(end agent.EndedRun, now time.Duration) {
	j := s.jobs[end.Task.Job]
	if j == nil || j.final != "" || (end.Outcome != agent.OutcomeDone && end.Outcome != agent.OutcomeFailed) {
		return
	}
	st := j.stage(end.Task.Occurrence, end.Task.Stage)
	if st == nil || end.Task.Index < 0 || end.Task.Index >= len(st.tasks) || st.spec.Service {
		return
	}
	s.markTaskDirty(st, end.Task.Index)
	if end.Outcome == agent.OutcomeDone {
		s.emit("late-success", string(j.spec.ID), end.Task.String(), nil, "", int64(end.Run))
		s.recordSuccess(st, end.Task.Index, now)
		if st.spec.Gang {
			s.stopStage(st, now)
		}
		return
	}
	failures := st.countFailure(end.Task.Index, end.Run)
	s.emit("late-failure", string(j.spec.ID), end.Task.String(), nil, "", int64(failures))
	if st.left > 0 && failures >= max(j.queue.Attempts, 1) && !st.tasks[end.Task.Index].done {
		s.finishJob(j, work.StateFailed, now)
	}
}

// stopStage stops all runs of a stage.
func (s *Shard) stopStage(st *stage, now time.Duration) {
	for i := range st.tasks {
		for _, a := range slices.Clone(st.tasks[i].attempts) {
			s.stopRun(a, now)
		}
	}
}

// markStarted records that a task of the job has started.
func (s *Shard) markStarted(a *attempt, now time.Duration) {
	j := a.stage.job
	if j.started {
		return
	}
	j.started = true
	s.markDirty(j)
	s.emit(EventJobStarted, string(j.spec.ID), a.ref().String(), a.worker, j.spec.Queue, (now - j.received).Milliseconds())
}

// endRun removes a run that is no longer on its worker and decides what follows for its task. The outcome is
// OutcomeLeaseExpired also if the run is gone, or was never started, without a reported outcome.
func (s *Shard) endRun(a *attempt, outcome agent.RunOutcome, checkpoint string, now time.Duration) {
	w, t, st, j := a.worker, a.task(), a.stage, a.stage.job
	if w.attempts[a.key()] != a {
		// The run already ended together with another member of its gang.
		return
	}
	delete(w.attempts, a.key())
	delete(s.presumed.overlaps, a.key())
	w.noteInFlightStart(a, now)
	if a.startPending {
		t.startsOfEnded++
	}
	t.waitForLateStart(a.reachesNextIncarnationUntil(), now, w.id)
	w.used = w.used.Minus(a.size())
	s.freedWorkers[w], s.freeCoresChanged, st.retry = true, true, true
	s.retryTeamStages(j.spec.Team)
	s.teamUsage[j.spec.Team] = s.teamUsage[j.spec.Team].Minus(st.spec.Size)
	for i, other := range t.attempts {
		if other == a {
			t.attempts = append(t.attempts[:i:i], t.attempts[i+1:]...)
			break
		}
	}
	s.markRunDirty(a)
	s.replan = true
	s.emit("run-ended", string(j.spec.ID), a.ref().String(), w, string(outcome), int64(a.run))
	if checkpoint == "" {
		checkpoint = a.checkpoint
	}
	if outcome != agent.OutcomeDone {
		st.saveCheckpoint(a.index, checkpoint)
	}
	if j.final != "" {
		return
	}
	switch outcome {
	case agent.OutcomeDone:
		w.consecutiveFailures = 0
		s.recordSuccess(st, a.index, now)
	case agent.OutcomeFailed:
		s.recordFailure(a, now)
	case agent.OutcomeStopped, agent.OutcomeLeaseExpired, agent.OutcomeGangBroken, agent.OutcomeGangIncomplete:
		s.stopGangMembers(a, now)
	}
}

// retryTeamStages makes the next plan consider the stages that wait for the team's limit.
func (s *Shard) retryTeamStages(team model.TeamID) {
	for _, st := range s.activeStages {
		if st.waitsFor == waitTeamLimit && st.job.spec.Team == team {
			st.retry = true
		}
	}
}

// recordSuccess marks the task, or all tasks of a gang, as done.
func (s *Shard) recordSuccess(st *stage, index int, now time.Duration) {
	if st.spec.Service {
		return
	}
	for i := range st.tasks {
		if (i == index || st.spec.Gang) && !st.tasks[i].done {
			st.tasks[i].done = true
			st.left--
		}
	}
	if !st.spec.Gang {
		// Other runs of the task are no longer needed.
		for _, other := range slices.Clone(st.tasks[index].attempts) {
			s.stopRun(other, now)
		}
	}
	s.finishIfDone(st.job, now)
}

// finishIfDone makes a job final once all its tasks are done.
func (s *Shard) finishIfDone(j *job, now time.Duration) {
	if j.open() && !slices.ContainsFunc(j.stages, func(st *stage) bool { return st.left > 0 }) {
		s.finishJob(j, work.StateCompleted, now)
	}
}

// recordFailure counts a failure against the worker and against the task, or once against the whole gang.
func (s *Shard) recordFailure(a *attempt, now time.Duration) {
	st, j, w := a.stage, a.stage.job, a.worker
	j.avoidWorker(w, now)
	if w.lastFailedJob != j.spec.ID {
		w.consecutiveFailures++
		w.lastFailedJob = j.spec.ID
	}
	if w.consecutiveFailures >= quarantineThreshold {
		w.quarantinedUntil = now + quarantineTime
		s.emit("worker-quarantined", "", "", w, "", int64(w.consecutiveFailures))
	}
	// The failures of a service have no limit, and its record must not grow with them.
	if !st.spec.Service && st.countFailure(a.index, a.run) >= max(j.queue.Attempts, 1) {
		s.finishJob(j, work.StateFailed, now)
		return
	}
	s.stopGangMembers(a, now)
}

// stopGangMembers stops the other members of a gang after one has ended. Workers usually stop them by themselves first.
func (s *Shard) stopGangMembers(a *attempt, now time.Duration) {
	st := a.stage
	if !st.spec.Gang {
		return
	}
	for i := range st.tasks {
		for _, other := range st.tasks[i].attempts {
			if other.phase == phaseStopping || other.run != a.run {
				continue
			}
			s.stopRun(other, now)
			if other.visibleSince >= 0 {
				other.notBefore = now + gangStopGrace
			}
		}
	}
}

// stopRun requests the end of a run. Its capacity remains in use until the worker proves that the run is gone, except
// that a run whose start was never sent ends at once.
func (s *Shard) stopRun(a *attempt, now time.Duration) {
	if a.phase == phaseStopping {
		return
	}
	if a.phase == phaseBound && !a.commandPending && !a.startUnanswered && a.visibleSince < 0 {
		s.endRun(a, agent.OutcomeLeaseExpired, "", now)
		return
	}
	a.phase, a.notBefore = phaseStopping, now
	s.toCommand[a.worker] = true
}
