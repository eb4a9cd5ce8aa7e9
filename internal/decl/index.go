package decl

import (
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/strict"
)

// index maps names to positions in the set's lists and keys to teams. For parsed sets, it also holds the place of each
// object in its file, by the object's path in the set.
type index struct {
	organisations map[model.OrganisationID]int
	teams         map[model.TeamID]int
	classes       map[model.ClassID]int
	dataCentres   map[model.DataCentreID]int
	keys          map[model.KeyHash]model.TeamID
	origins       map[string]origin
}

// origin is the place of an object in the file from which it was read.
type origin struct {
	document *strict.Document
	path     string
}

// Indexed returns the set with an index for lookups by name in constant time. Sets returned by ParseSet, Merge and Apply
// have an index; a set decoded from JSON has none and is searched linearly.
func (s Set) Indexed() Set {
	if s.index != nil {
		return s
	}
	return s.withOrigins(nil)
}

func (s Set) withOrigins(origins map[string]origin) Set {
	ix := &index{
		organisations: indexByName(s.Organisations),
		teams:         indexByName(s.Teams),
		classes:       indexByName(s.Classes),
		dataCentres:   indexByName(s.DataCentres),
		keys:          make(map[model.KeyHash]model.TeamID),
		origins:       origins,
	}
	for _, team := range s.Teams {
		for _, key := range team.Keys {
			ix.keys[key] = team.Name
		}
	}
	s.index = ix
	return s
}

// named is an object with a name.
type named[N comparable] interface{ name() N }

func (o Organisation) name() model.OrganisationID { return o.Name }
func (t Team) name() model.TeamID                 { return t.Name }
func (c Class) name() model.ClassID               { return c.Name }
func (d DataCentre) name() model.DataCentreID     { return d.Name }

// indexByName maps names to positions in list; the first of several objects with the same name takes precedence.
func indexByName[N comparable, T named[N]](list []T) map[N]int {
	out := make(map[N]int, len(list))
	for i, object := range list {
		if _, taken := out[object.name()]; !taken {
			out[object.name()] = i
		}
	}
	return out
}

func findByName[N comparable, T named[N]](list []T, at map[N]int, name N) (T, bool) {
	var none T
	if at != nil {
		i, ok := at[name]
		if !ok {
			return none, false
		}
		return list[i], true
	}
	for _, object := range list {
		if object.name() == name {
			return object, true
		}
	}
	return none, false
}

func (s Set) lookupIndex() *index {
	if s.index == nil {
		return &index{}
	}
	return s.index
}

// Organisation returns the organisation with this name.
func (s Set) Organisation(name model.OrganisationID) (Organisation, bool) {
	return findByName(s.Organisations, s.lookupIndex().organisations, name)
}

// Team returns the team with this name.
func (s Set) Team(name model.TeamID) (Team, bool) {
	return findByName(s.Teams, s.lookupIndex().teams, name)
}

// Class returns the class with this name.
func (s Set) Class(name model.ClassID) (Class, bool) {
	return findByName(s.Classes, s.lookupIndex().classes, name)
}

// DataCentre returns the data centre with this name.
func (s Set) DataCentre(name model.DataCentreID) (DataCentre, bool) {
	return findByName(s.DataCentres, s.lookupIndex().dataCentres, name)
}

// KeyHolder returns the team to which the key with this hash is granted.
func (s Set) KeyHolder(key model.KeyHash) (model.TeamID, bool) {
	if s.index != nil {
		team, ok := s.index.keys[key]
		return team, ok
	}
	for _, team := range s.Teams {
		if team.HasKey(key) {
			return team.Name, true
		}
	}
	return "", false
}

// IsZero reports whether the set is empty.
func (s Set) IsZero() bool {
	return len(s.Organisations)+len(s.Teams)+len(s.Classes)+len(s.DataCentres) == 0
}
