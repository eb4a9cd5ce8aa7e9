package strict_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/strict"
)

type inner struct {
	Count int            `json:"count"`
	Wait  model.Duration `json:"wait"`
}

type outer struct {
	Name  string  `json:"name"`
	On    bool    `json:"on"`
	Part  float64 `json:"part"`
	Inner *inner  `json:"inner"`
	List  []inner `json:"list"`
}

// Guards against errors that encoding/json does not detect or reports only with a byte offset.
func TestDecodeProblems(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", `{"nam": "x"}`, `f.json:1:2: unknown key "nam"`},
		{"other case", `{"Name": "x"}`, `f.json:1:2: unknown key "Name"`},
		{"repeated key", `{"name": "x", "name": "y"}`, `f.json:1:15: repeated key "name"`},
		{"wrong type", "{\n  \"name\": 7\n}", `f.json:2:11: name: must be text`},
		{"not an object", `[]`, `f.json:1:1: must be an object`},
		{"not a list", `{"list": {}}`, `f.json:1:10: list: must be a list`},
		{"fraction", `{"inner": {"count": 1.5}}`, `f.json:1:21: inner.count: must be a whole number`},
		{"null", `{"name": null}`, `f.json:1:10: name: must not be null`},
		{"in a list", `{"list": [{}, {"count": "x"}]}`, `f.json:1:25: list[1].count: must be a whole number`},
		{
			"two problems", `{"on": 1, "part": "x"}`,
			"f.json:1:8: on: must be true or false\nf.json:1:19: part: must be a number",
		},
		{"after non-ASCII letters", `{"name": "åäö", "on": 1}`, `f.json:1:23: on: must be true or false`},
		{"syntax", "{\n  \"name\": \"x\",\n}", `f.json:3:1: not JSON: invalid character '}' looking for beginning of object key string`},
		{"empty", ``, `f.json:1:1: not JSON: unexpected end of JSON input`},
		{"trailing text", `{} {}`, `f.json:1:4: not JSON: invalid character '{' after top-level value`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var into outer
			_, err := strict.Decode("f.json", []byte(test.text), &into)
			assert.Error(t, err, test.want)
			var problems strict.Problems
			assert.Assert(t, errors.As(err, &problems))
		})
	}
}

// Guards against problems found after decoding that are reported for the wrong place.
func TestProblemLocatesNearestValue(t *testing.T) {
	var into outer
	doc, err := strict.Decode("f.json", []byte("{\n \"list\": [\n  {\"count\": 1},\n  {\"wait\": \"2s\"}\n ]\n}"), &into)
	assert.NilError(t, err)
	tests := []struct{ path, want string }{
		{"list[1].wait", "f.json:4:12: list[1].wait: bad"},
		{"list[1].count", "f.json:4:3: list[1].count: bad"},
		{"list[7]", "f.json:2:10: list[7]: bad"},
		{"list[-1]", "f.json:2:10: list[-1]: bad"},
		{"name", "f.json:1:1: name: bad"},
		{"", "f.json:1:1: bad"},
	}
	for _, test := range tests {
		assert.Equal(t, doc.Problem(test.path, "bad").Error(), test.want)
	}
}
