package sched

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/state"
)

// maxScanned bounds the workers that are searched for victims for one task.
const maxScannedWorkers = 512

// claim holds room on a worker for a task until the attempts that give way have ended. The book counts the claimed size
// as reserved from the start, so that nothing else takes the room.
type claim struct {
	task   model.TaskID
	worker model.WorkerID
	size   model.Resources
	since  time.Time
	// victims are the attempts that give way to the task.
	victims []*attempt
}

// headOfOrder is the job that was first in the order without finding room, and since when.
type blockedHead struct {
	job   model.JobID
	since time.Time
}

// claim has patient work give way to the candidate; it reports whether the candidate now waits for that. The tasks of an
// urgent job don't wait for each other: one after another they would miss their target.
func (r *round) preemptFor(c policy.Candidate, size model.Resources) bool {
	if c.Band != policy.Urgent || c.Spec.Kind == model.KindGang {
		return r.preemptForAll(c, size)
	}
	claimed := false
	for _, task := range c.Queued(r.p.cfg.MaxClaims) {
		c.Tasks = []state.Task{task}
		if !r.preemptForAll(c, size) {
			break
		}
		claimed = true
	}
	return claimed
}

// claimFor has patient work give way to all tasks of the candidate or none.
func (r *round) preemptForAll(c policy.Candidate, size model.Resources) bool {
	p := r.p
	if p.claims[c.Tasks[0].ID] != nil {
		return true
	}
	allowed := r.victimFilter(c, size)
	if allowed == nil || len(p.claims)+len(c.Tasks) > p.cfg.MaxClaims {
		return false
	}
	var newClaims []*claim
	var victims []*attempt
	for _, task := range c.Tasks {
		worker, chosen, ok := p.findVictims(size, allowed, p.quarantineFilter(r.now))
		if !ok {
			for _, m := range newClaims {
				p.dropClaim(m)
			}
			return false
		}
		m := &claim{task: task.ID, worker: worker, size: size, since: r.now, victims: chosen}
		p.book.Reserve(worker, size)
		p.claims[task.ID] = m
		newClaims = append(newClaims, m)
		for _, v := range chosen {
			v.evictReason = evictPreempt
		}
		victims = append(victims, chosen...)
	}
	for _, v := range victims {
		countEviction(evictPreempt)
		p.kick(v.worker)
	}
	r.stats.Claims += len(newClaims)
	return true
}

// mayPreempt returns which attempts may give way to the candidate, or nil for none. Urgent work takes any patient work,
// but only where it was offered first or waited for its turn, so that not every data centre preempts for it. Other work
// must be at the head of the order, have waited, and take only from teams that stay above the share that its own team
// reaches.
func (r *round) victimFilter(c policy.Candidate, size model.Resources) func(*attempt) bool {
	p := r.p
	queued := time.Unix(0, c.Tasks[0].QueuedAt)
	waited := r.now.Sub(queued)
	if c.Band == policy.Urgent {
		if waited < p.offerDelay(c.Tasks[0].ID, c.Spec) {
			return nil
		}
		return p.isPreemptiblePatient
	}
	if r.headConsidered || waited < max(p.cfg.PreemptionDelay, p.offerDelay(c.Tasks[0].ID, c.Spec)) {
		return nil
	}
	r.headConsidered = true
	if c.Band == policy.Due && c.Start.Sub(r.now) < p.cfg.Policy.Rise {
		return p.isPreemptiblePatient
	}
	if p.head.job != c.Spec.ID {
		p.head = blockedHead{job: c.Spec.ID, since: r.now}
	}
	// Room for one task comes by itself when others end soon; room for a gang, or for a task that stays at the head of
	// the order after that time, is taken by smaller tasks piece by piece.
	fits := c.Spec.Kind != model.KindGang && r.now.Sub(p.head.since) < p.cfg.MinRemainingTime
	reached := p.queue.ShareWith(c.Spec.Team, size.Times(len(c.Tasks)))
	return func(a *attempt) bool {
		if !p.isPreemptiblePatient(a) || a.spec.Team == c.Spec.Team || (fits && p.endsSoon(a)) {
			return false
		}
		return p.queue.ShareWith(a.spec.Team, model.Resources{}.Minus(a.reservation)) >= reached
	}
}

// endsSoon reports whether the attempt is expected to end by itself before preemption for the sake of shares pays: with
// tasks of 20 s it cost the teams more of their shares (7.7% of the fleet off) than it gave them (4.5% without).
func (p *Placer) endsSoon(a *attempt) bool {
	expected := p.learner.RunTime(a.spec)
	if expected <= 0 {
		return false
	}
	ran := a.resume.Std()
	if s := p.workerStates[a.worker]; s != nil {
		if report, ok := s.runningReport(a.id); ok {
			ran += report.Usage.RunTime.Std()
		}
	}
	return expected-ran < p.cfg.MinRemainingTime
}

// turn returns how long other data centres have the first choice of the task.
func (p *Placer) offerDelay(id model.TaskID, spec model.JobSpec) time.Duration {
	rank := slices.Index(policy.Rank(id, spec, p.dataCentresInService()), p.cfg.DataCentre)
	return time.Duration(max(0, rank)) * p.cfg.Policy.OfferStep
}

