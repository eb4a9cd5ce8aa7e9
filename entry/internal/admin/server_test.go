package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"arbutuswing.example/entry/internal/admin"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/logs"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/opapi"
	"arbutuswing.example/internal/state"
)

const operatorKey = "operator-key"

var teamKey = model.HashKey("pricing-key")

// call is a call to the server under test.
type call struct {
	method, path, body string
	// operator and organisation are the keys to send, if any.
	operator, organisation string
}

type server struct {
	t      *testing.T
	client *http.Client
}

func testDeclarations() decl.Set {
	return decl.Set{
		Organisations: []decl.Organisation{
			{Name: "harbour", ApprovalKey: model.HashKey("harbour-key")},
			{Name: "orchard", ApprovalKey: model.HashKey("orchard-key")},
		},
		Teams: []decl.Team{
			{Name: "billing", Organisation: "orchard", Share: 1},
			{Name: "pricing", Organisation: "harbour", Share: 3, Keys: []model.KeyHash{teamKey}},
		},
		Classes:     []decl.Class{{Name: "scoring"}},
		DataCentres: []decl.DataCentre{{Name: "dc1", Region: "west", Service: decl.InService}},
	}.Indexed()
}

// start serves the operator API on an in-memory listener until the test ends.
func start(t *testing.T, f *fakeState, alter func(*admin.Config)) server {
	t.Helper()
	// The log encoder of the programs rejects some values that other encoders accept, so the test uses it too.
	log, err := logs.New(io.Discard, "debug")
	assert.NilError(t, err)
	config := admin.Config{
		Address: "127.0.0.1:1", Instance: "entry-1", DataCentre: "dc1", Version: "test", Log: log,
		OperatorKey: model.HashKey(operatorKey), State: f, Submitter: f, NotRecorded: errNotRecorded,
	}
	if alter != nil {
		alter(&config)
	}
	api, err := admin.New(config)
	assert.NilError(t, err)
	listener := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- api.Serve(ctx, listener) }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Dial() }}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		cancel()
		assert.NilError(t, <-ended)
	})
	return server{t: t, client: &http.Client{Transport: transport}}
}

