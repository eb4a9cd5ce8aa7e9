package shard

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
)

// StartCommand is a start command that may be sent now.
type StartCommand struct {
	Target  agent.Target
	Start   agent.Start
	attempt *attempt
	grant   *grant
	// incarnation is the worker's incarnation that the owner knew when it sent the start.
	incarnation int64
}

// StopCommand is a stop command that may be sent now. Its attempt is nil if it stops an unknown run.
type StopCommand struct {
	Target  agent.Target
	Stop    agent.Stop
	attempt *attempt
	worker  *worker
	key     runKey
	// incarnation and generation are the worker's that the owner knew when it sent the stop.
	incarnation int64
	generation  int64
}

// TakeCommands returns the commands that may be sent now. The caller must pass each result back with ApplyStartResult or
// ApplyStopResult.
func (s *Shard) TakeCommands(now time.Duration) Commands {
	var commands Commands
	if s.stopped {
		return commands
	}
	for _, w := range s.workersToCommand() {
		if w.entry.Address == "" {
			continue
		}
		target := agent.Target{ID: w.id, Address: w.entry.Address}
		for _, a := range sortedAttempts(w, (*attempt).mayNeedCommand) {
			if a.commandPending || now < a.notBefore || now-w.lastReportAt > suspectAfter {
				continue
			}
			switch {
			case a.phase == phaseBound && a.commitNumber <= s.lastCommitted && w.tokenSeen && w.entryIsCurrent() && a.visibleSince < 0:
				a.commandPending, a.startPending = true, true
				if a.stage.job.queue.Advice == nil {
					s.voidAcknowledgement(w)
				}
				commands.Starts = append(commands.Starts, StartCommand{
					target, s.startCommand(a, now), a, s.addGrant(w, now+maxCommandDelay, now), w.incarnation,
				})
			case a.phase == phaseStopping:
				a.commandPending = true
				commands.Stops = append(commands.Stops, s.stopCommand(w, a.key(), a))
			}
		}
		for key, unknown := range w.unknownRuns {
			if !unknown.stopPending && now >= unknown.notBefore {
				unknown.stopPending = true
				commands.Stops = append(commands.Stops, s.stopCommand(w, key, nil))
			}
		}
	}
	return commands
}

