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

// usable reports whether the fold lets tasks be bound to the worker.
func usable(w state.Worker) bool { return !w.Lost && w.Suspicion == model.NoOffset }

// count adds the worker to the sizes of its data centre or takes it out.
func (p *Placer) count(w state.Worker, known bool, by int) {
	if !known || w.Lost {
		return
	}
	sizes := p.sizes[w.DataCentre]
	if sizes == nil {
		sizes = make(map[model.Resources]int)
		p.sizes[w.DataCentre] = sizes
	}
	if sizes[w.Capacity] += by; sizes[w.Capacity] <= 0 {
		delete(sizes, w.Capacity)
	}
	p.queue.SetTotal(p.total())
	p.queue.SetLocal(sum(p.sizes[p.cfg.DataCentre]))
}

// sum adds the capacities of workers.
func sum(sizes map[model.Resources]int) model.Resources {
	all := model.Resources{}
	for capacity, n := range sizes {
		all = all.Plus(capacity.Times(n))
	}
	return all
}

// total returns the capacity of the fleet; data centres out of service don't count.
func (p *Placer) total() model.Resources {
	all := model.Resources{}
	for dc, sizes := range p.sizes {
		if service, ok := p.centres[dc]; !ok || service == decl.InService {
			all = all.Plus(sum(sizes))
		}
	}
	return all
}

// capacities lists the different capacities of this data centre's workers.
func (p *Placer) capacities() []model.Resources {
	return slices.Collect(maps.Keys(p.sizes[p.cfg.DataCentre]))
}

func (p *Placer) setBook(s *session) {
	p.book.Set(place.Worker{
		ID: s.id, Rack: s.worker.Rack, Capacity: s.worker.Capacity.Minus(model.Resources{Memory: s.excess}),
		Usable: usable(s.worker) && !s.leaving && p.serves(),
	})
}

// serves reports whether this data centre is in service; one that nobody declared is not.
func (p *Placer) serves() bool { return p.centres[p.cfg.DataCentre] == decl.InService }

// declared takes over the declarations in force.
func (p *Placer) declared(set decl.Set) {
	served := p.serves()
	before := p.inService()
	p.set = set
	clear(p.centres)
	for _, dc := range set.DataCentres {
		p.centres[dc.Name] = dc.Service
	}
	p.queue.Declare(set)
	p.queue.SetTotal(p.total())
	p.deps.Leases.Declared(set)
	if !slices.Equal(before, p.inService()) {
		p.offerAgain()
	}
	if served != p.serves() {
		p.serviceChanged()
	}
	for _, team := range set.Teams {
		p.enforceLimit(team.Name)
	}
}

// offerAgain ranks the data centres for every waiting task anew.
func (p *Placer) offerAgain() {
	waiting := p.queue.All()
	for _, o := range p.offers.All() {
		waiting = append(waiting, policy.Item{Task: o.Task, Spec: o.Spec})
	}
	for _, item := range waiting {
		p.unqueue(item.Task.ID)
		p.offer(item.Task, item.Spec)
	}
}

// serviceChanged opens or closes the data centre's workers.
func (p *Placer) serviceChanged() {
	p.outSince = p.deps.Clock.Now()
	for _, s := range p.sessions {
		p.setBook(s)
		for _, a := range s.bound {
			if p.serves() && a.evict == evictCentre && !a.saved {
				a.evict = evictNone
			}
		}
		p.kick(s.id)
	}
	p.deps.Log.Info("data centre changed service", zap.String("data-centre", string(p.cfg.DataCentre)),
		zap.Bool("in-service", p.serves()))
	p.leaveCentre()
}

// leaveCentre evicts what is bound in a data centre out of service: batch work at once, services only as far as another
// data centre has room for their replacements.
func (p *Placer) leaveCentre() {
	if p.serves() || p.centres[p.cfg.DataCentre] == "" {
		return
	}
	room := p.roomElsewhere()
	moves := p.cfg.Moves
	for _, s := range p.sessions {
		for _, a := range s.bound {
			if a.evict != evictNone || a.stopping {
				continue
			}
			_, runs := s.running(a.id)
			if a.spec.Kind == model.KindService && runs {
				if moves == 0 || !takeRoom(room, a) {
					continue
				}
				moves--
			}
			p.evict(a, evictCentre)
		}
	}
}

// roomElsewhere estimates the free capacity of the other data centres in service.
func (p *Placer) roomElsewhere() map[model.DataCentreID]model.Resources {
	room := make(map[model.DataCentreID]model.Resources)
	for _, dc := range p.inService() {
		if dc == p.cfg.DataCentre {
			continue
		}
		room[dc] = sum(p.sizes[dc])
	}
	for _, a := range p.attempts {
		if dc := p.workers[a.worker].DataCentre; !a.pulled && !a.behind {
			if left, ok := room[dc]; ok {
				room[dc] = left.Minus(a.reservation)
			}
		}
	}
	return room
}

// takeRoom takes the attempt's reservation out of a data centre that may run it.
func takeRoom(room map[model.DataCentreID]model.Resources, a *attempt) bool {
	for dc, left := range room {
		allowed := len(a.spec.DataCentres) == 0 || slices.Contains(a.spec.DataCentres, dc)
		if allowed && a.reservation.Fits(left) {
			room[dc] = left.Minus(a.reservation)
			return true
		}
	}
	return false
}

// evict has the attempt ended and queued again.
func (p *Placer) evict(a *attempt, why eviction) {
	if a.evict != evictNone || a.pulled {
		return
	}
	a.evict = why
	countEviction(why)
	p.kick(a.worker)
}

// enforceLimit evicts the youngest attempts of a team that has more bound than its upper limit. Every placer finds the
// same attempts, and each ends those on its own workers.
func (p *Placer) enforceLimit(team model.TeamID) {
	if p.queue.Within(team) {
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
		return cmp.Or(cmp.Compare(b.at, a.at), strings.Compare(a.id.String(), b.id.String()))
	})
	tasks := len(bound)
	for _, a := range bound {
		if a.pulled {
			continue
		}
		if p.queue.Below(team, usage, tasks) {
			return
		}
		usage, tasks = usage.Minus(a.reservation), tasks-1
		p.evict(a, evictLimit)
	}
}
