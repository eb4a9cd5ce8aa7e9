package sched

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"go.uber.org/zap"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
	"arbutuswing.example/internal/policy"
	"arbutuswing.example/internal/state"
)

// usable reports whether the state machine accepts bindings to the worker.
func usable(w state.Worker) bool { return !w.Lost && w.Suspicion == model.NoOffset }

// countWorker adds the worker to the capacity counts of its data centre if by is 1, or removes it if by is -1.
func (p *Placer) countWorker(w state.Worker, known bool, by int) {
	if !known || w.Lost {
		return
	}
	sizes := p.capacityCounts[w.DataCentre]
	if sizes == nil {
		sizes = make(map[model.Resources]int)
		p.capacityCounts[w.DataCentre] = sizes
	}
	if sizes[w.Capacity] += by; sizes[w.Capacity] <= 0 {
		delete(sizes, w.Capacity)
	}
	p.queue.SetFleetCapacity(p.fleetCapacity())
	p.queue.SetLocalCapacity(totalCapacity(p.capacityCounts[p.cfg.DataCentre]))
}

// totalCapacity adds up the capacities of workers.
func totalCapacity(sizes map[model.Resources]int) model.Resources {
	total := model.Resources{}
	for capacity, n := range sizes {
		total = total.Plus(capacity.Times(n))
	}
	return total
}

// fleetCapacity returns the capacity of all data centres except those declared out of service.
func (p *Placer) fleetCapacity() model.Resources {
	total := model.Resources{}
	for dc, sizes := range p.capacityCounts {
		if service, ok := p.dataCentres[dc]; !ok || service == decl.InService {
			total = total.Plus(totalCapacity(sizes))
		}
	}
	return total
}

// capacities lists the distinct capacities of this data centre's workers.
func (p *Placer) capacities() []model.Resources {
	return slices.Collect(maps.Keys(p.capacityCounts[p.cfg.DataCentre]))
}

// updateBook updates the worker's capacity and usability in the book.
func (p *Placer) updateBook(s *workerState) {
	p.book.Set(place.Worker{
		ID: s.id, Rack: s.worker.Rack, Capacity: s.worker.Capacity.Minus(model.Resources{Memory: s.excess}),
		Usable: usable(s.worker) && !s.leaving && p.isInService(),
	})
}

// isInService reports whether this data centre is declared in service.
func (p *Placer) isInService() bool { return p.dataCentres[p.cfg.DataCentre] == decl.InService }

// declarationsChanged applies the declarations in force.
func (p *Placer) declarationsChanged(set decl.Set) {
	wasInService := p.isInService()
	before := p.dataCentresInService()
	p.declarations = set
	clear(p.dataCentres)
	for _, dc := range set.DataCentres {
		p.dataCentres[dc.Name] = dc.Service
	}
	p.queue.SetDeclarations(set)
	p.queue.SetFleetCapacity(p.fleetCapacity())
	p.deps.Leases.Declared(set)
	if !slices.Equal(before, p.dataCentresInService()) {
		p.rerankOffers()
	}
	if wasInService != p.isInService() {
		p.serviceChanged()
	}
	for _, team := range set.Teams {
		p.enforceLimit(team.Name)
	}
}

// rerankOffers ranks the data centres for every waiting task again.
func (p *Placer) rerankOffers() {
	items := p.queue.All()
	for _, o := range p.offers.TakeAll() {
		items = append(items, policy.Item{Task: o.Task, Spec: o.Spec})
	}
	for _, item := range items {
		p.dequeue(item.Task.ID)
		p.offer(item.Task, item.Spec)
	}
}

// serviceChanged handles a change of whether this data centre is in service.
func (p *Placer) serviceChanged() {
	p.serviceChangedAt = p.deps.Clock.Now()
	for _, s := range p.workerStates {
		p.updateBook(s)
		for _, a := range s.bound {
			if p.isInService() && a.evictReason == evictDataCentreOut && !a.checkpointed {
				a.evictReason = evictNone
			}
		}
		p.kick(s.id)
	}
	p.deps.Log.Info("data centre changed service", zap.String("data-centre", string(p.cfg.DataCentre)),
		zap.Bool("in-service", p.isInService()))
	p.drainDataCentre()
}

// drainDataCentre evicts what is bound in this data centre if it is out of service: batch work at once, running
// services only as far as another data centre has room for their replacements.
func (p *Placer) drainDataCentre() {
	if p.isInService() || p.dataCentres[p.cfg.DataCentre] == "" {
		return
	}
	free := p.freeElsewhere()
	movesLeft := p.cfg.MaxServiceMoves
	for _, s := range p.workerStates {
		for _, a := range s.bound {
			if a.evictReason != evictNone || a.stopping {
				continue
			}
			_, running := s.runningReport(a.id)
			if a.spec.Kind == model.KindService && running {
				if movesLeft == 0 || !reserveElsewhere(free, a) {
					continue
				}
				movesLeft--
			}
			p.evict(a, evictDataCentreOut)
		}
	}
}

// freeElsewhere estimates the free capacity of the other data centres in service.
func (p *Placer) freeElsewhere() map[model.DataCentreID]model.Resources {
	free := make(map[model.DataCentreID]model.Resources)
	for _, dc := range p.dataCentresInService() {
		if dc == p.cfg.DataCentre {
			continue
		}
		free[dc] = totalCapacity(p.capacityCounts[dc])
	}
	for _, a := range p.attempts {
		if dc := p.workers[a.worker].DataCentre; !a.pulled && !a.inBacklog {
			if left, ok := free[dc]; ok {
				free[dc] = left.Minus(a.reservation)
			}
		}
	}
	return free
}

// reserveElsewhere subtracts the attempt's reservation from the free capacity of a data centre that may run it.
func reserveElsewhere(free map[model.DataCentreID]model.Resources, a *attempt) bool {
	for dc, left := range free {
		allowed := len(a.spec.DataCentres) == 0 || slices.Contains(a.spec.DataCentres, dc)
		if allowed && a.reservation.Fits(left) {
			free[dc] = left.Minus(a.reservation)
			return true
		}
	}
	return false
}

// evict marks the attempt to be stopped and queued again.
func (p *Placer) evict(a *attempt, why evictionReason) {
	if a.evictReason != evictNone || a.pulled {
		return
	}
	a.evictReason = why
	countEviction(why)
	p.kick(a.worker)
}

// enforceLimit evicts the most recently bound attempts of a team above its upper limit. Every placer selects the same
// attempts and stops those on its own workers.
func (p *Placer) enforceLimit(team model.TeamID) {
	if p.queue.WithinLimit(team) {
		return
	}
	var bound []*attempt
	usage := model.Resources{}
	for _, a := range p.attempts {
		if a.spec.Team == team {
			bound = append(bound, a)
			usage = usage.Plus(a.reservation)
		}
	}
	slices.SortFunc(bound, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.boundAt, a.boundAt), strings.Compare(a.id.String(), b.id.String()))
	})
	tasks := len(bound)
	for _, a := range bound {
		if a.pulled {
			continue
		}
		if p.queue.LimitAllows(team, usage, tasks) {
			return
		}
		usage, tasks = usage.Minus(a.reservation), tasks-1
		p.evict(a, evictLimit)
	}
}
