package proof

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"arbutuswing.example/caller/internal/batch"
	"arbutuswing.example/caller/internal/entry"
	"arbutuswing.example/caller/internal/load"
	"arbutuswing.example/internal/model"
)

func serve(t *testing.T, body string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) }}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// TestCheckRuns guards against a comparison that misses a request that ran twice, was refused though it ran, or was
// answered though it did not.
func TestCheckRuns(t *testing.T) {
	tests := []struct {
		name string
		end  load.End
		ran  string
		want Runs
	}{
		{"answered", load.End{Outcome: entry.Answered}, "1", Runs{}},
		{"idempotent, twice", load.End{Outcome: entry.Answered, Idempotent: true}, "2", Runs{}},
		{"twice", load.End{Outcome: entry.Answered}, "2", Runs{RanAgain: 1}},
		{"unknown, twice", load.End{Outcome: entry.Unknown}, "2", Runs{RanAgain: 1}},
		{"unknown, once", load.End{Outcome: entry.Unknown}, "1", Runs{}},
		{"refused", load.End{Outcome: entry.NotRun}, "0", Runs{}},
		{"refused, ran", load.End{Outcome: entry.NotRun, Idempotent: true}, "1", Runs{RefusedButRan: 1}},
		{"answered, never ran", load.End{Outcome: entry.Answered}, "0", Runs{AnsweredWithoutRun: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, `{"runs-by-request":{"r":`+test.ran+`}}`)
			got, err := CheckRuns(t.Context(), []string{address}, load.Result{Ends: map[string]load.End{"r": test.end}})
			assert.NilError(t, err)
			got.Examples = nil
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestCheckWork guards against a comparison that misses lost or doubled tasks, or blames those of other jobs.
func TestCheckWork(t *testing.T) {
	address := serve(t, `{"violations":{"overlapping-runs":1},"tasks":{
		"lost/0":{"starts":1},"twice/0":{"completions":2,"acknowledged":2},"again/0":{"completions":2,"acknowledged":1},
		"fine/0":{"completions":1,"acknowledged":1,"after-lost":1},"once/0":{"after-lost":1},"foreign/0":{"completions":2,"acknowledged":2}}}`)
	work, err := CheckWork(t.Context(), address, batch.Result{
		Denied: 1, Succeeded: map[model.JobID]int{"lost": 1, "twice": 1, "again": 1, "fine": 1, "once": 0},
		Once: map[model.JobID]bool{"once": true, "fine": false},
	})
	assert.NilError(t, err)
	assert.Equal(t, work.Lost, 2)
	assert.Equal(t, work.Doubled, 1)
	assert.Equal(t, work.CompletedAgain, 2)
	assert.Equal(t, work.Rerun, 1)
	assert.Equal(t, work.Problems(), 5)
}
