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
type taking struct {
	op   record.Taken
	task state.Task
	spec model.JobSpec
	// work is what the task adds to the backlog of its worker.
	work time.Duration
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
	p     *Placer
	now   time.Time
	order *policy.Round
	out   []*taking
	// failed holds sizes that found no room; whatever needs at least as much finds none either.
	failed      []model.Resources
	failedGangs []gangSize
	// noBacklog is set once no worker took a backlog.
	noBacklog bool
	// claimed is set once work at the head of the order asked for preemption beyond urgent work.
	claimed bool
	stats   roundStats
}

// fullRest is the number of intervals that the placer rests after a round that found room for nothing; on a full fleet
// with a long queue, rounds at every interval took a third of a core.
const fullRest = 5

// gangSize is a number of tasks of one size that are to start together.
type gangSize struct {
	size  model.Resources
	count int
}

// decide takes tasks in order until nothing more fits, and returns the bindings to submit.
func (p *Placer) decide() []*taking {
	began := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Clock.Now()
	p.passOffers()
	p.releaseOffers(now)
	if !p.deps.Links.IsPlacer() {
		p.dropClaims()
		return nil
	}
	if _, connected := p.deps.Links.ConnectedSince(); !connected || !p.serves() {
		return nil
	}
	r := &round{p: p, now: now}
	r.fulfilClaims()
	if p.changed && !now.Before(p.rest) {
		p.changed = false
		r.order = p.queue.Begin(now)
		r.run()
		r.order.Close()
		p.stats = r.stats
		if r.stats.Taken+r.stats.Behind+r.stats.Claims == 0 && r.stats.Failed > 0 {
			p.rest = now.Add(fullRest * p.cfg.Interval)
		}
		p.reportFull(len(r.failed) > 0)
	}
	roundTime.Update(time.Since(began).Seconds())
	return r.out
}

// passOffers queues the tasks whose first data centre has become full.
func (p *Placer) passOffers() {
	if p.deps.Loads == nil {
		return
	}
	newly := false
	for dc := range p.centres {
		full := p.deps.Loads.Full(dc)
		newly = newly || full && !p.fullSeen[dc]
		p.fullSeen[dc] = full
	}
	if !newly {
		return
	}
	for _, o := range p.offers.Passed(p.deps.Loads.Full) {
		p.queue.Put(o.Task, o.Spec, o.Delay)
		p.changed = true
	}
}

// releaseOffers queues the tasks that this data centre may take now.
func (p *Placer) releaseOffers(now time.Time) {
	for _, o := range p.offers.Due(now) {
		p.queue.Put(o.Task, o.Spec, o.Delay)
		p.changed = true
	}
}

func (p *Placer) reportFull(full bool) {
	if p.deps.Loads != nil && full != p.full {
		p.deps.Loads.ReportFull(full)
	}
	p.full = full
}

func (r *round) run() {
	for len(r.out) < r.p.cfg.Batch && r.stats.Failed < r.p.cfg.Failures {
		c, ok := r.order.Next()
		if !ok {
			return
		}
		if r.take(c) {
			continue
		}
		r.stats.Failed++
		r.order.Skip(c)
	}
	// The batch is full, so the next round has more to do.
	r.p.changed = true
}

// take places the candidate if it finds room.
func (r *round) take(c policy.Candidate) bool {
	p := r.p
	decisions.Inc()
	if c.Spec.Kind == model.KindGang {
		c.Tasks = p.queuedMembers(c)
	}
	size := p.learner.Reserve(c.Spec, c.Tasks[0].ID, p.capacities())
	if !p.queue.Allows(c.Spec.Team, size.Times(len(c.Tasks)), len(c.Tasks)) {
		return false
	}
	workers, ok := r.place(c, size)
	if ok {
		for i, task := range c.Tasks {
			r.bind(c, task, size, workers[i], false)
		}
		return true
	}
	p.checkNever(c.Spec, size, r.now)
	if r.claim(c, size) {
		return false
	}
	return r.takeBehind(c, size)
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
func (r *round) place(c policy.Candidate, size model.Resources) ([]model.WorkerID, bool) {
	if slices.ContainsFunc(r.failed, func(f model.Resources) bool { return f.Fits(size) }) {
		return nil, false
	}
	demand := place.Demand{Size: size, Avoid: r.p.avoid(r.now)}
	if c.Spec.Kind == model.KindGang {
		return r.placeGang(demand, len(c.Tasks))
	}
	if c.Spec.Kind == model.KindService {
		demand.Spread = r.p.racks[c.Spec.ID]
	}
	worker, ok := r.placeOne(demand, c.Tasks[0].ID)
	if !ok {
		r.failed = append(r.failed, size)
		return nil, false
	}
	return []model.WorkerID{worker}, true
}

// placeOne reserves room for a task, if possible on a worker where it didn't fail before.
func (r *round) placeOne(demand place.Demand, id model.TaskID) (model.WorkerID, bool) {
	if f := r.p.failed[id]; len(f.workers) > 0 {
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
func (r *round) placeGang(demand place.Demand, count int) ([]model.WorkerID, bool) {
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
func (p *Placer) avoid(now time.Time) func(model.WorkerID) bool {
	q := p.quarantine
	if q.Empty() {
		return nil
	}
	return func(id model.WorkerID) bool { return !q.Allows(id, now) }
}

// bind notes a binding whose room the book holds already, unless it is behind.
func (r *round) bind(c policy.Candidate, task state.Task, size model.Resources, worker model.WorkerID, behind bool) {
	t := &taking{
		op: record.Taken{
			Attempt: task.NextAttempt(), Worker: worker, Boot: r.p.workers[worker].Boot, Reservation: size, Behind: behind,
		},
		task: task, spec: c.Spec,
	}
	if c.Spec.Kind == model.KindGang {
		t.op.Gang = len(c.Tasks)
	}
	if r.p.head.job == c.Spec.ID {
		r.p.head = headOfOrder{}
	}
	r.p.unqueue(task.ID)
	r.p.queue.Charge(c.Spec.Team, size, 1)
	r.p.quarantine.Started(worker)
	r.p.taking[t.op.Attempt] = t
	r.out = append(r.out, t)
	if behind {
		t.work = r.p.workOf(c.Spec, size, worker)
		r.p.addBacklog(worker, t.work)
		r.stats.Behind++
		return
	}
	r.stats.Taken++
	r.p.countTaking(t, 1)
}

// countTaking counts a service's binding by rack before it is folded, so that one round spreads its tasks too.
func (p *Placer) countTaking(t *taking, by int) {
	p.countRack(&attempt{spec: t.spec, worker: t.op.Worker}, by)
}

// release gives back what a submitted binding held.
func (p *Placer) release(t *taking) {
	delete(p.taking, t.op.Attempt)
	p.queue.Charge(t.spec.Team, model.Resources{}.Minus(t.op.Reservation), -1)
	if !t.op.Behind {
		p.book.Release(t.op.Worker, t.op.Reservation)
		p.countTaking(t, -1)
	}
	p.addBacklog(t.op.Worker, -t.work)
	p.changed = true
}
