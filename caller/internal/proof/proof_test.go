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

// TestCheckRequests guards against a comparison that misses a request that ran twice, ran although it was refused, or
// was answered although it did not run.
func TestCheckRequests(t *testing.T) {
	tests := []struct {
		name    string
		outcome load.RequestOutcome
		ran     string
		want    RequestReport
	}{
		{"answered", load.RequestOutcome{Outcome: entry.Answered}, "1", RequestReport{}},
		{"idempotent, twice", load.RequestOutcome{Outcome: entry.Answered, Idempotent: true}, "2", RequestReport{}},
		{"twice", load.RequestOutcome{Outcome: entry.Answered}, "2", RequestReport{RanMoreThanOnce: 1}},
		{"unknown, twice", load.RequestOutcome{Outcome: entry.Unknown}, "2", RequestReport{RanMoreThanOnce: 1}},
		{"unknown, once", load.RequestOutcome{Outcome: entry.Unknown}, "1", RequestReport{}},
		{"refused", load.RequestOutcome{Outcome: entry.NotRun}, "0", RequestReport{}},
		{"refused, ran", load.RequestOutcome{Outcome: entry.NotRun, Idempotent: true}, "1", RequestReport{RefusedButRan: 1}},
		{"answered, never ran", load.RequestOutcome{Outcome: entry.Answered}, "0", RequestReport{AnsweredWithoutRun: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, `{"runs-by-request":{"r":`+test.ran+`}}`)
			got, err := CheckRequests(t.Context(), []string{address},
				load.Result{Outcomes: map[string]load.RequestOutcome{"r": test.outcome}})
			assert.NilError(t, err)
			got.Examples = nil
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestCheckJobs guards against a comparison that misses lost or duplicated tasks, or counts tasks of jobs that it did
// not submit.
func TestCheckJobs(t *testing.T) {
	address := serve(t, `{"violations":{"overlapping-runs":1},"tasks":{
		"lost/0":{"starts":1},"twice/0":{"completions":2,"acknowledged":2},"again/0":{"completions":2,"acknowledged":1},
		"fine/0":{"completions":1,"acknowledged":1,"after-lost":1},"once/0":{"after-lost":1},"foreign/0":{"completions":2,"acknowledged":2}}}`)
	report, err := CheckJobs(t.Context(), address, batch.Result{
		NotFound: 1, Succeeded: map[model.JobID]int{"lost": 1, "twice": 1, "again": 1, "fine": 1, "once": 0},
		NoRerun: map[model.JobID]bool{"once": true, "fine": false},
	})
	assert.NilError(t, err)
	assert.Equal(t, report.Lost, 2)
	assert.Equal(t, report.DuplicateAcknowledgements, 1)
	assert.Equal(t, report.DuplicateCompletions, 2)
	assert.Equal(t, report.RerunAfterUnknown, 1)
	assert.Equal(t, report.Problems(), 5)
}
