package front

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/accept"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/route"
	"arbutuswing.example/internal/state"
)

var errNotRecorded = errors.New("not recorded")

// fixture runs a server with a real state machine; the fixture itself stands for the log and the router.
type fixture struct {
	t       *testing.T
	machine *state.Machine
	server  *Server
	client  *fasthttp.Client
	offset  model.Offset

	// routerErr is the error of the next request.
	routerErr error
	// submitErr is the error of the next submission; recorded tells whether it takes effect nevertheless.
	submitErr error
	recorded  bool
	cutOff    bool
	noLog     bool
	notReady  bool
	requests  []route.Request
}

func (f *fixture) Serve(_ context.Context, req route.Request) (ports.Answer, error) {
	req.Body = append([]byte(nil), req.Body...)
	f.requests = append(f.requests, req)
	return ports.Answer{Status: 200, ContentType: "text/plain", Body: req.Body}, f.routerErr
}

func (f *fixture) Issue() string { return "issued" }

func (f *fixture) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	if f.submitErr != nil && !f.recorded {
		return nil, f.submitErr
	}
	f.offset++
	applied := f.machine.Apply(f.offset, record.Envelope{
		Writer: "w", Incarnation: 1, Sequence: int64(f.offset), Time: int64(f.offset), Ops: ops,
	})
	return applied.Results, f.submitErr
}

func (f *fixture) MayCheckKeys() bool { return !f.cutOff }
func (f *fixture) MayRecord() bool    { return !f.cutOff && !f.noLog }
func (f *fixture) Ready() bool        { return !f.notReady }

func startServer(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, offset: model.NoOffset}
	machine, err := state.New(state.Config{
		ParsePatch: func(data []byte) (decl.Patch, error) { return decl.ParsePatch("change", data) },
		ApplyPatch: func(set decl.Set, patch decl.Patch) (decl.Set, error) { return set.Apply(patch) },
		CheckSet:   func(decl.Set) error { return nil },
		Approvers:  decl.Approvers, Invariants: invar.New(zap.NewNop(), true),
	})
	assert.NilError(t, err)
	f.machine = machine
	f.declare()
	server, err := New(Config{
		Address: "127.0.0.1:1", Router: f, Issuer: f, Submitter: f, View: machine, Connectivity: f,
		NotRecorded: errNotRecorded,
	})
	assert.NilError(t, err)
	listener, err := accept.ListenTracked("127.0.0.1:0")
	assert.NilError(t, err)
	f.server = server
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	f.client = &fasthttp.Client{Dial: func(string) (net.Conn, error) { return net.Dial("tcp4", listener.Addr().String()) }}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		assert.NilError(t, server.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	})
	return f
}

func (f *fixture) declare() {
	patch, err := json.Marshal(decl.Patch{Put: decl.Set{
		Organisations: []decl.Organisation{{Name: "north", ApprovalKey: model.HashKey("approve")}},
		Teams: []decl.Team{
			{Name: "a", Organisation: "north", Share: 1, Keys: []model.KeyHash{model.HashKey("key-a")}},
			{Name: "b", Organisation: "north", Share: 1, Keys: []model.KeyHash{model.HashKey("key-b")}},
		},
		Classes:     []decl.Class{{Name: "open", Open: true}, {Name: "closed"}},
		DataCentres: []decl.DataCentre{{Name: "dc1", Region: "r", Service: decl.InService}},
	}})
	assert.NilError(f.t, err)
	results, err := f.Submit(context.Background(), record.Change{ID: "base", Base: model.NoOffset, Contents: patch})
	assert.NilError(f.t, err)
	assert.NilError(f.t, results[0])
}

// call sends a call and returns the status, the outcome header and the body of the answer.
func (f *fixture) call(method, path, key, body string, headers ...string) (int, string, []byte) {
	f.t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://entry" + path)
	if key != "" {
		req.Header.Set("Team-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	assert.NilError(f.t, f.client.Do(req, resp))
	return resp.StatusCode(), string(resp.Header.Peek(outcomeHeader)), append([]byte(nil), resp.Body()...)
}

// TestRequestOutcomes guards against a status or outcome that doesn't fit what happened to the request.
func TestRequestOutcomes(t *testing.T) {
	tests := []struct {
		name      string
		routerErr error
		status    int
		outcome   Outcome
	}{
		{"answered", nil, 200, OutcomeAnswered},
		{"overloaded", route.ErrOverloaded, 429, OutcomeNotRun},
		{"no endpoint", route.ErrNoEndpoint, 503, OutcomeNotRun},
		{"deadline", route.ErrSlotTimeout, 503, OutcomeNotRun},
		{"draining", route.ErrDraining, 503, OutcomeNotRun},
		{"refused everywhere", route.ErrAttemptsExhausted, 503, OutcomeNotRun},
		{"conflict", fmt.Errorf("x: %w", route.ErrConflict), 409, OutcomeConflict},
		{"unknown", fmt.Errorf("x: %w", route.ErrUnknownOutcome), 504, OutcomeUnknown},
		{"unclassified", errors.New("odd"), 504, OutcomeUnknown},
	}
	f := startServer(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f.routerErr = test.routerErr
			status, outcome, _ := f.call("POST", "/v1/requests/closed", "", "body")
			assert.Equal(t, status, test.status)
			assert.Equal(t, outcome, string(test.outcome))
		})
	}
}

