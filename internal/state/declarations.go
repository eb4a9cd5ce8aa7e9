package state

import (
	"sync"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// declarations holds the declarations in force and the proposals that wait for approval.
type declarations struct {
	mu        sync.RWMutex
	set       decl.Set
	offset    model.Offset
	proposals map[string]*proposal
}

func newDeclarations() *declarations {
	return &declarations{
		set: decl.Set{}.Indexed(), offset: model.NoOffset, proposals: make(map[string]*proposal),
	}
}

// put replaces the declarations in force by the set that the change at offset led to.
func (d *declarations) put(set decl.Set, offset model.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set, d.offset = set.Indexed(), offset
}

func (d *declarations) inForce() (decl.Set, model.Offset) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.set, d.offset
}

// isOpen reports whether the class is open, that is, whether every call for it needs a team key.
func (d *declarations) isOpen(name model.ClassID) bool {
	class, _ := d.set.Class(name)
	return class.Open
}

// hasKey reports whether the key is one of the team's.
func (d *declarations) hasKey(name model.TeamID, key model.KeyHash) bool {
	team, _ := d.set.Team(name)
	return key != "" && team.HasKey(key)
}

// mayUse reports whether a call for the team's work in the class is allowed with the key. Without a key it is allowed
// only if the class is declared and not open: a class that has been removed may have been open when its jobs were
// accepted.
func (d *declarations) mayUse(team model.TeamID, name model.ClassID, key model.KeyHash) bool {
	if class, declared := d.set.Class(name); key == "" && declared && !class.Open {
		return true
	}
	return d.hasKey(team, key)
}

// inService reports whether tasks may start in the data centre; an undeclared data centre is out of service.
func (d *declarations) inService(name model.DataCentreID) bool {
	centre, _ := d.set.DataCentre(name)
	return centre.Service == decl.InService
}

// withinLimit reports whether the usage is within the team's limit; an undeclared team may use nothing.
func (d *declarations) withinLimit(name model.TeamID, usage Usage) bool {
	team, declared := d.set.Team(name)
	if !declared {
		return false
	}
	limit := team.Limit
	return (limit.Tasks == 0 || usage.Tasks <= limit.Tasks) &&
		withinBound(int64(usage.Resources.Cores), int64(limit.Resources.Cores)) &&
		withinBound(int64(usage.Resources.Memory), int64(limit.Resources.Memory)) &&
		withinBound(usage.Resources.Accelerators, limit.Resources.Accelerators)
}

// withinBound compares usage and limit in one dimension; a limit of zero means unlimited.
func withinBound(used, limit int64) bool { return limit == 0 || used <= limit }
