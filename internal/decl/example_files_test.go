package decl_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
)

const examples = "../../examples"

func exampleSet(t *testing.T) decl.Set {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(examples, "declarations", "*.json"))
	assert.NilError(t, err)
	sets := make([]decl.Set, 0, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		set, err := decl.ParseSet(filepath.Base(path), data)
		assert.NilError(t, err)
		sets = append(sets, set)
	}
	return decl.Merge(sets...)
}

// Guards against example declarations that fail validation.
func TestExampleDeclarationsAreValid(t *testing.T) {
	set := exampleSet(t)
	assert.Equal(t, len(decl.Check(set)), 0, "%v", decl.Check(set))
	assert.Equal(t, len(set.DataCentres), 3)
	assert.Equal(t, len(set.Teams), 4)
	assert.Equal(t, len(set.Classes), 5)
}

// Guards against problems that are missed, reported twice or reported for the wrong place.
func TestBrokenDeclarations(t *testing.T) {
	tests := []struct{ file, want string }{
		{
			"bad-zone.json",
			`bad-zone.json:5:55: classes[0].target.done-by.zone: unknown time zone "Mars/Olympus"`,
		},
		{
			"duplicate-name.json",
			`duplicate-name.json:4:14: data-centres[1].name: "dc1" is declared twice`,
		},
		{
			"duration-without-unit.json",
			`duration-without-unit.json:3:53: classes[0].target.answered-within: duration must be text such as "250ms": 2`,
		},
		{
			"negative-limit.json",
			`negative-limit.json:9:26: teams[1].limit.tasks: must not be negative`,
		},
		{
			"no-data-centre.json",
			`no-data-centre.json:1:1: data-centres: at least one data centre must be declared`,
		},
		{
			"plain-key.json",
			`plain-key.json:10:9: teams[0].keys[1]: must be a SHA-256 in lower-case hexadecimal (64 digits)`,
		},
		{
			"two-targets.json",
			`two-targets.json:3:33: classes[0].target: at most one of answered-within, started-within and done-by may be set`,
		},
		{
			"unknown-key.json",
			`unknown-key.json:4:64: teams[0]: unknown key "weight"`,
		},
		{
			"unknown-organisation.json",
			`unknown-organisation.json:4:41: teams[0].organisation: unknown organisation "harbor"`,
		},
		{
			"zero-share.json",
			`zero-share.json:4:61: teams[0].share: must be greater than 0`,
		},
	}
	files, err := filepath.Glob(filepath.Join(examples, "broken", "*.json"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), len(tests), "every broken example needs a row")
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(examples, "broken", test.file))
			assert.NilError(t, err)
			assert.Equal(t, problemsOf(test.file, data), test.want)
		})
	}
}

func problemsOf(file string, data []byte) string {
	set, err := decl.ParseSet(file, data)
	if err != nil {
		return err.Error()
	}
	problems := decl.Check(set)
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
