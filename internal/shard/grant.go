package shard

import (
	"errors"
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

const (
	// generationBits is the number of bits of a fencing token that hold the generation; those above hold the epoch.
	generationBits = 20
	maxGeneration  = 1<<generationBits - 1
)

// grant is a command that may extend the lease of all runs on its worker when it is carried out.
type grant struct {
	generation int64
	// arrivesBy is when the command has been carried out or is lost for certain, and lease the longest lease that it grants.
	arrivesBy time.Duration
	lease     time.Duration
}

// sentHeartbeat is a heartbeat that is under way; its grant is nil if it extends no lease. acknowledges tells that it acknowledges
// ended runs: another incarnation, which counts its ends anew, would forget others.
type sentHeartbeat struct {
	pending      bool
	acknowledges bool
	sentAt       time.Duration
	generation   int64
	grant        *grant
}

// token returns the fencing token of the commands to a worker. A worker that has accepted one carries out no command with a
// lower one, however late it arrives.
func (s *Shard) token(w *worker) int64 { return s.cfg.Epoch<<generationBits | w.generation }

// Superseded reports whether the shard has sent commands with a higher fencing token than this one to a worker. A command that the
// worker then refuses because of its token says nothing about another owner.
func (s *Shard) Superseded(id model.WorkerID, token int64) bool {
	w, ok := s.workers[id]
	return !ok || token < s.token(w)
}

// renewalDue reports whether the worker's next heartbeat should renew its lease. While an earlier one may be carried out late, it
// should only make that void.
func (s *Shard) renewalDue(w *worker, now time.Duration) bool {
	return w.tokenSeen && now-w.renewedAt >= s.cfg.RenewInterval() && !w.hasDoubts()
}

// hasDoubts reports whether an unanswered command may still be carried out late, which the next answer to a heartbeat excludes.
func (w *worker) hasDoubts() bool {
	return slices.ContainsFunc(w.grants, func(g *grant) bool { return g.generation < w.generation })
}

// addGrant notes that a command which may extend the worker's lease is sent now. Those that have arrived or are lost by now count
// as carried out at the latest time.
func (s *Shard) addGrant(w *worker, arrivesBy, now time.Duration) *grant {
	w.grants = slices.DeleteFunc(w.grants, func(g *grant) bool {
		if now < g.arrivesBy {
			return false
		}
		w.leaseEnd = max(w.leaseEnd, s.longestLeaseEnd(g.arrivesBy))
		return true
	})
	g := &grant{generation: w.generation, arrivesBy: arrivesBy, lease: s.cfg.Lease}
	w.grants = append(w.grants, g)
	return g
}

// settleGrant notes that a command has been carried out, or never will be.
func (w *worker) settleGrant(g *grant) {
	w.grants = slices.DeleteFunc(w.grants, func(other *grant) bool { return other == g })
}

// doubtGrant notes that a command stayed unanswered: it may be carried out until the given time, unless the worker accepts a
// command of a later generation before.
func (s *Shard) doubtGrant(w *worker, g *grant, arrivesBy time.Duration) {
	if g == nil {
		return
	}
	g.arrivesBy = arrivesBy
	if g.generation == w.generation {
		s.emit("commands-in-doubt", "", "", w, "", w.generation)
	}
	s.raiseGeneration(w, g.generation)
}

// raiseGeneration gives the next commands to the worker a higher token than one of the given generation, which stayed unanswered.
func (s *Shard) raiseGeneration(w *worker, unanswered int64) {
	if unanswered != w.generation {
		return
	}
	w.generation = min(w.generation+1, maxGeneration)
	s.lastGeneration = max(s.lastGeneration, w.generation)
}

// voidGrants notes that the worker has accepted a command of a generation: it carries out no command of an earlier one from
// now on, but may have done so until now.
func (s *Shard) voidGrants(w *worker, generation int64, now time.Duration) {
	before := len(w.grants)
	w.grants = slices.DeleteFunc(w.grants, func(g *grant) bool {
		if g.generation >= generation {
			return false
		}
		w.voidUntil = max(w.voidUntil, g.arrivesBy)
		w.leaseEnd = max(w.leaseEnd, leaseEndAfter(now, g.lease))
		return true
	})
	if len(w.grants) < before {
		s.emit("commands-void", "", "", w, "", generation)
	}
}

// leaseEndOf returns the time by which the lease of a run has expired, if the worker doesn't answer until then.
func (s *Shard) leaseEndOf(a *attempt) time.Duration {
	w := a.worker
	end, lease := w.leaseEnd, time.Duration(0)
	if !a.listed {
		end, lease = max(end, w.unreportedLeaseEnd), s.cfg.MaxLease
	}
	if until := a.reachesNextIncarnationUntil(); until > w.lastReportAt {
		// The next incarnation may carry out the start, and after it the other commands that are void for this one.
		lastArrival := max(until, w.voidUntil)
		if s.notBackBy(w, until) {
			// Only an incarnation from before the worker was gone can have carried them out.
			lastArrival = min(lastArrival, w.goneAt)
		}
		end, lease = max(end, s.longestLeaseEnd(lastArrival)), s.cfg.MaxLease
	}
	if w.gone && s.registry.begunAt > end {
		// It was gone when the lease ended, so that no late command has extended it.
		return end
	}
	end = max(end, w.formerLeaseEnd)
	for _, g := range w.grants {
		end = max(end, leaseEndAfter(g.arrivesBy, max(g.lease, lease)))
	}
	return end
}

// startArrivesBy returns when a start that is sent or stays unanswered now has begun a run or is lost for certain. A worker begins no run
// with an expired ticket.
func (a *attempt) startArrivesBy(now time.Duration) time.Duration {
	if a.stage.job.queue.Advice == nil {
		return now + maxCommandDelay
	}
	return min(now+maxCommandDelay, max(now, a.ticketValidUntil))
}

// reachesNextIncarnationUntil returns until when a start of the run may reach a later incarnation of its worker, or zero. A ticket
// is valid for one incarnation.
func (a *attempt) reachesNextIncarnationUntil() time.Duration {
	if a.stage.job.queue.Advice != nil {
		return 0
	}
	return a.startInFlightUntil
}

// lateStartsUntil returns until when a start of a task may reach a later incarnation of a worker, or zero. Of a gang, the starts of
// all tasks count: the success of one is that of all.
func (st *stage) lateStartsUntil(index int) time.Duration {
	members := st.tasks[index : index+1]
	if st.spec.Gang {
		members = st.tasks
	}
	until := time.Duration(0)
	for i := range members {
		// Runs that were given up count too.
		until = max(until, members[i].notBefore)
		for _, a := range members[i].attempts {
			until = max(until, a.reachesNextIncarnationUntil())
		}
	}
	return until
}

// settledBefore reports whether a former owner recorded that no start of a task was on its way, or of a gang none of any task.
func (st *stage) settledBefore(index int) bool {
	members := st.tasks[index : index+1]
	if st.spec.Gang {
		members = st.tasks
	}
	return !slices.ContainsFunc(members, func(t task) bool { return !t.settled })
}

// lateStartsUntil returns the same for the task of an ended run. Without an attempt, a former owner may have recorded the end.
func (s *Shard) lateStartsUntil(key runKey, attempted bool) time.Duration {
	until := time.Duration(0)
	if !attempted && s.ticketlessQueues {
		until = s.formerStartsUntil
	}
	j := s.jobs[key.task.Job]
	if j == nil {
		return until
	}
	if j.queue.Advice != nil {
		return 0
	}
	if st := j.stage(key.task.Occurrence, key.task.Stage); st != nil && key.task.Index >= 0 && key.task.Index < len(st.tasks) {
		if st.settledBefore(key.task.Index) {
			until = 0
		}
		until = max(until, st.lateStartsUntil(key.task.Index))
	}
	return until
}

// startMayArriveLate reports whether a start may reach a later incarnation of the worker than the owner knows. Its run may end there
// before anybody has seen it, so that an acknowledgement which is carried out late would have the worker forget that end.
func (s *Shard) startMayArriveLate(w *worker, now time.Duration) bool {
	for _, a := range w.attempts {
		if a.stage.job.queue.Advice == nil && (a.commandPending || now < a.startInFlightUntil) {
			return true
		}
	}
	for key, until := range w.inFlightStarts {
		j := s.jobs[key.task.Job]
		if now < until && (j == nil || j.queue.Advice == nil) {
			return true
		}
	}
	return false
}

// voidAcknowledgement keeps an acknowledgement that is under way from being carried out after a start that is sent now.
func (s *Shard) voidAcknowledgement(w *worker) {
	if w.heartbeat.pending && w.heartbeat.acknowledges {
		s.raiseGeneration(w, w.heartbeat.generation)
	}
}

// HeartbeatFailed notes that a worker's heartbeat failed, with the error that it returned.
func (s *Shard) HeartbeatFailed(id model.WorkerID, err error, now time.Duration) {
	w, ok := s.workers[id]
	if !ok || !w.heartbeat.pending {
		return
	}
	w.heartbeat.pending = false
	if !errors.Is(err, agent.ErrNoAnswer) {
		w.settleGrant(w.heartbeat.grant)
		return
	}
	s.doubtGrant(w, w.heartbeat.grant, now+maxCommandDelay)
	if w.heartbeat.acknowledges {
		s.raiseGeneration(w, w.heartbeat.generation)
	}
}
