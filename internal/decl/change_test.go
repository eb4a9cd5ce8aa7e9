package decl_test

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

var (
	keyA = model.HashKey("a")
	keyB = model.HashKey("b")
)

// edit returns a copy of the set to which change has been applied.
func edit(set decl.Set, change func(*decl.Set)) decl.Set {
	next := decl.Set{
		Organisations: slices.Clone(set.Organisations), Teams: slices.Clone(set.Teams),
		Classes: slices.Clone(set.Classes), DataCentres: slices.Clone(set.DataCentres),
	}
	change(&next)
	return next.Indexed()
}

// Guards against terms of a team that change without its organisation's approval, and against an approval that is
// required without need.
func TestApprovers(t *testing.T) {
	old := exampleSet(t).Inherit(decl.Set{})
	tests := []struct {
		name   string
		change func(*decl.Set)
		want   []model.OrganisationID
	}{
		{"nothing", func(*decl.Set) {}, nil},
		{"share", func(s *decl.Set) { s.Teams[0].Share = 9 }, []model.OrganisationID{"harbour"}},
		{"limit", func(s *decl.Set) { s.Teams[3].Limit.Tasks = 1 }, []model.OrganisationID{"orchard"}},
		{"team removed", func(s *decl.Set) { s.Teams = s.Teams[1:] }, []model.OrganisationID{"harbour"}},
		{
			"organisation of a team", func(s *decl.Set) { s.Teams[0].Organisation = "orchard" },
			[]model.OrganisationID{"harbour", "orchard"},
		},
		{
			"organisation of a team, to a new one", func(s *decl.Set) {
				s.Organisations = append(s.Organisations, decl.Organisation{Name: "new", ApprovalKey: keyA})
				s.Teams[0].Organisation = "new"
			},
			[]model.OrganisationID{"harbour"},
		},
		{
			"target", func(s *decl.Set) { s.Classes[0].Target.AnsweredWithin++ },
			[]model.OrganisationID{"harbour", "orchard"},
		},
		{
			"class removed", func(s *decl.Set) { s.Classes = s.Classes[1:] },
			[]model.OrganisationID{"harbour", "orchard"},
		},
		{"approval key", func(s *decl.Set) { s.Organisations[1].ApprovalKey = keyA }, []model.OrganisationID{"orchard"}},
		{"class added", func(s *decl.Set) { s.Classes = append(s.Classes, decl.Class{Name: "new"}) }, nil},
		{"key granted", func(s *decl.Set) { s.Teams[0] = s.Teams[0].WithKeys([]model.KeyHash{keyA, keyB}) }, nil},
		{"keys withdrawn", func(s *decl.Set) { s.Teams[0].Keys = nil }, nil},
		{"data centre out", func(s *decl.Set) { s.DataCentres[0].Service = decl.OutOfService }, nil},
		{"data centre removed", func(s *decl.Set) { s.DataCentres = s.DataCentres[1:] }, nil},
		{
			"team added", func(s *decl.Set) {
				s.Teams = append(s.Teams, decl.Team{Name: "new", Organisation: "harbour", Share: 1})
			}, nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next := edit(old, test.change)
			assert.DeepEqual(t, decl.Approvers(old, next), test.want)
			applied, err := old.Apply(decl.Diff(old, next))
			assert.NilError(t, err)
			assert.Assert(t, applied.Equal(next), "diff and apply must agree: %s", decl.RenderDiff(next, applied))
			assert.Equal(t, decl.RenderDiff(old, next) == "", decl.Diff(old, next).Empty())
		})
	}
}