// patient reports whether the attempt is patient work that may be preempted.
func (p *Placer) isPreemptiblePatient(a *attempt) bool {
	return a.preemptible() && p.queue.Band(a.spec.Class) == policy.Patient
}

// findVictims returns the worker on which the least progress is lost when size is made to fit there, and the attempts
// that give way.
func (p *Placer) findVictims(
	size model.Resources, allowed func(*attempt) bool, avoid func(model.WorkerID) bool,
) (model.WorkerID, []*attempt, bool) {
	var worker model.WorkerID
	var best []policy.Running
	least := time.Duration(0)
	found := false
	for _, s := range p.nextWorkers(maxScannedWorkers) {
		if !s.leaseHeld || s.leaving || !usable(s.worker) || !size.Fits(s.worker.Capacity) || (avoid != nil && avoid(s.id)) {
			continue
		}
		free, _ := p.book.Free(s.id)
		victims, lost, ok := policy.Victims(size, free.Plus(s.releasing()), s.victimCandidates(allowed))
		if !ok {
			continue
		}
		if !found || lost < least || (lost == least && len(victims) < len(best)) {
			worker, best, least, found = s.id, victims, lost, true
		}
	}
	out := make([]*attempt, 0, len(best))
	for _, v := range best {
		out = append(out, p.attempts[v.Attempt])
	}
	return worker, out, found
}

// scan returns the next workers in turn, at most limit of them.
func (p *Placer) nextWorkers(limit int) []*workerState {
	n := min(len(p.workerIDs), limit)
	out := make([]*workerState, 0, n)
	for i := range n {
		out = append(out, p.workerStates[p.workerIDs[(p.scanCursor+i)%len(p.workerIDs)]])
	}
	p.scanCursor += len(out)
	return out
}

// ending sums what comes free on the worker without further victims.
func (s *workerState) releasing() model.Resources {
	sum := model.Resources{}
	for _, a := range s.bound {
		if !a.inBacklog && (a.stopping || a.evictReason != evictNone) {
			sum = sum.Plus(a.reservation)
		}
	}
	return sum
}

// preemptible lists the worker's attempts that may give way.
func (s *workerState) victimCandidates(allowed func(*attempt) bool) []policy.Running {
	var out []policy.Running
	for _, a := range s.bound {
		if !allowed(a) {
			continue
		}
		running := policy.Running{Attempt: a.id, Team: a.spec.Team, Reservation: a.reservation}
		if report, ok := s.runningReport(a.id); ok {
			running.Loss = a.lostProgress(report)
		}
		out = append(out, running)
	}
	return out
}

// fulfilClaims binds the tasks whose room has come free.
func (r *round) fulfilClaims() {
	p := r.p
	for id, c := range p.claims {
		task, spec, ok := p.deps.View.Task(id)
		if !ok || task.Phase != state.PhaseQueued || !p.queue.Has(id) {
			p.dropClaim(c)
			continue
		}
		free, known := p.book.Free(c.worker)
		if !known || !usable(p.workers[c.worker]) || r.now.Sub(c.since) > p.cfg.ClaimTimeout {
			p.dropClaim(c)
			continue
		}
		if free.Negative() || p.evictBacklogged(c.worker) {
			continue
		}
		if spec.Kind == model.KindGang {
			r.fulfilGang(spec)
			continue
		}
		delete(p.claims, id)
		r.bind(policy.Candidate{Spec: spec, Tasks: []state.Task{task}}, task, c.size, c.worker, false)
	}
}

// fulfilGang binds the gang once the room of all its claims is free.
func (r *round) fulfilGang(spec model.JobSpec) {
	p := r.p
	var claims []*claim
	var tasks []state.Task
	for index := range spec.Tasks {
		c := p.claims[model.TaskID{Job: spec.ID, Index: index}]
		if c == nil {
			continue
		}
		task, _, ok := p.deps.View.Task(c.task)
		free, _ := p.book.Free(c.worker)
		if !ok || free.Negative() || p.evictBacklogged(c.worker) {
			return
		}
		claims, tasks = append(claims, c), append(tasks, task)
	}
	for i, c := range claims {
		delete(p.claims, c.task)
		r.bind(policy.Candidate{Spec: spec, Tasks: tasks}, tasks[i], c.size, c.worker, false)
	}
}

// unclaim gives the claimed room back and spares the victims that were not told to stop yet.
func (p *Placer) dropClaim(c *claim) {
	if s := p.workerStates[c.worker]; s != nil {
		for _, v := range c.victims {
			if _, told := s.stopSentAt[v.id]; !told && !v.checkpointed && v.evictReason == evictPreempt {
				v.evictReason = evictNone
			}
		}
	}
	delete(p.claims, c.task)
	p.book.Release(c.worker, c.size)
	p.changed = true
}

// dropClaims gives up all claims, since only the placer fulfils and expires them.
func (p *Placer) dropAllClaims() {
	for _, c := range p.claims {
		p.dropClaim(c)
	}
}
