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

// pendingBinding is a binding that was submitted and is not applied yet. Its room in the book and its part of the
// team's usage are already counted.
type pendingBinding struct {
	op   record.Taken
	task state.Task
	spec model.JobSpec
	// backlogTime is what the task adds to its worker's backlog.
	backlogTime time.Duration
}

// roundStats counts the results of the last round, for the dump.
type roundStats struct {
	Bound      int `json:"taken"`
	Backlogged int `json:"behind"`
	Failed     int `json:"failed"`
	Claims     int `json:"claims"`
}

// round is the state of one scheduling round.
type round struct {
	p        *Placer
	now      time.Time
	order    *policy.Round
	bindings []*pendingBinding
	// failedSizes holds sizes that found no room; a task that needs at least as much of everything finds none either.
	failedSizes []model.Resources
	failedGangs []gangSize
	// backlogsFull is set once no worker could take a task into its backlog.
	backlogsFull bool
	// headConsidered is set once the first non-urgent task that had waited long enough was considered for preemption;
	// later ones are not.
	headConsidered bool
	stats          roundStats
}

// fullFleetPause is the number of round intervals to wait after a round that found room for nothing. On a full fleet
// with a long queue, rounds at every interval used a third of a core.
const fullFleetPause = 5

// gangSize is a number of tasks of one size that must start together.
type gangSize struct {
	size  model.Resources
	count int
}

// decide places tasks in order until nothing more fits, and returns the bindings to submit.
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
		r.order = p.queue.BeginRound(now)
		r.placeInOrder()
		r.order.Close()
		p.lastRound = r.stats
		if r.stats.Bound+r.stats.Backlogged+r.stats.Claims == 0 && r.stats.Failed > 0 {
			p.pausedUntil = now.Add(fullFleetPause * p.cfg.RoundInterval)
		}
		p.reportFull(len(r.failedSizes) > 0)
	}
	roundTime.Update(time.Since(began).Seconds())
	return r.bindings
}

// queueOffersOfFull queues the tasks that were offered first to a data centre that has become full.
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
	for _, o := range p.offers.TakeWhereFull(p.deps.Fullness.Full) {
		p.queue.Put(o.Task, o.Spec, o.Delay)
		p.changed = true
	}
}

// queueDueOffers queues the tasks that this data centre may place now.
func (p *Placer) queueDueOffers(now time.Time) {
	for _, o := range p.offers.TakeDue(now) {
		p.queue.Put(o.Task, o.Spec, o.Delay)
		p.changed = true
	}
}

// reportFull reports a change of whether this data centre is full.
func (p *Placer) reportFull(full bool) {
	if p.deps.Fullness != nil && full != p.full {
		p.deps.Fullness.ReportFull(full)
	}
	p.full = full
}

// placeInOrder places candidates until the order is empty or the round reaches a limit.
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
	// The round ended at a limit, so the next round has more to do.
	r.p.changed = true
}

// placeCandidate binds the candidate's tasks if there is room, and otherwise considers preemption and then a backlog.
// It reports whether the tasks were bound.
func (r *round) placeCandidate(c policy.Candidate) bool {
	p := r.p
	decisions.Inc()
	if c.Spec.Kind == model.KindGang {
		c.Tasks = p.queuedMembers(c)
	}
	size := p.learner.Reserve(c.Spec, c.Tasks[0].ID, p.capacities())
	if !p.queue.AllowsMore(c.Spec.Team, size.Times(len(c.Tasks)), len(c.Tasks)) {
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

// queuedMembers returns all queued members of a gang, some of which may be outside the local queue: the state machine
// accepts only bindings of all of them together.
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

// reserve reserves room for the candidate in the book.
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

// reserveOne reserves room for a task, if possible on a worker where it has not failed before.
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

// reserveGang reserves room for a whole gang. It does not try a gang that needs at least as much as one that found no
// room.
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

// quarantineFilter returns a filter that excludes quarantined workers, or nil if there are none.
func (p *Placer) quarantineFilter(now time.Time) func(model.WorkerID) bool {
	q := p.quarantine
	if q.Empty() {
		return nil
	}
	return func(id model.WorkerID) bool { return !q.Allows(id, now) }
}

// bind adds a pending binding. Its room is already reserved in the book, except for a binding to a backlog.
func (r *round) bind(c policy.Candidate, task state.Task, size model.Resources, worker model.WorkerID, toBacklog bool) {
	b := &pendingBinding{
		op: record.Taken{
			Attempt: task.NextAttempt(), Worker: worker, Boot: r.p.workers[worker].Boot, Reservation: size, Behind: toBacklog,
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
	r.p.queue.AddUsage(c.Spec.Team, size, 1)
	r.p.quarantine.TaskAssigned(worker)
	r.p.pendingBindings[b.op.Attempt] = b
	r.bindings = append(r.bindings, b)
	if toBacklog {
		b.backlogTime = r.p.backlogTimeOf(c.Spec, size, worker)
		r.p.addBacklog(worker, b.backlogTime)
		r.stats.Backlogged++
		return
	}
	r.stats.Bound++
	r.p.countPendingRack(b, 1)
}

// countPendingRack counts a service's pending binding by rack, so that the tasks of one round are spread over racks
// too.
func (p *Placer) countPendingRack(b *pendingBinding, by int) {
	p.countRack(&attempt{spec: b.spec, worker: b.op.Worker}, by)
}

// releaseBinding removes a pending binding and releases what it held.
func (p *Placer) releaseBinding(b *pendingBinding) {
	delete(p.pendingBindings, b.op.Attempt)
	p.queue.AddUsage(b.spec.Team, model.Resources{}.Minus(b.op.Reservation), -1)
	if !b.op.Behind {
		p.book.Release(b.op.Worker, b.op.Reservation)
		p.countPendingRack(b, -1)
	}
	p.addBacklog(b.op.Worker, -b.backlogTime)
	p.changed = true
}
