package sched

import (
	"errors"
	"maps"
	"time"

	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/lease"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// stopRetryDelay is how long a stop may take before it is sent again.
const stopRetryDelay = 2 * time.Second

// Commands returns what to send to the worker now: acknowledgements, checkpoints and stops, throttling, then starts.
func (p *Placer) Commands(id model.WorkerID) []lease.Command {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.workerStates[id]
	if s == nil || !s.leaseHeld {
		return nil
	}
	var out []lease.Command
	out = append(out, p.acknowledgements(s)...)
	out = append(out, p.stops(s)...)
	out = append(out, p.throttles(s)...)
	return append(out, p.starts(s)...)
}

// applyDelay is longer than the state machine takes to apply one envelope. An envelope's effects are visible before its
// offset, so an offset read this long after an end was first seen covers the end's record.
const applyDelay = 50 * time.Millisecond

// acknowledgements lets the worker forget attempts whose end all instances of the data centre have applied. The next
// lease holder may take over during a log outage and must not find an attempt whose end neither its state machine nor
// the worker knows.
func (p *Placer) acknowledgements(s *workerState) []lease.Command {
	var ended []model.AttemptID
	for id, t := range s.tasks {
		if t.Phase == ports.PhaseEnded && p.hasEnded(s, id) && p.endReplicated(s, id) {
			ended = append(ended, id)
		}
	}
	maps.DeleteFunc(s.seenEnds, func(id model.AttemptID, _ endReplication) bool {
		_, reported := s.tasks[id]
		return !reported
	})
	if len(ended) == 0 {
		return nil
	}
	return []lease.Command{lease.Acknowledge{Attempts: ended}}
}

// endReplicated reports whether the other instances of the data centre have applied the attempt's end; the local state
// machine has.
func (p *Placer) endReplicated(s *workerState, id model.AttemptID) bool {
	now := p.deps.Clock.Now()
	c, known := s.seenEnds[id]
	if !known {
		c = endReplication{seenAt: now, offset: model.NoOffset}
	}
	if c.offset == model.NoOffset && now.Sub(c.seenAt) >= applyDelay {
		c.offset = p.deps.View.Offset()
	}
	s.seenEnds[id] = c
	return c.offset != model.NoOffset && p.deps.Links.AppliedByPeers(c.offset)
}

// stops returns the commands that end attempts which were cancelled or evicted, or which still run although the state
// machine holds their end. Evicted running attempts are checkpointed first. Attempts that the worker has not reported
// are stopped too: the worker then reports whether they never started.
func (p *Placer) stops(s *workerState) []lease.Command {
	var out []lease.Command
	var cancelled, evicted []model.AttemptID
	for _, a := range s.boundInOrder() {
		if a.boot != s.boot || a.endPending || !p.stopDue(s, a.id) {
			continue
		}
		switch {
		case a.stopping:
			cancelled = append(cancelled, a.id)
		case a.evictReason != evictNone:
			if _, ok := s.runningReport(a.id); ok && !a.checkpointed && a.spec.Kind != model.KindService {
				out = append(out, lease.Checkpoint{Attempt: a.id})
			}
			evicted = append(evicted, a.id)
		}
	}
	for id, t := range s.tasks {
		if s.bound[id] == nil && t.Phase == ports.PhaseRunning && p.stopDue(s, id) && p.fresh(s) && p.hasEnded(s, id) {
			cancelled = append(cancelled, id)
		}
	}
	if len(cancelled) > 0 {
		out = append(out, lease.Stop{Outcome: model.OutcomeStopped, Attempts: cancelled})
	}
	if len(evicted) > 0 {
		out = append(out, lease.Stop{Outcome: model.OutcomePreempted, Attempts: evicted})
	}
	return out
}

// stopDue reports whether a stop of the attempt should be sent: it has not ended, and no recent stop is outstanding.
func (p *Placer) stopDue(s *workerState, id model.AttemptID) bool {
	if t, ok := s.tasks[id]; ok && t.Phase == ports.PhaseEnded {
		return false
	}
	sent, ok := s.stopSentAt[id]
	return !ok || p.deps.Clock.Since(sent) >= stopRetryDelay
}

// throttles returns the commands that limit attempts to their reserved processors.
func (p *Placer) throttles(s *workerState) []lease.Command {
	var out []lease.Command
	for id, t := range s.tasks {
		a := s.bound[id]
		if a == nil || t.Phase != ports.PhaseRunning || a.evictReason != evictNone || a.stopping {
			continue
		}
		if fraction, ok := throttleFraction(a, t); ok {
			out = append(out, lease.Throttle{Attempt: id, Fraction: fraction})
		}
	}
	return out
}

// starts returns the start command for bound attempts that the worker has not reported, as far as they fit.
func (p *Placer) starts(s *workerState) []lease.Command {
	if !p.mayStartOn(s) {
		return nil
	}
	used := p.usedResources(s)
	outage := p.logOutage()
	var requests []ports.StartRequest
	for _, a := range s.boundInOrder() {
		if len(requests) == p.cfg.MaxStarts {
			break
		}
		if a.inBacklog && !outage || !p.mayStartAttempt(s, a) {
			continue
		}
		next := used
		if !a.startSent {
			next = used.Plus(a.reservation)
		}
		if !next.Fits(s.capacity) {
			if a.inBacklog {
				// The state machine promotes in order, so attempts later in the backlog must not overtake.
				break
			}
			continue
		}
		used = next
		p.checkStartInvariants(s, a, used)
		a.startSent, a.startUnconfirmed = true, true
		requests = append(requests, p.startRequest(a))
	}
	if len(requests) == 0 {
		return nil
	}
	return []lease.Command{lease.Start{Requests: requests}}
}

func (p *Placer) startRequest(a *attempt) ports.StartRequest {
	return ports.StartRequest{
		Attempt: a.id, Team: a.spec.Team, Reservation: a.reservation, Size: a.spec.Size, DeclaredRunTime: a.spec.RunTime,
		Service: a.spec.Kind == model.KindService, Payload: a.spec.Payload, Resume: a.resume,
		TaskTTL: model.Duration(p.cfg.TaskTTL),
	}
}

// logOutage reports whether the instance is not connected to the log but may still start tasks: during an outage of the
// log, when nobody can append and the last state is therefore still in force, and in the grace period after the instance
// was cut off.
func (p *Placer) logOutage() bool {
	_, connected := p.deps.Links.ConnectedSince()
	return !connected && p.deps.Links.MayStart()
}

// mayStartOn reports whether any attempt may be started on the worker.
func (p *Placer) mayStartOn(s *workerState) bool {
	// A log outage that was confirmed after the lease was acquired shows as well that the state is up to date.
	current := p.fresh(s) || !p.deps.Links.OutageConfirmedAt().Before(s.acquiredAt)
	return p.deps.Links.MayStart() && p.isInService() && usable(s.worker) && s.worker.Boot == s.boot && current
}

// mayStartAttempt reports whether the attempt is to be started: it is currently bound to this boot of the worker, the
// worker cannot have it already, no other worker runs the task, and its team is within its upper limit.
func (p *Placer) mayStartAttempt(s *workerState, a *attempt) bool {
	if _, reported := s.tasks[a.id]; reported || a.startUnconfirmed || a.stopping || a.evictReason != evictNone {
		return false
	}
	return a.boot == s.boot && p.isCurrent(s, a) && p.queue.WithinLimit(a.spec.Team) && !p.runsElsewhere(s, a)
}

// runsElsewhere reports whether the last report of another worker, no older than a task lease, shows an earlier attempt
// of the task as running.
func (p *Placer) runsElsewhere(s *workerState, a *attempt) bool {
	for _, id := range p.runningOn[a.id.Task] {
		other := p.workerStates[id]
		if id == s.id || other == nil || !other.leaseHeld || p.deps.Clock.Since(other.reportedAt) > p.cfg.TaskTTL {
			continue
		}
		for number := 1; number < a.id.Number; number++ {
			if _, ok := other.runningReport(model.AttemptID{Task: a.id.Task, Number: number}); ok {
				return true
			}
		}
	}
	return false
}

// usedResources sums the resources of attempts that run on the worker or may have been started since its last report.
func (p *Placer) usedResources(s *workerState) model.Resources {
	sum := model.Resources{}
	for id, t := range s.tasks {
		if t.Phase != ports.PhaseRunning {
			continue
		}
		if a := s.bound[id]; a != nil {
			sum = sum.Plus(a.reservation)
		} else {
			sum = sum.Plus(t.Usage.Peak)
		}
	}
	for _, a := range s.bound {
		// A start whose answer was lost may still reach the worker.
		if _, reported := s.tasks[a.id]; a.startSent && !reported {
			sum = sum.Plus(a.reservation)
		}
	}
	return sum
}

// checkStartInvariants updates the start metrics and checks the invariants that hold at a start.
func (p *Placer) checkStartInvariants(s *workerState, a *attempt, used model.Resources) {
	starts.Inc()
	waitingTime.Update(p.deps.Clock.Since(time.Unix(0, a.queuedAt)).Seconds())
	if p.deps.Invariants == nil {
		return
	}
	check := p.deps.Invariants.Check
	check(invar.Capacity, used.Fits(s.capacity), "worker %s: attempts need %+v, capacity is %+v", s.id, used, s.capacity)
	check(invar.SingleRun, !p.runsElsewhere(s, a), "task %s also runs on another worker", a.id.Task)
	check(invar.DataCentreOut, p.isInService() || p.deps.Clock.Since(p.serviceChangedAt) <= outOfServiceGrace,
		"attempt %s starts in %s, out of service since %s", a.id, p.cfg.DataCentre, p.serviceChangedAt)
	check(invar.UpperLimit, p.queue.WithinLimit(a.spec.Team), "team %s is over its upper limit", a.spec.Team)
}

// CommandSent applies the result of a command that was sent to the worker.
func (p *Placer) CommandSent(id model.WorkerID, c lease.Command, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.workerStates[id]
	if s == nil {
		return
	}
	switch c := c.(type) {
	case lease.Acknowledge:
		if err == nil {
			for _, a := range c.Attempts {
				delete(s.tasks, a)
			}
		}
	case lease.Stop:
		if err == nil {
			for _, a := range c.Attempts {
				s.stopSentAt[a] = p.deps.Clock.Now()
			}
		}
	case lease.Checkpoint:
		// An attempt that cannot be checkpointed is stopped all the same; a checkpoint whose answer was lost is
		// requested again.
		if a := s.bound[c.Attempt]; a != nil && !errors.Is(err, ports.ErrUnreachable) {
			a.checkpointed = true
		}
	case lease.Throttle:
		if err == nil {
			throttles.Inc()
		}
	case lease.Start:
	}
}
