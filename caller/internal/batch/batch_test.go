package batch

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/caller/internal/entry"
	"arbutuswing.example/caller/internal/setup"
	"arbutuswing.example/internal/model"
)

// TestExample guards against example files that do not hold the jobs and keys that the demo needs.
func TestExample(t *testing.T) {
	jobs, err := Read("../../../examples/jobs.json", "x-")
	assert.NilError(t, err)
	kinds := make(map[model.JobKind]int)
	ids := make(map[model.JobID]bool)
	for _, spec := range jobs {
		kinds[spec.Kind]++
		ids[spec.ID] = true
		assert.Assert(t, strings.HasPrefix(string(spec.ID), "x-"))
	}
	assert.DeepEqual(t, kinds, map[model.JobKind]int{model.KindGang: 1, model.KindBatch: 300, model.KindService: 1})
	assert.Equal(t, len(ids), len(jobs))
	keys, err := setup.LoadKeys("../../../examples/keys.json")
	assert.NilError(t, err)
	for _, spec := range jobs {
		assert.Assert(t, keys[spec.Team] != "")
	}
}

// fakeEntry acts as an entry instance: every second call fails, and each poll completes one task of a job or places the
// service.
type fakeEntry struct {
	mu    sync.Mutex
	calls int
	jobs  map[string]*Status
}

func (s *fakeEntry) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.calls%2 == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(`{"outcome":"not-run"}`)
		return
	}
	id := strings.TrimPrefix(string(ctx.Path()), "/v1/jobs/")
	switch {
	case string(ctx.Path()) == "/v1/jobs":
		var spec model.JobSpec
		_ = json.Unmarshal(ctx.PostBody(), &spec)
		s.jobs[string(spec.ID)] = &Status{ID: spec.ID, Tasks: spec.Tasks}
		id = string(spec.ID)
	case id == "cancel":
		for _, job := range s.jobs {
			if job.Phases["bound"] > 0 {
				job.Cancelled, job.Done, job.Outcomes = true, job.Tasks, map[string]int{"stopped": job.Tasks}
			}
		}
		return
	case id == "service":
		s.jobs[id].Phases = map[string]int{"bound": s.jobs[id].Tasks}
	default:
		s.jobs[id].Done++
		s.jobs[id].Outcomes = map[string]int{"succeeded": s.jobs[id].Done}
	}
	data, _ := json.Marshal(s.jobs[id])
	ctx.SetBody(data)
}

// TestBatch guards against jobs that are given up too early, services that are never cancelled, and wrong counts.
func TestBatch(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: (&fakeEntry{jobs: make(map[string]*Status)}).handle}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	client, err := entry.New([]string{listener.Addr().String()})
	assert.NilError(t, err)
	settings := setup.Settings{}.WithDefaults().Jobs
	settings.Poll = model.Duration(time.Millisecond)
	jobs := make([]model.JobSpec, 6)
	for n := range jobs {
		jobs[n] = model.JobSpec{ID: model.JobID(fmt.Sprintf("job-%d", n)), Kind: model.KindBatch, Tasks: 3}
	}
	jobs[5] = model.JobSpec{ID: "service", Kind: model.KindService, Tasks: 2}
	result := New(Config{Settings: settings, Jobs: jobs, Entry: client, Log: zap.NewNop()}).Run(t.Context())
	assert.Equal(t, result.Accepted, 6)
	assert.Equal(t, result.Done, 6)
	assert.DeepEqual(t, result.Outcomes, map[string]int{"succeeded": 15, "stopped": 2})
	assert.Equal(t, result.Succeeded["job-0"], 3)
}
