package sched

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// taking is a binding that was submitted and is not folded yet; the book and the team's usage hold it already.
type pendingBinding struct {
	op   record.Taken
	task state.Task
	spec model.JobSpec
	// work is what the task adds to the backlog of its worker.
	backlogTime time.Duration
}

// roundStats describes the last round, for the dump.
type roundStats struct {
	Taken  int `json:"taken"`
	Behind int `json:"behind"`
	Failed int `json:"failed"`
	Claims int `json:"claims"`
}

// round is the working state of one round of decisions.
type round struct {
	p        *Placer
	now      time.Time
	order    *policy.Round
	bindings []*pendingBinding
	// failed holds sizes that found no room; whatever needs at least as much finds none either.
	failedSizes []model.Resources
	failedGangs []gangSize
	// noBacklog is set once no worker took a backlog.
	backlogsFull bool
	// claimed is set once work at the head of the order asked for preemption beyond urgent work.
	headConsidered bool
	stats          roundStats
}

// fullRest is the number of intervals that the placer rests after a round that found room for nothing; on a full fleet
// with a long queue, rounds at every interval took a third of a core.
const fullFleetPause = 5

// gangSize is a number of tasks of one size that are to start together.
type gangSize struct {
	size  model.Resources
	count int
}

// decide takes tasks in order until nothing more fits, and returns the bindings to submit.
func (p *Placer) decide() []*pendingBinding {
	began := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Clock.Now()
	p.queueOffersOfFull()
	p.queueDueOffers(now)
	if !p.deps.Links.IsPlacer() {
		p.dropAllClaims()
		return nil
	}
	if _, connected := p.deps.Links.ConnectedSince(); !connected || !p.isInService() {
		return nil
	}
	r := &round{p: p, now: now}
	r.fulfilClaims()
	if p.changed && !now.Before(p.pausedUntil) {
		p.changed = false
		r.order = p.queue.Begin(now)
		r.placeInOrder()
		r.order.Close()
		p.lastRound = r.stats
		if r.stats.Taken+r.stats.Behind+r.stats.Claims == 0 && r.stats.Failed > 0 {
			p.pausedUntil = now.Add(fullFleetPause * p.cfg.RoundInterval)
		}
		p.reportFull(len(r.failedSizes) > 0)
	}
	roundTime.Update(time.Since(began).Seconds())
	return r.bindings
}

// passOffers queues the tasks whose first data centre has become full.
func (p *Placer) queueOffersOfFull() {
	if p.deps.Fullness == nil {
		return
	}
	becameFull := false
	for dc := range p.dataCentres {
		full := p.deps.Fullness.Full(dc)
		becameFull = becameFull || full && !p.fullElsewhere[dc]
		p.fullElsewhere[dc] = full
	}
	if !becameFull {
		return
	}
	for _, o := range p.offers.Passed(p.deps.Fullness.Full) {
		p.queue.Put(o.Task, o.Spec, o.Delay)
		p.changed = true
	}
}

// releaseOffers queues the tasks that this data centre may take now.
func (p *Placer) queueDueOffers(now time.Time) {
	for _, o := range p.offers.Due(now) {
		p.queue.Put(o.Task, o.Spec, o.Delay)
		p.changed = true
	}
}

func (p *Placer) reportFull(full bool) {
	if p.deps.Fullness != nil && full != p.full {
		p.deps.Fullness.ReportFull(full)
	}
	p.full = full
}

func (r *round) placeInOrder() {
	for len(r.bindings) < r.p.cfg.MaxBindings && r.stats.Failed < r.p.cfg.MaxFailures {
		c, ok := r.order.Next()
		if !ok {
			return
		}
		if r.placeCandidate(c) {
			continue
		}
		r.stats.Failed++
		r.order.Skip(c)
	}
	// The batch is full, so the next round has more to do.
	r.p.changed = true
}

// take places the candidate if it finds room.
func (r *round) placeCandidate(c policy.Candidate) bool {
	p := r.p
	decisions.Inc()
	if c.Spec.Kind == model.KindGang {
		c.Tasks = p.queuedMembers(c)
	}
	size := p.learner.Reserve(c.Spec, c.Tasks[0].ID, p.capacities())
	if !p.queue.Allows(c.Spec.Team, size.Times(len(c.Tasks)), len(c.Tasks)) {
		return false
	}
	workers, ok := r.reserve(c, size)
	if ok {
		for i, task := range c.Tasks {
			r.bind(c, task, size, workers[i], false)
		}
		return true
	}
	p.refuseIfImpossible(c.Spec, size, r.now)
	if r.preemptFor(c, size) {
		return false
	}
	return r.bindToBacklog(c, size)
}

