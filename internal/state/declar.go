package state

import (
	"slices"
	"sync"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// declarations is the aggregate of the declarations in force and the proposals that wait.
type declarations struct {
	mu        sync.RWMutex
	set       decl.Set
	offset    model.Offset
	teams     map[model.TeamID]decl.Team
	classes   map[model.ClassID]decl.Class
	centres   map[model.DataCentreID]decl.DataCentre
	proposals map[string]*proposal
}

func newDeclarations() *declarations {
	d := &declarations{proposals: make(map[string]*proposal)}
	d.put(decl.Set{}, model.NoOffset)
	return d
}

// put brings the set into force.
func (d *declarations) put(set decl.Set, offset model.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set, d.offset = set, offset
	d.teams = make(map[model.TeamID]decl.Team, len(set.Teams))
	for _, team := range set.Teams {
		d.teams[team.Name] = team
	}
	d.classes = make(map[model.ClassID]decl.Class, len(set.Classes))
	for _, class := range set.Classes {
		d.classes[class.Name] = class
	}
	d.centres = make(map[model.DataCentreID]decl.DataCentre, len(set.DataCentres))
	for _, centre := range set.DataCentres {
		d.centres[centre.Name] = centre
	}
}

func (d *declarations) read() (decl.Set, model.Offset) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.set, d.offset
}

// granted reports whether the team may use the key.
func (d *declarations) granted(team model.TeamID, key model.KeyHash) bool {
	return key != "" && slices.Contains(d.teams[team].Keys, key)
}

// mayUse reports whether a call for the team's work in the class comes with a key that allows it; only classes that
// are not open can be used without one.
func (d *declarations) mayUse(team model.TeamID, class model.ClassID, key model.KeyHash) bool {
	if key == "" && !d.classes[class].Open {
		return true
	}
	return d.granted(team, key)
}

// inService reports whether tasks may start in the data centre; one that is not declared is not in service.
func (d *declarations) inService(centre model.DataCentreID) bool {
	return d.centres[centre].Service == decl.InService
}

// withinLimit reports whether the team may have this usage; a team that is not declared may have none.
func (d *declarations) withinLimit(team model.TeamID, usage Usage) bool {
	declared, ok := d.teams[team]
	if !ok {
		return false
	}
	limit := declared.Limit
	return (limit.Tasks == 0 || usage.Tasks <= limit.Tasks) &&
		within(int64(usage.Resources.Cores), int64(limit.Resources.Cores)) &&
		within(int64(usage.Resources.Memory), int64(limit.Resources.Memory)) &&
		within(usage.Resources.Accelerators, limit.Resources.Accelerators)
}

// within compares one dimension; a limit of zero is unbounded.
func within(used, limit int64) bool { return limit == 0 || used <= limit }

// organisation returns the declared organisation.
func (d *declarations) organisation(name model.OrganisationID) (decl.Organisation, bool) {
	for _, org := range d.set.Organisations {
		if org.Name == name {
			return org, true
		}
	}
	return decl.Organisation{}, false
}
