package decl_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// Guards against a validation that accepts declarations which break the state machine or an invariant. The sets are
// changed after parsing, so problems are located by the object's name instead of its place in a file.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*decl.Set)
		want   string
	}{
		{"no name", func(s *decl.Set) { s.Classes[0].Name = "" }, "classes[].name: must be set"},
		{"name with capitals", func(s *decl.Set) { s.Teams[0].Name = "Pricing" }, "teams[Pricing].name: must be kebab case, start with a letter and have at most 63 characters"},
		{"name twice", func(s *decl.Set) { s.Classes = append(s.Classes, s.Classes[0]) }, `classes[quote].name: "quote" is declared twice`},
		{"key of two teams", func(s *decl.Set) { s.Teams[1].Keys = s.Teams[0].Keys }, `teams[logistics].keys[0]: the key is already granted to team "pricing"`},
		{"key twice", func(s *decl.Set) { s.Teams[0].Keys = []model.KeyHash{keyA, keyA} }, "teams[pricing].keys[1]: the key is listed twice"},
		{
			"approval key of two organisations", func(s *decl.Set) { s.Organisations[1].ApprovalKey = s.Organisations[0].ApprovalKey },
			`organisations[orchard].approval-key: the key is already that of organisation "harbour"`,
		},
		{"negative share", func(s *decl.Set) { s.Teams[0].Share = -1 }, "teams[pricing].share: must be greater than 0"},
		{"negative memory", func(s *decl.Set) { s.Teams[0].Limit.Resources.Memory = -1 }, "teams[pricing].limit.resources.memory-mib: must not be negative"},
		{"negative target", func(s *decl.Set) { s.Classes[0].Target.AnsweredWithin = -1 }, "classes[quote].target.answered-within: must be positive"},
		{"local zone", func(s *decl.Set) { s.Classes[1].Target.DoneBy = &decl.DoneBy{Time: "06:00", Zone: "Local"} }, `classes[planning].target.done-by.zone: must be a time zone such as "UTC" or "Asia/Kolkata"`},
		{"time", func(s *decl.Set) { s.Classes[1].Target.DoneBy = &decl.DoneBy{Time: "24:00", Zone: "UTC"} }, "classes[planning].target.done-by.time: must be a time of day from 00:00 to 23:59"},
		{"service", func(s *decl.Set) { s.DataCentres[0].Service = "on" }, `data-centres[dc1].service: must be "in", "out" or "lost"`},
		{"region", func(s *decl.Set) { s.DataCentres[0].Region = "" }, "data-centres[dc1].region: must be kebab case, start with a letter and have at most 63 characters"},
		{"no data centre", func(s *decl.Set) { s.DataCentres = nil }, "data-centres: at least one data centre must be declared"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			problems := decl.Check(edit(exampleSet(t), test.change))
			assert.Equal(t, len(problems), 1, "%v", problems)
			assert.Equal(t, problems[0].Error(), test.want)
		})
	}
}

// Guards against problems of merged files that are reported for the wrong file.
func TestMergeKeepsPlaces(t *testing.T) {
	first, err := decl.ParseSet("a.json", []byte(`{"data-centres": [{"name": "dc1", "region": "west"}]}`))
	assert.NilError(t, err)
	second, err := decl.ParseSet("b.json", []byte("{\"data-centres\": [\n  {\"name\": \"dc2\"}]}"))
	assert.NilError(t, err)
	problems := decl.Check(decl.Merge(first, second))
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Error(), "b.json:2:3: data-centres[0].region: must be kebab case, start with a letter and have at most 63 characters")
}

func BenchmarkApplyKey(b *testing.B) {
	set := largeSet()
	patch := decl.Patch{GrantKeys: []decl.KeyChange{{Team: set.Teams[7].Name, Key: keyA}}}
	for b.Loop() {
		if _, err := set.Apply(patch); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkKeyHolder(b *testing.B) {
	set := largeSet()
	for b.Loop() {
		if _, ok := set.KeyHolder(set.Teams[7].Keys[0]); !ok {
			b.Fatal("key not found")
		}
	}
}
