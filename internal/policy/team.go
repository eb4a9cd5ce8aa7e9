package policy

import (
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// minWeight keeps teams without a share in the order, behind all others.
const minWeight = 1e-6

// team is a team's place in the order.
type team struct {
	id     model.TeamID
	weight float64
	limit  decl.Limit
	usage  model.Resources
	tasks  int
	// lots holds the team's jobs that are not urgent.
	lots  indexed[*lot]
	key   float64
	index int
}

func newTeam(id model.TeamID) *team {
	t := &team{id: id, weight: 1, index: -1}
	t.lots = indexed[*lot]{less: lotBefore, place: func(l *lot) *int { return &l.inTeam }}
	return t
}

// share returns the weighted dominant share.
func (t *team) share(total model.Resources) float64 {
	return t.usage.DominantShare(total) / max(t.weight, minWeight)
}

// allows reports whether size more, in count tasks, stays within the upper limit.
func (t *team) allows(size model.Resources, count int) bool {
	return within(t.limit, t.usage.Plus(size), t.tasks+count)
}

// within reports whether usage is at most the limit; a zero dimension is unbounded.
func within(limit decl.Limit, usage model.Resources, tasks int) bool {
	bound := limit.Resources
	switch {
	case limit.Tasks > 0 && tasks > limit.Tasks,
		bound.Cores > 0 && usage.Cores > bound.Cores,
		bound.Memory > 0 && usage.Memory > bound.Memory,
		bound.Accelerators > 0 && usage.Accelerators > bound.Accelerators:
		return false
	}
	return true
}

// teamBefore orders by weighted dominant share, then by name, so that equal shares have one order.
func teamBefore(a, b *team) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.id < b.id
}