func (s server) do(c call) (int, []byte) {
	s.t.Helper()
	request, err := http.NewRequest(c.method, "http://admin"+c.path, bytes.NewReader([]byte(c.body)))
	assert.NilError(s.t, err)
	if c.operator != "" {
		request.Header.Set(opapi.OperatorKeyHeader, c.operator)
	}
	if c.organisation != "" {
		request.Header.Set(opapi.OrganisationKeyHeader, c.organisation)
	}
	response, err := s.client.Do(request)
	assert.NilError(s.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	return response.StatusCode, data
}

func decodeAnswer[T any](t *testing.T, data []byte) T {
	t.Helper()
	var out T
	assert.NilError(t, json.Unmarshal(data, &out), "%s", data)
	return out
}

// TestKeysAreRequired guards against a route that doesn't check its key.
func TestKeysAreRequired(t *testing.T) {
	s := start(t, &fakeState{set: testDeclarations()}, nil)
	tests := []struct {
		call call
		want int
	}{
		{call{method: "GET", path: opapi.DeclarationsPath}, 401},
		{call{method: "GET", path: opapi.DeclarationsPath, operator: "wrong"}, 401},
		{call{method: "GET", path: opapi.DeclarationsPath, operator: string(model.HashKey(operatorKey))}, 401},
		{call{method: "GET", path: opapi.DeclarationsPath, organisation: "harbour-key"}, 401},
		{call{method: "GET", path: opapi.DeclarationsPath, operator: operatorKey}, 200},
		{call{method: "POST", path: opapi.ChangesPath, body: `{}`}, 401},
		{call{method: "GET", path: opapi.StatusPath}, 401},
		{call{method: "GET", path: opapi.DumpPath}, 401},
		{call{method: "GET", path: opapi.ProposalsPath}, 401},
		{call{method: "GET", path: opapi.ProposalsPath, organisation: "wrong"}, 401},
		{call{method: "GET", path: opapi.ProposalsPath, organisation: "harbour-key"}, 200},
		{call{method: "POST", path: opapi.VerdictPath("x"), operator: operatorKey, body: `{"organisation": "harbour"}`}, 401},
		{call{method: "GET", path: opapi.HealthPath}, 200},
		{call{method: "GET", path: opapi.MetricsPath}, 200},
		{call{method: "GET", path: "/other"}, 404},
		{call{method: "DELETE", path: opapi.ChangesPath, operator: operatorKey}, 405},
	}
	for _, test := range tests {
		status, body := s.do(test.call)
		assert.Equal(t, status, test.want, "%s %s: %s", test.call.method, test.call.path, body)
	}
}

type fixedDumper struct{ value any }

func (d fixedDumper) Dump() any { return d.value }

// TestDump guards against a section that can't be encoded and makes the other sections disappear from the dump.
func TestDump(t *testing.T) {
	s := start(t, &fakeState{set: testDeclarations()}, func(c *admin.Config) {
		c.Sections = []admin.Section{
			{Name: "stream", Dumper: fixedDumper{map[string]int{"queue": 1}}},
			{Name: "broken", Dumper: fixedDumper{make(chan int)}},
			{Name: "lease", Dumper: fixedDumper{[]int{2}}},
		}
	})
	status, body := s.do(call{method: "GET", path: opapi.DumpPath, operator: operatorKey})
	assert.Equal(t, status, 200)
	dump := decodeAnswer[opapi.Dump](t, body)
	assert.Equal(t, len(dump.Sections), 3)
	assert.Equal(t, string(dump.Sections[0].Contents), `{"queue":1}`)
	assert.Assert(t, strings.HasPrefix(string(dump.Sections[1].Contents), `"not shown: `))
	assert.Equal(t, string(dump.Sections[2].Contents), `[2]`)
}

// TestStatus guards against a status that counts the capacity of lost workers or computes wrong shares.
func TestStatus(t *testing.T) {
	worker := func(lost bool, suspicion model.Offset) state.Worker {
		return state.Worker{DataCentre: "dc1", Capacity: model.Resources{Cores: 10}, Lost: lost, Suspicion: suspicion}
	}
	f := &fakeState{
		set: testDeclarations(), inForce: 4, offset: 9,
		workers: []state.Worker{worker(false, model.NoOffset), worker(false, 7), worker(true, 5)},
		usage:   map[model.TeamID]state.Usage{"pricing": {Resources: model.Resources{Cores: 5}, Tasks: 2}},
	}
	s := start(t, f, func(c *admin.Config) { c.Ready = func() error { return errors.New("no state yet") } })
	_, body := s.do(call{method: "GET", path: opapi.StatusPath, operator: operatorKey})
	status := decodeAnswer[opapi.Status](t, body)
	assert.DeepEqual(t, status.DataCentres, []opapi.DataCentreStatus{{
		Name: "dc1", Service: decl.InService, Workers: 3, Suspected: 1, Lost: 1, Capacity: model.Resources{Cores: 20},
	}})
	assert.Equal(t, status.Declarations, model.Offset(4))
	assert.Equal(t, status.Applied, model.Offset(9))
	assert.Equal(t, status.Teams[1].DueShare, 0.75)
	assert.Equal(t, status.Teams[1].UsedShare, 0.25)
	code, body := s.do(call{method: "GET", path: opapi.HealthPath})
	assert.Equal(t, code, 503)
	assert.DeepEqual(t, decodeAnswer[opapi.Health](t, body), opapi.Health{Reason: "no state yet"})
}

// TestConfigCheck guards against a server that starts without a valid hash of the operator key.
func TestConfigCheck(t *testing.T) {
	_, err := admin.New(admin.Config{Address: "127.0.0.1:1", OperatorKey: "secret"})
	assert.ErrorIs(t, err, admin.ErrConfig)
	assert.ErrorContains(t, err, "operator key hash")
}

// TestServeWithCancelledContext guards against a server that keeps serving if its context ended before the start.
func TestServeWithCancelledContext(t *testing.T) {
	f := &fakeState{set: testDeclarations()}
	api, err := admin.New(admin.Config{
		Address: "127.0.0.1:1", OperatorKey: model.HashKey(operatorKey), State: f, Submitter: f, NotRecorded: errNotRecorded,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, api.Serve(ctx, fasthttputil.NewInmemoryListener()))
}
