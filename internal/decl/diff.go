package decl

import (
	"maps"
	"reflect"
	"slices"

	"arbutuswing.example/internal/model"
)

// Diff returns the patch that turns old into new. For teams in both sets, changes of keys are listed in GrantKeys and
// WithdrawKeys instead of Put, so that they can take effect independently of the teams' terms.
func Diff(old, new Set) Patch {
	old, new = old.Indexed(), new.Indexed()
	var p Patch
	p.Put.Organisations, p.Remove.Organisations = changedObjects(old.Organisations, new.Organisations)
	p.Put.Classes, p.Remove.Classes = changedObjects(old.Classes, new.Classes)
	p.Put.DataCentres, p.Remove.DataCentres = changedObjects(old.DataCentres, new.DataCentres)
	p.Remove.Teams = removedNames(old.Teams, new.Teams)
	for _, team := range new.Teams {
		before, ok := old.Team(team.Name)
		if !ok {
			p.Put.Teams = append(p.Put.Teams, team)
			continue
		}
		if !sameTerms(before, team) {
			terms := team
			terms.Keys = nil
			p.Put.Teams = append(p.Put.Teams, terms)
		}
		p.GrantKeys = append(p.GrantKeys, keysOnlyIn(team, before)...)
		p.WithdrawKeys = append(p.WithdrawKeys, keysOnlyIn(before, team)...)
	}
	return p
}

// sameTerms reports whether both teams have the same share, limit and organisation.
func sameTerms(a, b Team) bool {
	return a.Organisation == b.Organisation && a.Share == b.Share && a.Limit == b.Limit
}

// keysOnlyIn returns the keys of team that other does not have.
func keysOnlyIn(team, other Team) []KeyChange {
	var out []KeyChange
	for _, key := range team.Keys {
		if !other.HasKey(key) {
			out = append(out, KeyChange{Team: team.Name, Key: key})
		}
	}
	return out
}

// changedObjects returns the objects that are new or changed and the names of those that were removed.
func changedObjects[N comparable, T named[N]](old, new []T) ([]T, []N) {
	var put []T
	before := indexByName(old)
	for _, object := range new {
		if i, ok := before[object.name()]; !ok || !reflect.DeepEqual(old[i], object) {
			put = append(put, object)
		}
	}
	return put, removedNames(old, new)
}

func removedNames[N comparable, T named[N]](old, new []T) []N {
	var removed []N
	after := indexByName(new)
	for _, object := range old {
		if _, ok := after[object.name()]; !ok {
			removed = append(removed, object.name())
		}
	}
	return removed
}

// Empty reports whether the patch changes nothing.
func (p Patch) Empty() bool {
	return p.Put.IsZero() && p.Remove.IsZero() && len(p.GrantKeys)+len(p.WithdrawKeys) == 0
}

// IsZero reports whether the lists are all empty.
func (n Names) IsZero() bool {
	return len(n.Organisations)+len(n.Teams)+len(n.Classes)+len(n.DataCentres) == 0
}

// Equal reports whether both sets hold the same declarations, in any order.
func (s Set) Equal(other Set) bool { return Diff(s, other).Empty() }

// Approvers returns the organisations that must approve the change from old to new, sorted. An organisation must
// approve a change to the terms of its teams: their share, limit, organisation and removal, and the targets of classes.
// A team that moves to another declared organisation needs the approval of both. As any team may use any class, a changed
// or removed target needs the approval of every organisation that has a team. Replacing the approval key of an
// organisation that has a team, or removing the organisation, needs its approval too, because whoever sets the key can
// approve on its behalf. New objects, team keys and data centres need no approval.
func Approvers(old, new Set) []model.OrganisationID {
	old, new = old.Indexed(), new.Indexed()
	approvers := make(map[model.OrganisationID]bool)
	hasTeams := make(map[model.OrganisationID]bool)
	targets := anyTargetChanged(old, new)
	for _, team := range old.Teams {
		hasTeams[team.Organisation] = true
		after, ok := new.Team(team.Name)
		if targets || !ok || !sameTerms(team, after) {
			approvers[team.Organisation] = true
		}
		// An organisation that is first declared by this change has no key in force with which it could approve.
		if _, declared := old.Organisation(after.Organisation); declared && after.Organisation != team.Organisation {
			approvers[after.Organisation] = true
		}
	}
	for _, before := range old.Organisations {
		after, ok := new.Organisation(before.Name)
		if hasTeams[before.Name] && (!ok || after.ApprovalKey != before.ApprovalKey) {
			approvers[before.Name] = true
		}
	}
	return sortedKeys(approvers)
}

func anyTargetChanged(old, new Set) bool {
	return slices.ContainsFunc(old.Classes, func(before Class) bool {
		after, ok := new.Class(before.Name)
		return !ok || !reflect.DeepEqual(before.Target, after.Target)
	})
}

func sortedKeys(set map[model.OrganisationID]bool) []model.OrganisationID {
	return slices.Sorted(maps.Keys(set))
}

// Split divides a patch returned by Diff into a part that needs no approval (keys of teams that exist already, and data
// centres) and the rest.
func (p Patch) Split() (now, rest Patch) {
	rest = p
	now.Put.DataCentres, rest.Put.DataCentres = p.Put.DataCentres, nil
	now.Remove.DataCentres, rest.Remove.DataCentres = p.Remove.DataCentres, nil
	now.GrantKeys, rest.GrantKeys = p.GrantKeys, nil
	now.WithdrawKeys, rest.WithdrawKeys = p.WithdrawKeys, nil
	now.Put, rest.Put = now.Put.Indexed(), rest.Put.withOrigins(nil)
	return now, rest
}