// workersToCommand returns the workers to which commands may have to be sent, sorted by ID.
func (s *Shard) workersToCommand() []*worker {
	list := make([]*worker, 0, len(s.toCommand))
	for w := range s.toCommand {
		if s.workers[w.id] != w || (len(w.unknownRuns) == 0 && !w.hasAttemptToCommand()) {
			delete(s.toCommand, w)
			continue
		}
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (s *Shard) startCommand(a *attempt, now time.Duration) agent.Start {
	return agent.Start{
		Task: a.ref(), Run: a.run, Payload: a.stage.job.spec.Payload,
		LeaseEnd: s.presumed.noteLease(a.worker, a.worker.newLeaseEnd(now, s.cfg.Lease)),
		Token:    s.token(a.worker), Checkpoint: a.checkpoint, Ticket: a.ticket,
	}
}

func (s *Shard) stopCommand(w *worker, key runKey, a *attempt) StopCommand {
	return StopCommand{
		Target:  agent.Target{ID: w.id, Address: w.entry.Address},
		Stop:    agent.Stop{Task: key.task, Run: key.run, Token: s.token(w)},
		attempt: a, worker: w, key: key, incarnation: w.incarnation, generation: w.generation,
	}
}

// ApplyStartResult applies the result of a start command; clock is the reading of the worker's clock in its answer.
func (s *Shard) ApplyStartResult(cmd StartCommand, clock time.Duration, err error, now time.Duration) {
	a := cmd.attempt
	a.commandPending, a.startPending = false, false
	arrivesBy := a.startArrivesBy(now)
	switch {
	case errors.Is(err, agent.ErrNoAnswer):
		// With an expired ticket too it may be carried out and extend the lease: the run may be there already.
		s.doubtGrant(a.worker, cmd.grant, now+maxCommandDelay)
	case err == nil:
		if cmd.incarnation == a.worker.incarnation {
			s.voidGrants(a.worker, cmd.grant.generation, now)
		}
		a.worker.settleGrant(cmd.grant)
	default:
		a.worker.settleGrant(cmd.grant)
	}
	s.noteStartResult(cmd, err, now)
	ended := a.worker.attempts[a.key()] != a
	if ended {
		a.task().startsOfEnded--
	}
	if ended || s.stopped {
		if errors.Is(err, agent.ErrNoAnswer) {
			s.addUnknownRun(a.worker, a.key(), unknownRun{mayArrive: true})
			a.worker.inFlightStarts[a.key()] = arrivesBy
			// The end of the run has taken only the starts before this one into account.
			a.startInFlightUntil = arrivesBy
			a.task().waitForLateStart(a.reachesNextIncarnationUntil(), now, a.worker.id)
		}
		s.recordSettled(a.stage, a.index, a.startInFlightUntil)
		return
	}
	switch {
	case err == nil:
		a.startUnanswered, a.answeredAt = false, now
		a.noteAnswer(cmd.incarnation, clock)
		if a.phase == phaseBound {
			a.phase, a.progressAt = phaseStarted, now
			s.markStarted(a, now)
		}
		s.recordSettled(a.stage, a.index, a.startInFlightUntil)
	case errors.Is(err, agent.ErrNoAnswer):
		if !a.startUnanswered {
			s.recordSettled(a.stage, a.index, arrivesBy)
		}
		a.startUnanswered, a.startInFlightUntil = true, arrivesBy
		a.notBefore = now + commandRetryDelay
		s.emit("start-unanswered", string(a.stage.job.spec.ID), a.ref().String(), a.worker, err.Error(), int64(a.run))
		if a.worker.incarnation != 0 && now-a.worker.lastReportAt > suspectAfter {
			s.stopRun(a, now)
		}
	case errors.Is(err, agent.ErrNotSent), errors.Is(err, agent.ErrFenced):
		a.notBefore = now + commandRetryDelay
		if now-a.worker.lastReportAt > suspectAfter {
			s.stopRun(a, now)
		}
	default:
		s.startRefused(a, err, now)
	}
}

// mayHaveGranted reports whether a start with this result may have extended the worker's lease.
func mayHaveGranted(err error) bool {
	return err == nil || errors.Is(err, agent.ErrNoAnswer) || errors.Is(err, agent.ErrRunSuperseded) || errors.Is(err, agent.ErrNoCapacity)
}

// startRefused handles a start that the worker refused: the task becomes startable again. If an earlier start went
// unanswered, the run may still appear on the worker, so it is stopped first. If a report has listed the run since, the worker
// has refused a repeat, which proves nothing.
func (s *Shard) startRefused(a *attempt, err error, now time.Duration) {
	st, w := a.stage, a.worker
	s.emit("start-refused", string(st.job.spec.ID), a.ref().String(), w, err.Error(), int64(a.run))
	switch {
	case errors.Is(err, agent.ErrTicket):
		st.expireTicket(w.id)
	case errors.Is(err, agent.ErrUnhealthy):
		st.job.avoidWorker(w, now)
		w.quarantinedUntil = now + quarantineTime
	}
	if a.startUnanswered || errors.Is(err, agent.ErrRunSuperseded) {
		a.startUnanswered = true
		s.stopRun(a, now)
		return
	}
	if a.listed {
		s.emit("refusal-ignored", string(st.job.spec.ID), a.ref().String(), w, err.Error(), int64(a.run))
		return
	}
	s.endRun(a, agent.OutcomeLeaseExpired, "", now)
}

// ApplyStopResult applies the result of a stop command; clock is the reading of the worker's clock in its answer.
func (s *Shard) ApplyStopResult(cmd StopCommand, clock time.Duration, err error, now time.Duration) {
	if err == nil && cmd.incarnation == cmd.worker.incarnation {
		s.voidGrants(cmd.worker, cmd.generation, now)
	}
	if cmd.attempt == nil {
		if unknown := cmd.worker.unknownRuns[cmd.key]; unknown != nil {
			unknown.stopPending = false
			unknown.notBefore = now + s.cfg.KillGrace + commandRetryDelay
			if err == nil && cmd.incarnation == cmd.worker.incarnation {
				unknown.mayArrive = false
			}
		}
		return
	}
	a := cmd.attempt
	a.commandPending = false
	if a.worker.attempts[a.key()] != a || s.stopped {
		return
	}
	if err != nil {
		a.notBefore = now + commandRetryDelay
		s.emit("stop-unanswered", string(a.stage.job.spec.ID), a.ref().String(), a.worker, err.Error(), int64(a.run))
		return
	}
	a.noteAnswer(cmd.incarnation, clock)
	a.notBefore = now + s.cfg.KillGrace + commandRetryDelay
}

// noteAnswer takes the clock reading of an answered command into account. The worker may have restarted since the command was
// sent: the clock is then that of another incarnation, and the run is stopped once more.
func (a *attempt) noteAnswer(sentTo int64, clock time.Duration) {
	if sentTo == a.worker.incarnation {
		a.visibleSince = max(a.visibleSince, clock)
	}
}