// queuedMembers returns all queued members of a gang, since the fold takes only all of them together; some may wait
// outside the queue.
func (p *Placer) queuedMembers(c policy.Candidate) []state.Task {
	var out []state.Task
	for index := range c.Spec.Tasks {
		if task, _, ok := p.deps.View.Task(model.TaskID{Job: c.Spec.ID, Index: index}); ok && task.Phase == state.PhaseQueued {
			out = append(out, task)
		}
	}
	if len(out) == 0 {
		return c.Tasks
	}
	return out
}

// place reserves room for the candidate in the book.
func (r *round) reserve(c policy.Candidate, size model.Resources) ([]model.WorkerID, bool) {
	if slices.ContainsFunc(r.failedSizes, func(f model.Resources) bool { return f.Fits(size) }) {
		return nil, false
	}
	demand := place.Demand{Size: size, Avoid: r.p.quarantineFilter(r.now)}
	if c.Spec.Kind == model.KindGang {
		return r.reserveGang(demand, len(c.Tasks))
	}
	if c.Spec.Kind == model.KindService {
		demand.Spread = r.p.serviceRacks[c.Spec.ID]
	}
	worker, ok := r.reserveOne(demand, c.Tasks[0].ID)
	if !ok {
		r.failedSizes = append(r.failedSizes, size)
		return nil, false
	}
	return []model.WorkerID{worker}, true
}

// placeOne reserves room for a task, if possible on a worker where it didn't fail before.
func (r *round) reserveOne(demand place.Demand, id model.TaskID) (model.WorkerID, bool) {
	if f := r.p.failures[id]; len(f.workers) > 0 {
		elsewhere := demand
		elsewhere.Avoid = func(w model.WorkerID) bool {
			return slices.Contains(f.workers, w) || (demand.Avoid != nil && demand.Avoid(w))
		}
		if worker, ok := r.p.book.Place(elsewhere); ok {
			return worker, true
		}
	}
	return r.p.book.Place(demand)
}

// placeGang reserves room for a whole gang; gangs that need no less than one that failed are not tried.
func (r *round) reserveGang(demand place.Demand, count int) ([]model.WorkerID, bool) {
	for _, f := range r.failedGangs {
		if f.size.Fits(demand.Size) && f.count <= count {
			return nil, false
		}
	}
	workers, ok := r.p.book.PlaceGang(demand, count)
	if !ok {
		r.failedGangs = append(r.failedGangs, gangSize{size: demand.Size, count: count})
	}
	return workers, ok
}

// avoid excludes workers in quarantine; it is nil when there are none.
func (p *Placer) quarantineFilter(now time.Time) func(model.WorkerID) bool {
	q := p.quarantine
	if q.Empty() {
		return nil
	}
	return func(id model.WorkerID) bool { return !q.Allows(id, now) }
}

// bind notes a binding whose room the book holds already, unless it is behind.
func (r *round) bind(c policy.Candidate, task state.Task, size model.Resources, worker model.WorkerID, behind bool) {
	b := &pendingBinding{
		op: record.Taken{
			Attempt: task.NextAttempt(), Worker: worker, Boot: r.p.workers[worker].Boot, Reservation: size, Behind: behind,
		},
		task: task, spec: c.Spec,
	}
	if c.Spec.Kind == model.KindGang {
		b.op.Gang = len(c.Tasks)
	}
	if r.p.head.job == c.Spec.ID {
		r.p.head = blockedHead{}
	}
	r.p.dequeue(task.ID)
	r.p.queue.Charge(c.Spec.Team, size, 1)
	r.p.quarantine.Started(worker)
	r.p.pendingBindings[b.op.Attempt] = b
	r.bindings = append(r.bindings, b)
	if behind {
		b.backlogTime = r.p.backlogTimeOf(c.Spec, size, worker)
		r.p.addBacklog(worker, b.backlogTime)
		r.stats.Behind++
		return
	}
	r.stats.Taken++
	r.p.countPendingRack(b, 1)
}

// countTaking counts a service's binding by rack before it is folded, so that one round spreads its tasks too.
func (p *Placer) countPendingRack(b *pendingBinding, by int) {
	p.countRack(&attempt{spec: b.spec, worker: b.op.Worker}, by)
}

// release gives back what a submitted binding held.
func (p *Placer) releaseBinding(b *pendingBinding) {
	delete(p.pendingBindings, b.op.Attempt)
	p.queue.Charge(b.spec.Team, model.Resources{}.Minus(b.op.Reservation), -1)
	if !b.op.Behind {
		p.book.Release(b.op.Worker, b.op.Reservation)
		p.countPendingRack(b, -1)
	}
	p.addBacklog(b.op.Worker, -b.backlogTime)
	p.changed = true
}