// TestKeys guards against requests that are accepted for a team whose key did not come with the call.
func TestKeys(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		key    string
		cutOff bool
		status int
		team   model.TeamID
	}{
		{"open with key", "/v1/requests/open", "key-a", false, 200, "a"},
		{"open without key", "/v1/requests/open", "", false, 403, ""},
		{"open with another key", "/v1/requests/open", "key-x", false, 403, ""},
		{"open while cut off", "/v1/requests/open", "key-a", true, 503, ""},
		{"closed without key", "/v1/requests/closed", "", false, 200, "claimed"},
		{"closed without key while cut off", "/v1/requests/closed", "", true, 200, "claimed"},
		{"closed with key", "/v1/requests/closed", "key-b", false, 200, "b"},
		{"closed with another key", "/v1/requests/closed", "key-x", false, 403, ""},
		{"closed with key while cut off", "/v1/requests/closed", "key-b", true, 200, "b"},
		{"no such class", "/v1/requests/none", "key-a", false, 404, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startServer(t)
			f.cutOff = test.cutOff
			status, _, body := f.call("POST", test.path, test.key, "body", "Team", "claimed")
			assert.Equal(t, status, test.status, "%s", body)
			if test.status == 200 {
				assert.Equal(t, f.requests[0].Team, test.team)
			} else {
				assert.Equal(t, len(f.requests), 0)
			}
		})
	}
}

func jobSpec(id, team, class string) string {
	return fmt.Sprintf(`{"id": %q, "team": %q, "class": %q, "kind": "batch", "tasks": 2,
		"size": {"milli-cores": 1000, "memory-mib": 100}, "run-time": "1s", "rerun": true}`, id, team, class)
}

// TestSubmit guards against a job that is accepted without being recorded, recorded twice by a repeated call, or accepted
// for another team.
func TestSubmit(t *testing.T) {
	tests := []struct {
		name   string
		key    string
		body   string
		prior  string
		alter  func(*fixture)
		status int
		known  bool
	}{
		{"accepted", "key-a", jobSpec("j", "a", "open"), "", nil, 202, true},
		{"repeated", "key-a", jobSpec("j", "a", "open"), jobSpec("j", "a", "open"), nil, 200, true},
		{"another job under the ID", "key-a", jobSpec("j", "a", "closed"), jobSpec("j", "a", "open"), nil, 409, true},
		{"key of another team", "key-b", jobSpec("j", "a", "open"), "", nil, 403, false},
		{"no key", "", jobSpec("j", "a", "open"), "", nil, 403, false},
		{"unknown team", "", jobSpec("j", "z", "closed"), "", nil, 404, false},
		{"unknown key in the body", "key-a", `{"id": "j", "nope": 1}`, "", nil, 400, false},
		{"two values", "key-a", jobSpec("j", "a", "open") + "{}", "", nil, 400, false},
		{"no log", "key-a", jobSpec("j", "a", "open"), "", func(f *fixture) { f.noLog = true }, 503, false},
		{"not recorded", "key-a", jobSpec("j", "a", "open"), "", func(f *fixture) { f.submitErr = errNotRecorded }, 503, false},
		{
			"may be recorded", "key-a", jobSpec("j", "a", "open"), "",
			func(f *fixture) { f.submitErr, f.recorded = context.DeadlineExceeded, true }, 504, true,
		},
		{"not ready", "key-a", jobSpec("j", "a", "open"), "", func(f *fixture) { f.notReady = true }, 503, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startServer(t)
			if test.prior != "" {
				status, _, _ := f.call("POST", "/v1/jobs", test.key, test.prior)
				assert.Equal(t, status, 202)
			}
			if test.alter != nil {
				test.alter(f)
			}
			status, _, body := f.call("POST", "/v1/jobs", test.key, test.body)
			assert.Equal(t, status, test.status, "%s", body)
			_, known := f.machine.Job("j")
			assert.Equal(t, known, test.known)
		})
	}
}

