package strict_test

import (
	"encoding/json"
	"testing"

	"arbutuswing.example/internal/strict"
)

// Guards against documents that make the decoder panic, and against documents that it accepts although encoding/json
// rejects them.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"name": "x", "on": true, "part": 1.5, "inner": {"count": 1, "wait": "2s"}, "list": [{"count": 2}, {}]}`,
		`{"list": [[], null, 7]}`, `{"":{}}`, `[`, `"\ud800"`, "{\"name\": \"\xff\"}", ` {} x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var into, plain outer
		doc, err := strict.Decode("f.json", data, &into)
		if err == nil && json.Unmarshal(data, &plain) != nil {
			t.Fatalf("accepted a document that encoding/json rejects: %q", data)
		}
		if doc != nil {
			_ = doc.Problem("list[1].count", "bad").Error()
		}
	})
}
