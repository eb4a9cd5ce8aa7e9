package record_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// operations has one value of each kind.
var operations = []record.Op{
	record.MemberJoined{},
	record.MemberLeft{},
	record.Change{},
	record.Proposal{},
	record.Verdict{},
	record.JobAccepted{},
	record.JobCancelled{},
	record.JobRefused{},
	record.WorkerSeen{},
	record.WorkerSuspected{},
	record.WorkerCleared{},
	record.WorkerLost{},
	record.Taken{},
	record.Pulled{},
	record.Ended{},
	record.SnapshotPart{},
}

// drawOp returns an operation of a random kind with random values.
func drawOp(t *rapid.T) record.Op {
	out := reflect.New(reflect.TypeOf(rapid.SampledFrom(operations).Draw(t, "kind"))).Elem()
	fillRandom(t, out)
	op, _ := out.Interface().(record.Op)
	return op
}

func fillRandom(t *rapid.T, value reflect.Value) {
	switch target := value.Addr().Interface().(type) {
	case *model.AttemptID:
		*target = model.AttemptID{Number: rapid.IntRange(0, 9).Draw(t, "number"), Task: model.TaskID{
			Job: model.JobID(rapid.StringMatching(`[a-z/0-9]{1,9}`).Draw(t, "job")), Index: rapid.IntRange(0, 9).Draw(t, "index"),
		}}
		return
	case *json.RawMessage:
		*target = json.RawMessage(rapid.SampledFrom([]string{`{}`, `{"put":{"teams":[]}}`}).Draw(t, "contents"))
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fillRandom(t, value.Field(i))
		}
	case reflect.String:
		value.SetString(rapid.String().Draw(t, "text"))
	case reflect.Bool:
		value.SetBool(rapid.Bool().Draw(t, "flag"))
	case reflect.Int, reflect.Int64:
		value.SetInt(rapid.Int64().Draw(t, "number"))
	case reflect.Slice:
		n := rapid.IntRange(1, 3).Draw(t, "length")
		value.Set(reflect.MakeSlice(value.Type(), n, n))
		for i := range n {
			fillRandom(t, value.Index(i))
		}
	case reflect.Uint8:
		value.SetUint(rapid.Uint64Range(0, 255).Draw(t, "byte"))
	default:
		t.Fatalf("no random values for type %s", value.Type())
	}
}

// TestCodec guards against operations that lose a field or change their kind when encoded and decoded.
func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := record.Envelope{
			Writer:      model.InstanceID(rapid.String().Draw(t, "writer")),
			Incarnation: model.Incarnation(rapid.Int64().Draw(t, "incarnation")),
			Sequence:    rapid.Int64().Draw(t, "sequence"), Time: rapid.Int64().Draw(t, "time"), Ops: []record.Op{},
		}
		for range rapid.IntRange(0, 4).Draw(t, "operations") {
			env.Ops = append(env.Ops, drawOp(t))
		}
		data, err := record.Encode(env)
		assert.NilError(t, err)
		decoded, err := record.Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, env)
	})
}

// TestMalformed guards against accepting records that this version cannot decode completely.
func TestMalformed(t *testing.T) {
	tests := []struct{ name, data string }{
		{"no JSON", `{`},
		{"other version", `{"version":2}`},
		{"unknown kind", `{"version":1,"ops":[{"kind":"job-moved","body":{}}]}`},
		{"wrong type", `{"version":1,"ops":[{"kind":"member-left","body":{"incarnation":"1"}}]}`},
		{"malformed attempt", `{"version":1,"ops":[{"kind":"taken","body":{"attempt":"j/x/1"}}]}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := record.Decode([]byte(test.data))
			assert.ErrorIs(t, err, record.ErrMalformed)
		})
	}
}

// TestKinds guards against two operations with the same kind and against kinds that are not in lower case.
func TestKinds(t *testing.T) {
	seen := make(map[record.Kind]bool)
	for _, op := range operations {
		kind := record.KindOf(op)
		assert.Assert(t, kind != "" && !seen[kind], "%T", op)
		assert.Equal(t, string(kind), strings.ToLower(string(kind)))
		seen[kind] = true
	}
}
