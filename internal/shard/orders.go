package shard

import (
	"errors"
	"time"

	"arbutuswing.example/internal/agent"
)

// StartOrder is a start that may be sent now.
type StartOrder struct {
	Target  agent.Target
	Start   agent.Start
	attempt *attempt
}

// StopOrder is a stop that may be sent now.
type StopOrder struct {
	Target  agent.Target
	Stop    agent.Stop
	attempt *attempt
	worker  *worker
	key     runKey
}

// TakeOrders returns the commands that may be sent now; each answer has to be given back.
func (s *Shard) TakeOrders(now time.Duration) Orders {
	var o Orders
	if s.stopped {
		return o
	}
	for _, w := range s.byID {
		if w.entry.Address == "" {
			continue
		}
		target := agent.Target{ID: w.id, Address: w.entry.Address}
		for _, a := range w.unsettledAttempts() {
			if a.calling || now < a.notBefore || now-w.answered > suspectAfter {
				continue
			}
			switch {
			case a.phase == phaseBound && a.batch <= s.committed && w.visited && a.settled < 0:
				a.calling = true
				o.Starts = append(o.Starts, StartOrder{target, s.startOf(a, now), a})
			case a.phase == phaseStopping:
				a.calling = true
				stop := agent.Stop{Task: a.ref(), Run: a.run, Token: s.cfg.Token}
				o.Stops = append(o.Stops, StopOrder{target, stop, a, w, a.key()})
			}
		}
		for key, st := range w.strangers {
			if !st.calling && now >= st.notBefore {
				st.calling = true
				stop := agent.Stop{Task: key.task, Run: key.run, Token: s.cfg.Token}
				o.Stops = append(o.Stops, StopOrder{target, stop, nil, w, key})
			}
		}
	}
	o.Asks = s.takeAsks()
	return o
}

func (s *Shard) startOf(a *attempt, now time.Duration) agent.Start {
	return agent.Start{
		Task: a.ref(), Run: a.run, Payload: a.stage.job.spec.Payload, LeaseEnd: a.worker.lease(now, s.cfg.Lease),
		Token: s.cfg.Token, Checkpoint: a.checkpoint, Ticket: a.ticket,
	}
}

// Started applies the answer to a start; clock is the worker's.
func (s *Shard) Started(o StartOrder, clock time.Duration, err error, now time.Duration) {
	a := o.attempt
	a.calling = false
	if a.worker.attempts[a.key()] != a || s.stopped {
		return
	}
	switch {
	case err == nil:
		a.unsettled = false
		a.settled = max(a.settled, clock)
		if a.phase == phaseBound {
			a.phase, a.changedAt = phaseStarted, now
			s.begin(a, now)
		}
	case errors.Is(err, agent.ErrNoAnswer):
		a.unsettled = true
		a.notBefore = now + retryOrder
		s.event("start-unanswered", string(a.stage.job.spec.ID), a.ref().String(), a.worker, err.Error(), int64(a.run))
		if a.worker.born != 0 && now-a.worker.answered > suspectAfter {
			s.stop(a, now)
		}
	case errors.Is(err, agent.ErrNotSent):
		a.notBefore = now + retryOrder
		if now-a.worker.answered > suspectAfter {
			s.stop(a, now)
		}
	default:
		s.startRefused(a, err, now)
	}
}

// startRefused returns a task whose start was refused. After a start without an answer the run may still appear, so it
// is stopped first.
func (s *Shard) startRefused(a *attempt, err error, now time.Duration) {
	st, w := a.stage, a.worker
	s.event("start-refused", string(st.job.spec.ID), a.ref().String(), w, err.Error(), int64(a.run))
	switch {
	case errors.Is(err, agent.ErrTicket):
		st.expire(w.id)
	case errors.Is(err, agent.ErrUnhealthy):
		st.job.avoid[w.id] = true
		w.quarantinedUntil = now + quarantineTime
	}
	if a.unsettled || errors.Is(err, agent.ErrRunSuperseded) {
		a.unsettled = true
		s.stop(a, now)
		return
	}
	s.ended(a, agent.OutcomeLeaseExpired, "", now)
}

// Stopped applies the answer to a stop; clock is the worker's.
func (s *Shard) Stopped(o StopOrder, clock time.Duration, err error, now time.Duration) {
	if o.attempt == nil {
		if st := o.worker.strangers[o.key]; st != nil {
			st.calling = false
			st.notBefore = now + s.cfg.KillGrace + retryOrder
		}
		return
	}
	a := o.attempt
	a.calling = false
	if a.worker.attempts[a.key()] != a || s.stopped {
		return
	}
	if err != nil {
		a.notBefore = now + retryOrder
		s.event("stop-unanswered", string(a.stage.job.spec.ID), a.ref().String(), a.worker, err.Error(), int64(a.run))
		return
	}
	a.settled = max(a.settled, clock)
	a.notBefore = now + s.cfg.KillGrace + retryOrder
}
