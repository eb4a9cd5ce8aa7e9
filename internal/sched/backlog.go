package sched

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
	"arbutuswing.example/internal/policy"
)

// maxBacklogCandidates limits the workers considered for adding one task to a backlog.
const maxBacklogCandidates = 32

// bindToBacklog binds a patient batch task to a worker behind its running attempts, so that the worker has something to
// start while the log is unavailable.
func (r *round) bindToBacklog(c policy.Candidate, size model.Resources) bool {
	p := r.p
	if r.backlogsFull || p.cfg.MaxBacklog < 0 || c.Band != policy.BestEffort || c.Spec.Kind != model.KindBatch ||
		p.returnedFromBacklog[c.Tasks[0].ID] {
		return false
	}
	runTime := p.learner.RunTime(c.Spec)
	if runTime <= 0 {
		return false
	}
	lowest, target := p.cfg.MaxBacklog, (*workerState)(nil)
	for _, s := range p.nextWorkers(maxBacklogCandidates) {
		if total, ok := r.backlogWith(s, size, runTime); ok && (total < lowest || target == nil && total == lowest) {
			lowest, target = total, s
		}
	}
	if target == nil {
		r.backlogsFull = true
		return false
	}
	r.bind(c, c.Tasks[0], size, target.id, true)
	return true
}

// backlogWith returns the worker's backlog with one more attempt; ok is false if the worker may not take it.
func (r *round) backlogWith(s *workerState, size model.Resources, runTime time.Duration) (time.Duration, bool) {
	p := r.p
	if !s.leaseHeld || s.leaving || !usable(s.worker) || !size.Fits(s.worker.Capacity) || p.hasClaim(s.id) {
		return 0, false
	}
	if avoid := p.quarantineFilter(r.now); avoid != nil && avoid(s.id) {
		return 0, false
	}
	return p.backlogTimes[s.id] + wholeWorkerTime(runTime, size, s.worker.Capacity), true
}

// addBacklog adds to the worker's backlog, or subtracts from it if the value is negative.
func (p *Placer) addBacklog(id model.WorkerID, delta time.Duration) {
	if p.backlogTimes[id] += delta; p.backlogTimes[id] <= 0 {
		delete(p.backlogTimes, id)
	}
}

// backlogTimeOf returns what the task adds to the worker's backlog.
func (p *Placer) backlogTimeOf(spec model.JobSpec, size model.Resources, id model.WorkerID) time.Duration {
	return wholeWorkerTime(p.learner.RunTime(spec), size, p.workers[id].Capacity)
}

// wholeWorkerTime returns how long the work would take if it could use the whole worker.
func wholeWorkerTime(runTime time.Duration, size, capacity model.Resources) time.Duration {
	return time.Duration(float64(runTime) * size.DominantShare(capacity))
}

func (p *Placer) hasClaim(id model.WorkerID) bool {
	for _, c := range p.claims {
		if c.worker == id {
			return true
		}
	}
	return false
}

// evictBacklogged evicts the attempts in the worker's backlog and reports whether there were any: the state machine
// would promote them into the room that a claim waits for.
func (p *Placer) evictBacklogged(id model.WorkerID) bool {
	s := p.workerStates[id]
	if s == nil {
		return false
	}
	found := false
	for _, a := range s.bound {
		if a.inBacklog {
			found = true
			p.evict(a, evictPreempt)
		}
	}
	return found
}

// maintain does the work that is due once per MaintenanceInterval.
func (p *Placer) maintain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainDataCentre()
	for _, c := range p.claims {
		p.evictBacklogged(c.worker)
	}
	p.rebalanceBacklog()
	p.changed = p.changed || p.queue.Len() > 0
}

// rebalanceBacklog evicts attempts from backlogs while other workers have room for them.
func (p *Placer) rebalanceBacklog() {
	p.returnStranded()
	if p.cfg.MaxBacklog < 0 || p.queue.Len() > 0 || !p.isInService() {
		return
	}
	// Room on a quarantined worker does not count: the attempt would only end up in a backlog again.
	avoid := p.quarantineFilter(p.deps.Clock.Now())
	for _, a := range p.backlogged() {
		worker, ok := p.book.Place(place.Demand{Size: a.reservation, Avoid: avoid})
		if !ok {
			return
		}
		// Place reserved the room only to show that it exists; the attempt gets room when it is queued again.
		defer p.book.Release(worker, a.reservation)
		p.returnedFromBacklog[a.id.Task] = true
		p.evict(a, evictBacklog)
	}
}

// returnStranded evicts the backlog of workers on which nothing else is bound. The state machine promotes only when an
// attempt ends, and the last one may have ended just before these were bound.
func (p *Placer) returnStranded() {
	for _, s := range p.workerStates {
		if slices.ContainsFunc(s.boundInOrder(), func(a *attempt) bool { return !a.inBacklog }) {
			continue
		}
		for _, a := range s.bound {
			p.returnedFromBacklog[a.id.Task] = true
			p.evict(a, evictBacklog)
		}
	}
}

// backlogged lists the attempts in backlogs, the last bound first, since those wait longest for their turn.
func (p *Placer) backlogged() []*attempt {
	var out []*attempt
	for _, s := range p.workerStates {
		for _, a := range s.bound {
			if a.inBacklog && a.evictReason == evictNone && !a.stopping {
				out = append(out, a)
			}
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int { return int(b.seq - a.seq) })
	return out
}

// boundInOrder returns the worker's attempts in the order in which they were bound.
func (s *workerState) boundInOrder() []*attempt {
	out := make([]*attempt, 0, len(s.bound))
	for _, a := range s.bound {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return int(a.seq - b.seq) })
	return out
}
