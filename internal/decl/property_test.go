package decl_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

func drawSet(t *rapid.T, label string) decl.Set {
	var set decl.Set
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 5, rapid.ID[int])
	for _, n := range names.Draw(t, label+" organisations") {
		set.Organisations = append(set.Organisations, decl.Organisation{Name: model.OrganisationID(fmt.Sprint("o", n))})
	}
	for _, n := range names.Draw(t, label+" teams") {
		team := decl.Team{Name: model.TeamID(fmt.Sprint("t", n)), Share: float64(rapid.IntRange(1, 3).Draw(t, "share"))}
		team.Organisation = model.OrganisationID(fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "organisation")))
		for _, k := range names.Draw(t, "keys") {
			team.Keys = append(team.Keys, model.HashKey(fmt.Sprint(n, k)))
		}
		set.Teams = append(set.Teams, team)
	}
	for _, n := range names.Draw(t, label+" classes") {
		class := decl.Class{Name: model.ClassID(fmt.Sprint("c", n)), Open: rapid.Bool().Draw(t, "open")}
		class.Target.StartedWithin = model.Duration(rapid.IntRange(0, 2).Draw(t, "target"))
		set.Classes = append(set.Classes, class)
	}
	for _, n := range names.Draw(t, label+" data centres") {
		service := rapid.SampledFrom([]decl.ServiceState{decl.InService, decl.OutOfService, decl.Lost}).Draw(t, "service")
		set.DataCentres = append(set.DataCentres, decl.DataCentre{Name: model.DataCentreID(fmt.Sprint("d", n)), Service: service})
	}
	return set.Indexed()
}

// Guards against a patch from Diff that, once encoded, decoded and applied, does not yield the new declarations, and
// against a change that takes effect without approval although it alters terms.
func TestDiffThenApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawSet(t, "old"), drawSet(t, "new")
		data, err := json.Marshal(decl.Diff(old, next))
		assert.NilError(t, err)
		patch, err := decl.ParsePatch("patch.json", data)
		assert.NilError(t, err)
		applied, err := old.Apply(patch)
		assert.NilError(t, err)
		assert.Assert(t, applied.Equal(next), decl.RenderDiff(next, applied))

		now, rest := decl.Diff(old, next).Split()
		immediate, err := old.Apply(now)
		assert.NilError(t, err)
		assert.Equal(t, len(decl.Approvers(old, immediate)), 0)
		both, err := immediate.Apply(rest)
		assert.NilError(t, err)
		assert.Assert(t, both.Equal(next), decl.RenderDiff(next, both))
	})
}
