package decl

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"arbutuswing.example/internal/model"
)

// ErrNotDeclared reports a patch that removes an object or withdraws a key that the set does not have, or grants a key to a
// team that it does not have.
var ErrNotDeclared = errors.New("not declared")

// HasKey reports whether the key with this hash is granted to the team.
func (t Team) HasKey(key model.KeyHash) bool { return slices.Contains(t.Keys, key) }

// WithKeys returns a copy of the team whose keys are replaced by these, sorted.
func (t Team) WithKeys(keys []model.KeyHash) Team {
	t.Keys = slices.Sorted(slices.Values(keys))
	return t
}

// WithService returns a copy of the data centre with its state of service replaced.
func (d DataCentre) WithService(service ServiceState) DataCentre {
	d.Service = service
	return d
}

// Apply returns the set that results from the patch. Its objects are sorted by name, so that equal declarations have
// equal encodings. A team that is put without keys keeps its keys. A data centre that is put without a state of service
// keeps its state, or is in service if it is new. Apply returns ErrNotDeclared if the patch removes an object or
// withdraws a key that the set does not have, or grants a key to a team that it does not have. It does not validate
// the result.
func (s Set) Apply(p Patch) (Set, error) {
	s = s.Indexed()
	organisations, err := replaceObjects(s.Organisations, p.Put.Organisations, p.Remove.Organisations, "organisation")
	if err != nil {
		return Set{}, err
	}
	teams, err := replaceObjects(s.Teams, inheritKeys(p.Put.Teams, s), p.Remove.Teams, "team")
	if err != nil {
		return Set{}, err
	}
	classes, err := replaceObjects(s.Classes, p.Put.Classes, p.Remove.Classes, "class")
	if err != nil {
		return Set{}, err
	}
	centres, err := replaceObjects(s.DataCentres, inheritService(p.Put.DataCentres, s), p.Remove.DataCentres, "data centre")
	if err != nil {
		return Set{}, err
	}
	if err := changeKeys(teams, p); err != nil {
		return Set{}, err
	}
	return Set{Organisations: organisations, Teams: teams, Classes: classes, DataCentres: centres}.Indexed(), nil
}

// Inherit returns the set with missing values filled in from the set in force: the keys of teams that list none, and
// the state of service of data centres that state none, which is in service for new ones.
func (s Set) Inherit(inForce Set) Set {
	inForce = inForce.Indexed()
	s.Teams, s.DataCentres = inheritKeys(s.Teams, inForce), inheritService(s.DataCentres, inForce)
	return s.withOrigins(s.lookupIndex().origins)
}

func inheritKeys(teams []Team, from Set) []Team {
	out := slices.Clone(teams)
	for i, team := range out {
		if old, ok := from.Team(team.Name); ok && len(team.Keys) == 0 {
			out[i].Keys = old.Keys
		}
	}
	return out
}

func inheritService(centres []DataCentre, from Set) []DataCentre {
	out := slices.Clone(centres)
	for i, centre := range out {
		if centre.Service != "" {
			continue
		}
		out[i].Service = InService
		if old, ok := from.DataCentre(centre.Name); ok {
			out[i].Service = old.Service
		}
	}
	return out
}

// replaceObjects removes and puts objects in old and returns the result sorted by name. If two objects of the same name
// are put, both are kept, so that Check reports them.
func replaceObjects[N cmp.Ordered, T named[N]](old, put []T, remove []N, what string) ([]T, error) {
	kept := make(map[N]T, len(old))
	for _, object := range old {
		kept[object.name()] = object
	}
	for _, name := range remove {
		if _, ok := kept[name]; !ok {
			return nil, fmt.Errorf("removing %s %q: %w", what, string(fmt.Append(nil, name)), ErrNotDeclared)
		}
		delete(kept, name)
	}
	for _, object := range put {
		delete(kept, object.name())
	}
	out := append(slices.Collect(maps.Values(kept)), put...)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(a.name(), b.name()) })
	return out, nil
}

// changeKeys applies the key changes of a patch to teams in place.
func changeKeys(teams []Team, p Patch) error {
	at := indexByName(teams)
	for _, change := range p.GrantKeys {
		i, ok := at[change.Team]
		if !ok {
			return fmt.Errorf("granting a key to team %q: %w", change.Team, ErrNotDeclared)
		}
		if !teams[i].HasKey(change.Key) {
			teams[i] = teams[i].WithKeys(append(slices.Clone(teams[i].Keys), change.Key))
		}
	}
	for _, change := range p.WithdrawKeys {
		i, ok := at[change.Team]
		if !ok || !teams[i].HasKey(change.Key) {
			return fmt.Errorf("withdrawing key %.12s of team %q: %w", change.Key, change.Team, ErrNotDeclared)
		}
		isWithdrawn := func(key model.KeyHash) bool { return key == change.Key }
		teams[i] = teams[i].WithKeys(slices.DeleteFunc(slices.Clone(teams[i].Keys), isWithdrawn))
	}
	return nil
}
