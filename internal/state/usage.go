package state

import (
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
)

// usages holds the sum of what each team's bound and pulled tasks reserve.
type usages struct {
	rows *table[model.TeamID, Usage]
}

func newUsages() *usages { return &usages{rows: newTable[model.TeamID, Usage]()} }

// with returns the usage with one more task of the size.
func (u Usage) with(size model.Resources) Usage {
	return Usage{Resources: u.Resources.Plus(size), Tasks: u.Tasks + 1}
}

func (u *usages) get(team model.TeamID) Usage {
	usage, _ := u.rows.get(team)
	return usage
}

func (u *usages) add(team model.TeamID, size model.Resources) {
	u.rows.put(team, u.get(team).with(size))
}

func (u *usages) remove(team model.TeamID, size model.Resources) {
	usage := u.get(team)
	usage = Usage{Resources: usage.Resources.Minus(size), Tasks: usage.Tasks - 1}
	if usage == (Usage{}) {
		u.rows.remove(team)
		return
	}
	u.rows.put(team, usage)
}

// list copies the usages of all teams.
func (u *usages) list() map[model.TeamID]Usage {
	out := make(map[model.TeamID]Usage)
	u.rows.each(func(team model.TeamID, usage Usage) { out[team] = usage })
	return out
}

// checkLimits checks the limits of the teams whose usage the envelope raised. Other teams may exceed a limit that was
// lowered after their tasks were bound.
func (a *applier) checkLimits() {
	for team := range a.raisedTeams {
		usage := a.usages.get(team)
		a.cfg.Invariants.Check(invar.UpperLimit, a.decls.withinLimit(team, usage),
			"team %s has %+v after a task was bound", team, usage)
	}
	clear(a.raisedTeams)
}
