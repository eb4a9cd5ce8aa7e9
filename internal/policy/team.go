package policy

import (
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// minWeight stands in for a declared share of zero, so that a team without a share stays in the order, but comes after
// all others once it has usage.
const minWeight = 1e-6

// team holds the usage, the limit and the queued jobs of a team.
type team struct {
	id     model.TeamID
	weight float64
	limit  decl.Limit
	// usage and tasks sum what Queue.AddUsage was given.
	usage model.Resources
	tasks int
	// jobs holds the team's queued jobs that are not urgent.
	jobs indexedHeap[*queuedJob]
	// cachedShare is the share by which the team is ordered.
	cachedShare float64
	// fairIndex is the team's position in Queue.fair; -1 if it is not in it.
	fairIndex int
}

func newTeam(id model.TeamID) *team {
	t := &team{id: id, weight: 1, fairIndex: -1}
	t.jobs = indexedHeap[*queuedJob]{less: jobBefore, indexOf: func(j *queuedJob) *int { return &j.teamIndex }}
	return t
}

// share returns the team's dominant share of total divided by the team's weight.
func (t *team) share(total model.Resources) float64 {
	return t.usage.DominantShare(total) / max(t.weight, minWeight)
}

// allowsMore reports whether the team stays within its upper limit with count more tasks of the total size.
func (t *team) allowsMore(size model.Resources, count int) bool {
	return withinLimit(t.limit, t.usage.Plus(size), t.tasks+count)
}

// withinLimit reports whether usage and tasks are within the limit; a dimension of the limit that is zero is unlimited.
func withinLimit(limit decl.Limit, usage model.Resources, tasks int) bool {
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

// teamBefore orders teams by weighted dominant share, and teams of equal share by name, so that the order is defined.
func teamBefore(a, b *team) bool {
	if a.cachedShare != b.cachedShare {
		return a.cachedShare < b.cachedShare
	}
	return a.id < b.id
}
