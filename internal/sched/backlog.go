package sched

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
	"arbutuswing.example/internal/policy"
)

// backlogTries bounds the workers that are asked to take one task behind others.
const backlogTries = 32

// takeBehind binds patient batch work behind the running attempts of a worker, so that the worker has something to
// start while the log is out.
func (r *round) takeBehind(c policy.Candidate, size model.Resources) bool {
	p := r.p
	if r.noBacklog || p.cfg.Backlog < 0 || c.Band != policy.Patient || c.Spec.Kind != model.KindBatch ||
		p.returned[c.Tasks[0].ID] {
		return false
	}
	runTime := p.learner.RunTime(c.Spec)
	if runTime <= 0 {
		return false
	}
	least, target := p.cfg.Backlog, (*session)(nil)
	for _, s := range p.scan(backlogTries) {
		if work, ok := r.backlogWith(s, size, runTime); ok && (work < least || target == nil && work == least) {
			least, target = work, s
		}
	}
	if target == nil {
		r.noBacklog = true
		return false
	}
	r.bind(c, c.Tasks[0], size, target.id, true)
	return true
}

// backlogWith returns the worker's backlog with one more attempt; ok is false for a worker that may take none.
func (r *round) backlogWith(s *session, size model.Resources, runTime time.Duration) (time.Duration, bool) {
	p := r.p
	if !s.held || s.leaving || !usable(s.worker) || !size.Fits(s.worker.Capacity) || p.claimed(s.id) {
		return 0, false
	}
	if avoid := p.avoid(r.now); avoid != nil && avoid(s.id) {
		return 0, false
	}
	return p.backlog[s.id] + share(runTime, size, s.worker.Capacity), true
}

// addBacklog changes the work that waits behind others on a worker.
func (p *Placer) addBacklog(id model.WorkerID, work time.Duration) {
	if p.backlog[id] += work; p.backlog[id] <= 0 {
		delete(p.backlog, id)
	}
}

// workOf returns how long the whole worker would take for a task.
func (p *Placer) workOf(spec model.JobSpec, size model.Resources, id model.WorkerID) time.Duration {
	return share(p.learner.RunTime(spec), size, p.workers[id].Capacity)
}

// share returns the time that the whole worker would take for the work.
func share(runTime time.Duration, size, capacity model.Resources) time.Duration {
	return time.Duration(float64(runTime) * size.Dominant(capacity))
}

func (p *Placer) claimed(id model.WorkerID) bool {
	for _, c := range p.claims {
		if c.worker == id {
			return true
		}
	}
	return false
}

// hasBacklog reports whether attempts wait behind others on the worker, and returns them, since the fold would promote
// them into room that a claim waits for.
func (p *Placer) hasBacklog(id model.WorkerID) bool {
	s := p.sessions[id]
	if s == nil {
		return false
	}
	found := false
	for _, a := range s.bound {
		if a.behind {
			found = true
			p.evict(a, evictPreempt)
		}
	}
	return found
}

// tick does the slower duties.
func (p *Placer) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaveCentre()
	for _, c := range p.claims {
		p.hasBacklog(c.worker)
	}
	p.returnBacklog()
	p.changed = p.changed || p.queue.Len() > 0
}

// returnBacklog returns attempts that wait behind others while there is room for them on another worker.
func (p *Placer) returnBacklog() {
	p.returnStranded()
	if p.cfg.Backlog < 0 || p.queue.Len() > 0 || !p.serves() {
		return
	}
	// Room on a worker in quarantine is none: the attempt would only be bound behind others again.
	avoid := p.avoid(p.deps.Clock.Now())
	for _, a := range p.waitingBehind() {
		worker, ok := p.book.Place(place.Demand{Size: a.reservation, Avoid: avoid})
		if !ok {
			return
		}
		// The probe only shows that there is room; the attempt gets it when it is queued again.
		defer p.book.Release(worker, a.reservation)
		p.returned[a.id.Task] = true
		p.evict(a, evictBacklog)
	}
}

// returnStranded returns attempts behind others on workers where nothing else is bound: the fold promotes only when an
// attempt ends, and the last one may have ended just before these were bound.
func (p *Placer) returnStranded() {
	for _, s := range p.sessions {
		if slices.ContainsFunc(s.inOrder(), func(a *attempt) bool { return !a.behind }) {
			continue
		}
		for _, a := range s.bound {
			p.returned[a.id.Task] = true
			p.evict(a, evictBacklog)
		}
	}
}

// waitingBehind lists the attempts behind others, the last bound first, since those wait longest.
func (p *Placer) waitingBehind() []*attempt {
	var out []*attempt
	for _, s := range p.sessions {
		for _, a := range s.bound {
			if a.behind && a.evict == evictNone && !a.stopping {
				out = append(out, a)
			}
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int { return int(b.seq - a.seq) })
	return out
}

// inOrder returns the attempts in the order in which they were bound.
func (s *session) inOrder() []*attempt {
	out := make([]*attempt, 0, len(s.bound))
	for _, a := range s.bound {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return int(a.seq - b.seq) })
	return out
}
