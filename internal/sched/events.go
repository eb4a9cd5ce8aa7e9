package sched

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// Apply updates the placer with the events of one applied envelope.
func (p *Placer) Apply(u stream.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u.Resync {
		if err := p.reset(); err != nil {
			p.deps.Log.Error("resetting the placer failed", zap.Error(err))
			return
		}
	}
	for _, e := range u.Events {
		p.apply(e)
	}
	p.changed = true
}

func (p *Placer) apply(e state.Event) {
	switch e := e.(type) {
	case state.TaskQueued:
		p.taskQueued(e.Task, e.Spec)
	case state.TaskBound:
		p.taskBound(e.Task, e.Spec)
	case state.TaskPromoted:
		p.taskPromoted(e.Task)
	case state.TaskPulled:
		p.taskPulled(e.Task)
	case state.TaskStopping:
		p.taskStopping(e.Task)
	case state.AttemptEnded:
		p.attemptEnded(e)
	case state.TaskDone:
		p.taskDone(e.Task)
	case state.WorkerChanged:
		p.workerChanged(e.Worker)
	case state.DeclarationsChanged:
		p.declarationsChanged(e.Set)
	case state.MembersChanged:
	}
}

// taskQueued offers the task for placement. A service task that failed before is held back first.
func (p *Placer) taskQueued(task state.Task, spec model.JobSpec) {
	if spec.Kind == model.KindService && task.Failures > 0 {
		// The state machine requeues a failed service without limit, so a task that fails at once is delayed by an
		// exponential backoff.
		wait := min(serviceRetry<<min(task.Failures, maxDoublings), serviceRetryMax)
		p.offers.Put(policy.Offer{Task: task, Spec: spec, At: p.deps.Clock.Now().Add(wait)})
		return
	}
	p.offer(task, spec)
}

// farFuture is later than any time the placer deals with.
var farFuture = time.Unix(1<<40, 0)

// offer queues the task, or holds it back while it is offered to other data centres first.
func (p *Placer) offer(task state.Task, spec model.JobSpec) {
	if len(spec.DataCentres) > 0 && !slices.Contains(spec.DataCentres, p.cfg.DataCentre) {
		return
	}
	order := policy.Rank(task.ID, spec, p.dataCentresInService())
	rank := -1
	for i, dc := range order {
		if dc == p.cfg.DataCentre {
			rank = i
		}
	}
	if rank < 0 {
		// Keep the task in case the data centre is declared in service again.
		p.offers.Put(policy.Offer{Task: task, Spec: spec, At: farFuture})
		return
	}
	wait := p.cfg.Policy.OfferDelay * time.Duration(rank)
	if rank == 0 || p.queue.Band(spec.Class) == policy.Urgent || p.isFull(order[0]) {
		p.queue.Put(task, spec, wait)
		if p.queue.Band(spec.Class) == policy.Urgent {
			p.pausedUntil = time.Time{}
		}
		return
	}
	p.offers.Put(policy.Offer{Task: task, Spec: spec, First: order[0], Delay: wait, At: p.deps.Clock.Now().Add(wait)})
}

func (p *Placer) isFull(dc model.DataCentreID) bool {
	return p.deps.Fullness != nil && p.deps.Fullness.Full(dc)
}

// dataCentresInService lists the data centres that may start tasks.
func (p *Placer) dataCentresInService() []model.DataCentreID {
	var out []model.DataCentreID
	for _, dc := range p.declarations.DataCentres {
		if dc.Service == decl.InService {
			out = append(out, dc.Name)
		}
	}
	return out
}

func (p *Placer) dequeue(id model.TaskID) {
	p.queue.Remove(id)
	p.offers.Remove(id)
}

// taskBound handles a binding by this or another placer.
func (p *Placer) taskBound(task state.Task, spec model.JobSpec) {
	p.dequeue(task.ID)
	delete(p.rejections, task.ID)
	delete(p.returnedFromBacklog, task.ID)
	id := task.CurrentAttempt()
	if b := p.pendingBindings[id]; b != nil {
		p.releaseBinding(b)
	}
	if c := p.claims[task.ID]; c != nil {
		p.dropClaim(c)
	}
	a := p.newAttempt(task, spec)
	a.worker, a.boot, a.inBacklog, a.stopping = task.Worker, task.Boot, task.Behind, task.Stopping
	p.chargeUsage(a, 1)
	if w, ok := p.workers[a.worker]; !ok || w.DataCentre != p.cfg.DataCentre {
		return
	}
	s := p.workerState(a.worker)
	s.bound[id] = a
	if a.inBacklog {
		a.backlogTime = p.backlogTimeOf(spec, a.reservation, a.worker)
		p.addBacklog(a.worker, a.backlogTime)
	} else {
		p.book.Reserve(a.worker, a.reservation)
	}
	p.countRack(a, 1)
	p.enforceLimit(spec.Team)
	p.kick(a.worker)
}

func (p *Placer) newAttempt(task state.Task, spec model.JobSpec) *attempt {
	p.seq++
	a := &attempt{
		id: task.CurrentAttempt(), spec: spec, reservation: task.Reservation, resume: task.Checkpoint,
		seq: p.seq, since: p.deps.Clock.Now(), queuedAt: task.QueuedAt, boundAt: task.BoundAt,
	}
	p.attempts[a.id], p.currentAttempts[task.ID] = a, a
	return a
}

