package work

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/model"
)

// TestDecodeOddRecords guards against an odd record that is used, or that ends the process.
func TestDecodeOddRecords(t *testing.T) {
	const stage = `"stages":[{"count":1,"size":{"milli-cores":1,"memory-mib":1}}]`
	huge := strings.Repeat("9", 30)
	tests := []struct{ name, job, progress string }{
		{"nothing", "", ""},
		{"not JSON", "\xff", "\xff"},
		{"another type", "[]", "[]"},
		{"deeply nested", strings.Repeat("[", 30_000), `{"tasks":` + strings.Repeat("[", 30_000)},
		{"no stages", `{"id":"j"}`, `{"final":"unknown"}`},
		{"negative", `{"stages":[{"count":-1}]}`, `{"tasks":[{"occurrence":-1}]}`},
		{"beyond its type", `{"stages":[{"count":` + huge + `}]}`, `{"tasks":[{"index":` + huge + `}]}`},
		{"beyond memory", `{"occurrences":2000000000,` + stage + `}`, `{"tasks":[{"last-run":-1}]}`},
		{"stage after itself", `{"stages":[{"count":1,"after":[0]}]}`, `{"tasks":[{"bindings":[{"run":1,"worker":"w"}]}]}`},
		{"1 MB", `{"stages":"` + strings.Repeat("x", 1<<20) + `"}`, `{"tasks":"` + strings.Repeat("x", 1<<20) + `"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := DecodeJob([]byte(tt.job))
			assert.ErrorIs(t, err, ErrInvalidJob)
			_, err = DecodeProgress([]byte(tt.progress))
			assert.ErrorIs(t, err, ErrInvalidProgress)
		})
	}
}

// validJob has all fields that a decoder reads.
var validJob = Job{
	ID: "j", Queue: "q", Team: "t", Payload: "p", Accepted: time.Unix(1, 0), Occurrences: 2, Start: time.Unix(2, 0),
	Interval: model.Duration(time.Second),
	Stages:   []Stage{{Count: 2, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)}, {Count: 1, After: []int{0}}},
}

func FuzzDecodeJob(f *testing.F) {
	data, err := validJob.Encode()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		job, err := DecodeJob(data)
		if err != nil {
			return
		}
		// A job without occurrences starts at once, whatever its start time.
		overflow := job.Occurrences > 0 && job.OccurrenceStart(job.Occurrences).Before(job.Start)
		if overflow || job.CriticalPathTime(0) < 0 {
			t.Fatalf("overflow in %+v", job)
		}
	})
}

func FuzzDecodeProgress(f *testing.F) {
	data, err := Progress{Begun: true, Tasks: []TaskProgress{{LastRun: 1, Bindings: []Binding{{Run: 1, Worker: "w", Incarnation: 5}}}}}.Encode()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodeProgress(data)
		if err != nil {
			return
		}
		if _, err := p.Encode(); err != nil {
			t.Fatalf("%+v: %v", p, err)
		}
	})
}

// TestEncodedProgressIsJSON guards against a stored form that another version can't read.
func TestEncodedProgressIsJSON(t *testing.T) {
	text := rapid.OneOf(rapid.String(), rapid.StringMatching("[a-z0-9-]{0,12}"))
	binding := rapid.Custom(func(t *rapid.T) Binding {
		return Binding{
			Run: rapid.IntRange(0, 9).Draw(t, "run"), Worker: model.WorkerID(text.Draw(t, "worker")),
			Incarnation: rapid.Int64().Draw(t, "incarnation"), Settled: rapid.Bool().Draw(t, "settled"),
		}
	})
	task := rapid.Custom(func(t *rapid.T) TaskProgress {
		return TaskProgress{
			Occurrence: rapid.IntRange(0, 2).Draw(t, "occurrence"), Stage: rapid.IntRange(0, 2).Draw(t, "stage"),
			Index: rapid.IntRange(0, 2).Draw(t, "index"), Done: rapid.Bool().Draw(t, "done"),
			LastRun:    rapid.IntRange(0, 3).Draw(t, "last run"),
			FailedRuns: rapid.SliceOfN(rapid.IntRange(1, 5), 0, 3).Draw(t, "failed"),
			Bindings:   rapid.SliceOfN(binding, 0, 2).Draw(t, "bindings"), Checkpoint: text.Draw(t, "checkpoint"),
			Settled: rapid.Bool().Draw(t, "settled"), LateStartOn: model.WorkerID(text.Draw(t, "late start on")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		p := Progress{
			Final: State(text.Draw(t, "final")), Begun: rapid.Bool().Draw(t, "begun"),
			Tasks: rapid.SliceOfN(task, 0, 3).Draw(t, "tasks"),
		}
		want, err := json.Marshal(p)
		assert.NilError(t, err)
		got, err := p.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(want))
	})
}

func BenchmarkEncodeProgress(b *testing.B) {
	p := Progress{Begun: true}
	for i := range 50 {
		p.Tasks = append(p.Tasks, TaskProgress{Index: i, LastRun: 1, Bindings: []Binding{{Run: 1, Worker: "i-b2b7de3faa", Incarnation: 1760000000000}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		_, err := p.Encode()
		assert.NilError(b, err)
	}
}

// TestSplitProgress guards against a version that knows only whole records and takes a split job for one without progress.
func TestSplitProgress(t *testing.T) {
	data, err := Progress{Begun: true, Split: true}.Encode()
	assert.NilError(t, err)
	p, err := DecodeProgress(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, p, Progress{Begun: true, Split: true})
	assert.Assert(t, json.Unmarshal(data, &Progress{}) != nil)
}

func TestProgressKeys(t *testing.T) {
	tests := []struct {
		key  string
		id   model.JobID
		part int
		ok   bool
	}{
		{"5c0e7a21d94b36f8", "5c0e7a21d94b36f8", 0, true},
		{"5c0e7a21d94b36f8/12", "5c0e7a21d94b36f8", 12, true},
		{"a/0", "", 0, false},
		{"a/-1", "", 0, false},
		{"a/01", "", 0, false},
		{"a/x", "", 0, false},
		{"a/1/2", "", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.key, func(t *testing.T) {
			id, part, err := ParseProgressKey(tt.key)
			assert.Equal(t, errors.Is(err, ErrInvalidProgress), !tt.ok)
			assert.Equal(t, id, tt.id)
			assert.Equal(t, part, tt.part)
			if tt.ok {
				assert.Equal(t, ProgressKey(id, part), tt.key)
			}
		})
	}
}

// TestProgressOfOtherVersions guards against records that a version before or after can't read: one that doesn't know which starts are
// settled takes none for settled.
func TestProgressOfOtherVersions(t *testing.T) {
	p, err := DecodeProgress([]byte(`{"begun":true,"tasks":[{"last-run":1,"bindings":[{"run":1,"worker":"w","born":5}]}]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, p.Tasks, []TaskProgress{{LastRun: 1, Bindings: []Binding{{Run: 1, Worker: "w", Incarnation: 5}}}})

	p.Tasks[0].Settled, p.Tasks[0].Bindings[0].Settled = true, true
	p.Tasks = append(p.Tasks, TaskProgress{Index: 1, LastRun: 2, LateStartOn: "w"})
	data, err := p.Encode()
	assert.NilError(t, err)
	again, err := DecodeProgress(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, p)
	// What the version before reads.
	var stored struct {
		Tasks []struct {
			LastRun  int `json:"last-run"`
			Bindings []struct {
				Run    int            `json:"run"`
				Worker model.WorkerID `json:"worker"`
			} `json:"bindings"`
		} `json:"tasks"`
	}
	assert.NilError(t, json.Unmarshal(data, &stored))
	assert.Equal(t, len(stored.Tasks), 2)
	assert.Equal(t, stored.Tasks[0].Bindings[0].Worker, model.WorkerID("w"))
	assert.Equal(t, stored.Tasks[1].LastRun, 2)
}
