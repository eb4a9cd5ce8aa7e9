package load

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
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

// scriptedEntry acts as an entry instance that answers tries in a fixed order; its last answer repeats.
type scriptedEntry struct {
	steps []string

	mu  sync.Mutex
	ids []string
}

const (
	echo            = "echo"
	other           = "other"
	notRun          = "not-run"
	unknown         = "unknown"
	conflict        = "conflict"
	noOutcome       = "broken"
	closeConnection = "hang-up"
)

func (s *scriptedEntry) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(ctx.Path()) == "/v1/request-ids" {
		ctx.SetBodyString(`{"request-ids":["issued-` + strconv.Itoa(len(s.ids)) + `"]}`)
		return
	}
	s.ids = append(s.ids, string(ctx.Request.Header.Peek(entry.HeaderRequest)))
	step := s.steps[min(len(s.ids), len(s.steps))-1]
	refuse := func(status int) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(`{"outcome":"` + step + `","reason":"test"}`)
	}
	switch step {
	case echo:
		var options requestOptions
		line, _, _ := strings.Cut(string(ctx.PostBody()), "\n")
		_ = json.Unmarshal([]byte(line), &options)
		ctx.SetBody(expected(ctx.PostBody(), options.Bytes))
	case other:
		ctx.SetBodyString("answer of another request")
	case notRun:
		refuse(fasthttp.StatusServiceUnavailable)
	case unknown:
		refuse(fasthttp.StatusGatewayTimeout)
	case conflict:
		refuse(fasthttp.StatusConflict)
	case noOutcome:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case closeConnection:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// sentIDs returns the distinct request IDs that were received.
func (s *scriptedEntry) sentIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(slices.Values(s.ids))
	return slices.Compact(ids)
}

// TestIDs guards against a non-idempotent request that is sent under a new ID although an earlier try may have run, and
// against reporting a request as not run although it may have run.
func TestIDs(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		steps      []string
		want       entry.Outcome
		wrong      bool
		tries      int
		// ids is the number of distinct IDs that were sent.
		ids int
	}{
		{name: "answered", steps: []string{echo}, want: entry.Answered, tries: 1, ids: 1},
		{name: "wrong answer", steps: []string{other}, want: entry.Answered, wrong: true, tries: 1, ids: 1},
		{name: "refused, then answered", steps: []string{notRun, echo}, want: entry.Answered, tries: 2, ids: 2},
		{name: "always refused", steps: []string{notRun}, want: entry.NotRun, tries: 4, ids: 4},
		{name: "unknown, then answered", steps: []string{unknown, echo}, want: entry.Answered, tries: 2, ids: 1},
		{name: "unknown, then refused", steps: []string{unknown, notRun}, want: entry.Unknown, tries: 4, ids: 1},
		{name: "unknown, then in use", steps: []string{unknown, conflict}, want: entry.Unknown, tries: 2, ids: 1},
		{name: "no answer", steps: []string{closeConnection}, want: entry.Unknown, tries: 4, ids: 1},
		{name: "error without an outcome", steps: []string{noOutcome}, want: entry.Unknown, tries: 4, ids: 1},
		{name: "idempotent", idempotent: true, steps: []string{unknown, closeConnection, echo}, want: entry.Answered, tries: 3, ids: 1},
	}
	for _, test := range tests {
		for _, issued := range []float64{0, 1} {
			t.Run(test.name+" "+strconv.FormatBool(issued > 0), func(t *testing.T) {
				s := &scriptedEntry{steps: test.steps}
				g := newTestGenerator(t, s, issued, test.idempotent)
				r := drawRequest(g.cfg.Requests, 1, "run", 0)
				res := g.send(t.Context(), r)
				assert.Equal(t, res.outcome, test.want)
				assert.Equal(t, res.wrong, test.wrong)
				assert.Equal(t, res.tries, test.tries)
				ids := s.sentIDs()
				assert.Equal(t, len(ids), test.ids)
				assert.Equal(t, ids[0] == "", test.idempotent)
			})
		}
	}
}

func newTestGenerator(t *testing.T, s *scriptedEntry, issued float64, idempotent bool) *Generator {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: s.handle}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	client, err := entry.New([]string{listener.Addr().String()})
	assert.NilError(t, err)
	mix := setup.Mix{Class: "quote", Weight: 1, BodyMax: 100, AnswerMax: 200}
	if idempotent {
		mix.Idempotent = 1
	}
	cfg := setup.Settings{}.WithDefaults().Requests
	cfg.Issued, cfg.Tries, cfg.Timeout, cfg.Mix = issued, 4, model.Duration(5*time.Second), []setup.Mix{mix}
	return New(Config{Requests: cfg, Seed: 1, Run: "run", Entry: client, Log: zap.NewNop()})
}

// TestRun guards against wrong counts and a wrong number of sent requests.
func TestRun(t *testing.T) {
	g := newTestGenerator(t, &scriptedEntry{steps: []string{echo}}, 0.5, false)
	g.cfg.Requests.Count = 50
	result := g.Run(t.Context())
	assert.Equal(t, result.Requests, 50)
	assert.Equal(t, result.Answered, 50)
	assert.Equal(t, len(result.Outcomes), 50)
}
