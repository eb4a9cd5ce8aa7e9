package state

import (
	"sync"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// declarations is the aggregate of the declarations in force and the proposals that wait.
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

// put brings the set into force.
func (d *declarations) put(set decl.Set, offset model.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set, d.offset = set.Indexed(), offset
}

func (d *declarations) read() (decl.Set, model.Offset) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.set, d.offset
}

// open reports whether every call for the class needs a team key.
func (d *declarations) open(name model.ClassID) bool {
	class, _ := d.set.Class(name)
	return class.Open
}

// granted reports whether the team may use the key.
func (d *declarations) granted(name model.TeamID, key model.KeyHash) bool {
	team, _ := d.set.Team(name)
	return key != "" && team.HasKey(key)
}

// mayUse reports whether a call for the team's work in the class comes with a key that allows it. Only declared classes
// that are not open can be used without one; a removed class may have been open when its jobs were accepted.
func (d *declarations) mayUse(team model.TeamID, name model.ClassID, key model.KeyHash) bool {
	if class, declared := d.set.Class(name); key == "" && declared && !class.Open {
		return true
	}
	return d.granted(team, key)
}

// inService reports whether tasks may start in the data centre; one that is not declared is not in service.
func (d *declarations) inService(name model.DataCentreID) bool {
	centre, _ := d.set.DataCentre(name)
	return centre.Service == decl.InService
}

// withinLimit reports whether the team may have this usage; a team that is not declared may have none.
func (d *declarations) withinLimit(name model.TeamID, usage Usage) bool {
	team, declared := d.set.Team(name)
	if !declared {
		return false
	}
	limit := team.Limit
	return (limit.Tasks == 0 || usage.Tasks <= limit.Tasks) &&
		within(int64(usage.Resources.Cores), int64(limit.Resources.Cores)) &&
		within(int64(usage.Resources.Memory), int64(limit.Resources.Memory)) &&
		within(usage.Resources.Accelerators, limit.Resources.Accelerators)
}

// within compares one dimension; a limit of zero is unbounded.
func within(used, limit int64) bool { return limit == 0 || used <= limit }
