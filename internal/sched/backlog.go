package sched

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
	"arbutuswing.example/internal/policy"
)

// backlogTries bounds the workers that are asked to take one task behind others.
const maxBacklogCandidates = 32

// takeBehind binds patient batch work behind the running attempts of a worker, so that the worker has something to
// start while the log is out.
func (r *round) bindToBacklog(c policy.Candidate, size model.Resources) bool {
	p := r.p
	if r.backlogsFull || p.cfg.MaxBacklog < 0 || c.Band != policy.Patient || c.Spec.Kind != model.KindBatch ||
		p.returnedFromBacklog[c.Tasks[0].ID] {
		return false
	}
	runTime := p.learner.RunTime(c.Spec)
	if runTime <= 0 {
		return false
	}
	least, target := p.cfg.MaxBacklog, (*workerState)(nil)
	for _, s := range p.nextWorkers(maxBacklogCandidates) {
		if work, ok := r.backlogWith(s, size, runTime); ok && (work < least || target == nil && work == least) {
			least, target = work, s
		}
	}
	if target == nil {
		r.backlogsFull = true
		return false
	}
	r.bind(c, c.Tasks[0], size, target.id, true)
	return true
}

// backlogWith returns the worker's backlog with one more attempt; ok is false for a worker that may take none.
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

// addBacklog changes the work that waits behind others on a worker.
func (p *Placer) addBacklog(id model.WorkerID, delta time.Duration) {
	if p.backlogTimes[id] += delta; p.backlogTimes[id] <= 0 {
		delete(p.backlogTimes, id)
	}
}

// workOf returns how long the whole worker would take for a task.
func (p *Placer) backlogTimeOf(spec model.JobSpec, size model.Resources, id model.WorkerID) time.Duration {
	return wholeWorkerTime(p.learner.RunTime(spec), size, p.workers[id].Capacity)
}

// share returns the time that the whole worker would take for the work.
func wholeWorkerTime(runTime time.Duration, size, capacity model.Resources) time.Duration {
	return time.Duration(float64(runTime) * size.Dominant(capacity))
}

func (p *Placer) hasClaim(id model.WorkerID) bool {
	for _, c := range p.claims {
		if c.worker == id {
			return true
		}
	}
	return false
}

// hasBacklog reports whether attempts wait behind others on the worker, and returns them, since the fold would promote
// them into room that a claim waits for.
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

// tick does the slower duties.
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

// returnBacklog returns attempts that wait behind others while there is room for them on another worker.
func (p *Placer) rebalanceBacklog() {
	p.returnStranded()
	if p.cfg.MaxBacklog < 0 || p.queue.Len() > 0 || !p.isInService() {
		return
	}
	// Room on a worker in quarantine is none: the attempt would only be bound behind others again.
	avoid := p.quarantineFilter(p.deps.Clock.Now())
	for _, a := range p.backlogged() {
		worker, ok := p.book.Place(place.Demand{Size: a.reservation, Avoid: avoid})
		if !ok {
			return
		}
		// The probe only shows that there is room; the attempt gets it when it is queued again.
		defer p.book.Release(worker, a.reservation)
		p.returnedFromBacklog[a.id.Task] = true
		p.evict(a, evictBacklog)
	}
}

// returnStranded returns attempts behind others on workers where nothing else is bound: the fold promotes only when an
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

// waitingBehind lists the attempts behind others, the last bound first, since those wait longest.
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

// inOrder returns the attempts in the order in which they were bound.
func (s *workerState) boundInOrder() []*attempt {
	out := make([]*attempt, 0, len(s.bound))
	for _, a := range s.bound {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return int(a.seq - b.seq) })
	return out
}