// TestCancelByTeam guards against a call that cancels another team's jobs.
func TestCancelByTeam(t *testing.T) {
	f := startServer(t)
	for i := range 3 {
		f.call("POST", "/v1/jobs", "key-a", jobSpec(fmt.Sprintf("a%d", i), "a", "open"))
		f.call("POST", "/v1/jobs", "key-b", jobSpec(fmt.Sprintf("b%d", i), "b", "open"))
	}
	status, _, body := f.call("POST", "/v1/jobs/cancel", "key-b", `{"team": "a"}`)
	assert.Equal(t, status, 200)
	var out cancelAnswer
	assert.NilError(t, json.Unmarshal(body, &out))
	assert.Equal(t, len(out.Cancelled), 0, "a key of another team must not cancel")
	assert.Equal(t, len(out.Refused), 3)

	_, _, body = f.call("POST", "/v1/jobs/cancel", "key-a", `{"team": "a", "class": "open"}`)
	assert.NilError(t, json.Unmarshal(body, &out))
	assert.DeepEqual(t, out.Cancelled, []model.JobID{"a0", "a1", "a2"})
	assert.Equal(t, len(f.machine.Jobs(state.JobFilter{Unfinished: true})), 3)
}

// TestPull guards against an open queue that gives a task to another team or to two runners.
func TestPull(t *testing.T) {
	f := startServer(t)
	f.call("POST", "/v1/jobs", "key-a", jobSpec("j", "a", "open"))
	take := func(key, body string) takeAnswer {
		var out takeAnswer
		status, _, data := f.call("POST", "/v1/queues/open/take", key, body)
		assert.Equal(t, status, 200, "%s", data)
		assert.NilError(t, json.Unmarshal(data, &out))
		return out
	}
	assert.Equal(t, len(take("key-b", `{"count": 5}`).Tasks), 0)
	first := take("key-a", `{"count": 1, "lease": "1m"}`).Tasks
	second := take("key-a", `{"count": 5}`).Tasks
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, first[0].Attempt.Task != second[0].Attempt.Task)

	end := func(key, outcome string) int {
		status, _, _ := f.call("POST", "/v1/queues/open/done", key,
			fmt.Sprintf(`{"ended": [{"attempt": %q, "outcome": %q}]}`, first[0].Attempt, outcome))
		return status
	}
	assert.Equal(t, end("key-b", "succeeded"), 400)
	assert.Equal(t, end("key-a", "lost"), 400)
	assert.Equal(t, end("key-a", "succeeded"), 200)
	task, _, _ := f.machine.Task(first[0].Attempt.Task)
	assert.Equal(t, task.Outcome, model.OutcomeSucceeded)
	status, _, _ := f.call("POST", "/v1/queues/closed/take", "key-a", "")
	assert.Equal(t, status, 403)
}

// TestInvalidInput guards against invalid input that is processed, or refused without a reason.
func TestInvalidInput(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
	}{
		{"idempotent", "POST", "/v1/requests/closed", "", []string{"Idempotent", "perhaps"}, 400},
		{"timeout", "POST", "/v1/requests/closed", "", []string{"Timeout-Ms", "-1"}, 400},
		{"count", "POST", "/v1/request-ids?count=0", "", nil, 400},
		{"kind", "POST", "/v1/jobs", `{"id":"j","class":"closed","team":"a","kind":"x","tasks":1}`, nil, 400},
		{"lease", "POST", "/v1/queues/open/take", `{"count":1,"lease":5}`, []string{"Team-Key", "key-a"}, 400},
		{"cancel nothing", "POST", "/v1/jobs/cancel", `{}`, nil, 400},
		{"path", "GET", "/v2", "", nil, 404},
		{"method", "GET", "/v1/jobs/cancel", "", nil, 404},
		{"job", "GET", "/v1/jobs/none", "", nil, 404},
	}
	f := startServer(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, outcome, body := f.call(test.method, test.path, "", test.body, test.headers...)
			assert.Equal(t, status, test.status, "%s", body)
			assert.Equal(t, outcome, string(OutcomeNotRun))
			var failure Failure
			assert.NilError(t, json.Unmarshal(body, &failure))
			assert.Assert(t, failure.Detail != "")
		})
	}
}

// TestShutdownAnswersOnOpenConnections guards against a stopping instance that closes a kept-alive connection on which the next call
// has just arrived.
func TestShutdownAnswersOnOpenConnections(t *testing.T) {
	f := startServer(t)
	conn, err := f.client.Dial("")
	assert.NilError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	call := func() (int, bool) {
		_, err := io.WriteString(conn, "GET /health HTTP/1.1\r\nHost: entry\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode, resp.Close
	}
	status, closes := call()
	assert.Assert(t, status == http.StatusOK && !closes, "status %d, closes: %t", status, closes)
	ended := make(chan error, 1)
	go func() { ended <- f.server.Shutdown(context.Background()) }()
	time.Sleep(lastReadTime / 3)
	status, closes = call()
	assert.Assert(t, status == http.StatusServiceUnavailable && closes, "status %d, closes: %t", status, closes)
	assert.NilError(t, <-ended)
}