// Guards against a patch that puts an object without its keys or state of service and thereby removes them.
func TestApplyKeepsWhatAPatchLeavesOut(t *testing.T) {
	old := exampleSet(t).Inherit(decl.Set{})
	old, err := old.Apply(parsePatch(t, `{"put": {"data-centres": [{"name": "dc1", "region": "west", "service": "out"}]}}`))
	assert.NilError(t, err)
	next, err := old.Apply(parsePatch(t, `{"put": {
		"teams": [{"name": "billing", "organisation": "orchard", "share": 5}],
		"data-centres": [{"name": "dc1", "region": "east"}, {"name": "dc9", "region": "east"}]}}`))
	assert.NilError(t, err)
	before, _ := old.Team("billing")
	team, _ := next.Team("billing")
	assert.DeepEqual(t, team.Keys, before.Keys)
	holder, ok := next.KeyHolder(before.Keys[0])
	assert.Assert(t, ok)
	assert.Equal(t, holder, model.TeamID("billing"))
	first, _ := next.DataCentre("dc1")
	assert.Equal(t, first.Service, decl.OutOfService)
	added, _ := next.DataCentre("dc9")
	assert.Equal(t, added.Service, decl.InService)
}

// Guards against a state whose encoding depends on the order in which the same declarations were put in force.
func TestApplySortsByName(t *testing.T) {
	parts := []string{
		`{"put": {"data-centres": [{"name": "dc2", "region": "west"}]}}`,
		`{"put": {"data-centres": [{"name": "dc1", "region": "west"}]}}`,
	}
	encodings := make([]string, 2)
	for i := range encodings {
		var set decl.Set
		for _, part := range parts {
			var err error
			set, err = set.Apply(parsePatch(t, part))
			assert.NilError(t, err)
		}
		data, err := json.Marshal(set)
		assert.NilError(t, err)
		encodings[i] = string(data)
		slices.Reverse(parts)
	}
	assert.Equal(t, encodings[0], encodings[1])
}

// Guards against a change with a mistyped name that succeeds without effect, above all when a key is withdrawn.
func TestApplyRefusesUnknownObjects(t *testing.T) {
	set := exampleSet(t)
	tests := []string{
		`{"remove": {"teams": ["nobody"]}}`,
		`{"remove": {"classes": ["nothing"]}}`,
		`{"grant-keys": [{"team": "nobody", "key": "` + string(keyA) + `"}]}`,
		`{"withdraw-keys": [{"team": "billing", "key": "` + string(keyA) + `"}]}`,
	}
	for _, test := range tests {
		_, err := set.Apply(parsePatch(t, test))
		assert.Assert(t, errors.Is(err, decl.ErrNotDeclared), "%s: %v", test, err)
	}
}

// Guards against the withdrawal of a key that is delayed because the same change alters terms that need approval.
func TestSplit(t *testing.T) {
	old := exampleSet(t).Inherit(decl.Set{})
	next := edit(old, func(s *decl.Set) {
		s.Teams[0].Share, s.Teams[0].Keys = 9, []model.KeyHash{keyA}
		s.DataCentres[0].Service = decl.OutOfService
	})
	now, rest := decl.Diff(old, next).Split()
	immediate, err := old.Apply(now)
	assert.NilError(t, err)
	assert.Equal(t, len(decl.Approvers(old, immediate)), 0)
	team, _ := immediate.Team(old.Teams[0].Name)
	assert.DeepEqual(t, team.Keys, []model.KeyHash{keyA})
	whole, err := immediate.Apply(rest)
	assert.NilError(t, err)
	assert.Assert(t, whole.Equal(next))
}

// Guards against a displayed difference that omits part of the change.
func TestRender(t *testing.T) {
	old := exampleSet(t).Inherit(decl.Set{})
	next := edit(old, func(s *decl.Set) {
		s.Teams[0].Share = 9
		s.Teams[1].Keys = nil
		s.Classes = s.Classes[:4]
		s.DataCentres[2].Service = decl.Lost
	})
	assert.Equal(t, decl.RenderDiff(old, next), "~ team pricing: share 4 -> 9\n"+
		"- key "+decl.ShortKey(old.Teams[1].Keys[0])+" of team logistics\n"+
		"- class scoring\n"+
		"~ data centre dc3: service in -> lost\n")
}

func parsePatch(t *testing.T, text string) decl.Patch {
	t.Helper()
	patch, err := decl.ParsePatch("patch.json", []byte(text))
	assert.NilError(t, err)
	return patch
}