// chargeUsage adds the attempt to its team's usage if sign is 1, or subtracts it if sign is -1.
func (p *Placer) chargeUsage(a *attempt, sign int) {
	p.queue.AddUsage(a.spec.Team, a.reservation.Times(sign), sign)
}

// countRack adds by to the number of the service's tasks in the worker's rack.
func (p *Placer) countRack(a *attempt, by int) {
	if a.spec.Kind != model.KindService {
		return
	}
	racks := p.serviceRacks[a.spec.ID]
	if racks == nil {
		racks = make(map[model.RackID]int)
		p.serviceRacks[a.spec.ID] = racks
	}
	rack := p.workers[a.worker].Rack
	if racks[rack] += by; racks[rack] <= 0 {
		delete(racks, rack)
	}
	if len(racks) == 0 {
		delete(p.serviceRacks, a.spec.ID)
	}
}

// taskPromoted gives an attempt from a worker's backlog its room.
func (p *Placer) taskPromoted(task state.Task) {
	a := p.attempts[task.CurrentAttempt()]
	if a == nil || !a.inBacklog {
		return
	}
	a.inBacklog = false
	p.addBacklog(a.worker, -a.backlogTime)
	if s := p.workerStates[a.worker]; s != nil {
		if _, stopped := s.stopSentAt[a.id]; !stopped && a.evictReason == evictBacklog {
			a.evictReason = evictNone
		}
		p.book.Reserve(a.worker, a.reservation)
		p.kick(a.worker)
	}
}

func (p *Placer) taskPulled(task state.Task) {
	p.dequeue(task.ID)
	spec := model.JobSpec{}
	if _, found, ok := p.deps.View.Task(task.ID); ok {
		spec = found
	}
	a := p.newAttempt(task, spec)
	a.pulled = true
	p.chargeUsage(a, 1)
}

func (p *Placer) taskStopping(task state.Task) {
	if a := p.attempts[task.CurrentAttempt()]; a != nil {
		a.stopping = true
		p.kick(a.worker)
	}
}

// attemptEnded releases what the attempt held and updates the run time estimates, the task's failures and the
// quarantine.
func (p *Placer) attemptEnded(e state.AttemptEnded) {
	a := p.attempts[e.Attempt]
	if a == nil {
		return
	}
	delete(p.attempts, a.id)
	if p.currentAttempts[a.id.Task] == a {
		delete(p.currentAttempts, a.id.Task)
	}
	p.chargeUsage(a, -1)
	p.learner.AttemptEnded(a.id.Task, a.reservation, e.Outcome, e.Usage)
	p.queue.Refresh(a.id.Task.Job)
	s := p.workerStates[a.worker]
	if a.pulled || s == nil {
		return
	}
	delete(s.bound, a.id)
	if a.inBacklog {
		p.addBacklog(a.worker, -a.backlogTime)
	} else {
		p.book.Release(a.worker, a.reservation)
	}
	p.countRack(a, -1)
	if e.Outcome == model.OutcomeFailed {
		f := p.failures[a.id.Task]
		p.failures[a.id.Task] = failureHistory{workers: append(f.workers, a.worker)}
	}
	if p.quarantine.AttemptEnded(a.worker, a.id.Task.Job, e.Outcome, p.deps.Clock.Now()) {
		quarantines.Inc()
		p.deps.Log.Warn("worker put into quarantine", zap.String("worker", string(a.worker)))
	}
	p.kick(a.worker)
}

func (p *Placer) taskDone(task state.Task) {
	p.offers.Remove(task.ID)
	p.queue.Remove(task.ID)
	p.learner.Forget(task.ID)
	p.neverFits.Forget(task.ID.Job)
	delete(p.rejections, task.ID)
	delete(p.failures, task.ID)
	delete(p.returnedFromBacklog, task.ID)
	delete(p.refusedUntil, task.ID.Job)
}

func (p *Placer) workerChanged(w state.Worker) {
	old, known := p.workers[w.ID]
	if !known || old.Lost != w.Lost || old.Capacity != w.Capacity || old.DataCentre != w.DataCentre {
		p.countWorker(old, known, -1)
		p.countWorker(w, true, 1)
	}
	w.Bound = nil
	same := known && old.Boot == w.Boot && old.Suspicion == w.Suspicion && old.Lost == w.Lost && old.Capacity == w.Capacity &&
		old.DataCentre == w.DataCentre && old.Rack == w.Rack
	p.workers[w.ID] = w
	if same {
		// Each binding and end changes the worker's list of bound attempts too; those have events of their own.
		return
	}
	p.deps.Leases.WorkerChanged(w)
	if w.DataCentre != p.cfg.DataCentre {
		return
	}
	s := p.workerState(w.ID)
	s.worker = w
	p.updateBook(s)
	p.kick(w.ID)
}

// workerState returns the state of the worker and adds it if it is new.
func (p *Placer) workerState(id model.WorkerID) *workerState {
	s := p.workerStates[id]
	if s == nil {
		s = newWorkerState(id)
		p.workerStates[id] = s
		at, _ := slices.BinarySearch(p.workerIDs, id)
		p.workerIDs = slices.Insert(p.workerIDs, at, id)
	}
	return s
}

// kick requests that commands for a worker of this data centre be sent soon.
func (p *Placer) kick(id model.WorkerID) {
	if p.workerStates[id] != nil {
		p.deps.Leases.Kick(id)
	}
}
