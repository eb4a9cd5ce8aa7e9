package daemon

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"arbutuswing.example/endpt/internal/fault"
	"arbutuswing.example/endpt/internal/setup"
	"arbutuswing.example/endpt/internal/site"
	"arbutuswing.example/endpt/internal/tally"
	"arbutuswing.example/internal/ephttp"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// callTimeout is short, since tests wait until calls time out.
const callTimeout = 150 * time.Millisecond

// testEndpoint is a running daemon with one endpoint, and a client of it.
type testEndpoint struct {
	*Daemon
	address string
	client  *ephttp.Client
}

func startEndpoint(t *testing.T, slots, connections int) testEndpoint {
	t.Helper()
	settings := setup.Settings{}.WithDefaults()
	settings.Listen, settings.LogLevel, settings.Linger = "127.0.0.1:0", "error", 0
	settings.Groups = []setup.Group{{
		Prefix: "e", Class: "chat", Count: 1, DataCentre: "dc-a", FirstPort: 1, Slots: slots, Connections: connections,
	}}
	d, err := Build(settings, clockwork.NewRealClock(), io.Discard)
	assert.NilError(t, err)
	spec := settings.Specs()[0]
	spec.Address, spec.Work = "127.0.0.1:0", 0
	only := site.New(site.Deps{Spec: spec, Clock: d.clock, Log: d.log, Faults: d.faults, Counters: d.counters})
	d.endpoints = []*site.Endpoint{only}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	ready := make(chan struct{})
	d.ready = func() { close(ready) }
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	<-ready
	client, err := ephttp.New(ephttp.Config{})
	assert.NilError(t, err)
	return testEndpoint{Daemon: d, address: only.Spec().Address, client: client}
}

func (e testEndpoint) set(t *testing.T, f fault.Fault) {
	t.Helper()
	_, err := e.faults.Add(f)
	assert.NilError(t, err)
	e.applyFault(f)
}

func (e testEndpoint) call(attempt, body string) ports.Call {
	return ports.Call{Address: e.address, Attempt: attempt, Class: "chat", Team: "t", Body: []byte(body), Timeout: 5 * time.Second}
}

// wait blocks until the counters satisfy a condition.
func (e testEndpoint) wait(t *testing.T, reached func(tally.Report) bool) {
	t.Helper()
	for !reached(e.counters.Report(true)) {
		select {
		case <-t.Context().Done():
			t.Fatal("condition not reached")
		case <-time.After(time.Millisecond):
		}
	}
}

const busyBody = `{"request-id":"r-busy","work-ms":400}` + "\n"

// TestSendErrors guards against an error that reports a request that ran as not run, which breaks at-most-once execution, and
// the reverse.
func TestSendErrors(t *testing.T) {
	tests := []struct {
		name        string
		slots       int
		connections int
		occupied    bool
		faults      []fault.Fault
		timeout     time.Duration
		want        error
		ran         int
	}{
		{name: "answered", want: nil, ran: 1},
		{name: "no free slot", slots: 1, occupied: true, want: ports.ErrBusy},
		{name: "no free connection", connections: 1, occupied: true, want: ports.ErrBusy},
		{name: "leaving", faults: []fault.Fault{{Kind: fault.Leave}}, want: ports.ErrLeaving},
		{name: "slow", faults: []fault.Fault{{Kind: fault.SlowRequest, Delay: model.Duration(2 * callTimeout)}}, timeout: callTimeout, want: ports.ErrNoAnswer, ran: 1},
		{name: "late answer", faults: []fault.Fault{{Kind: fault.LateAnswer, Delay: model.Duration(2 * callTimeout)}}, timeout: callTimeout, want: ports.ErrNoAnswer, ran: 1},
		{name: "truncated answer", faults: []fault.Fault{{Kind: fault.TruncatedAnswer, NextRequests: 1}}, want: ports.ErrNoAnswer, ran: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := startEndpoint(t, test.slots, test.connections)
			other := make(chan error, 1)
			other <- nil
			if test.occupied {
				<-other
				go func() {
					client, err := ephttp.New(ephttp.Config{})
					if err == nil {
						_, err = client.Send(context.Background(), e.call("a0", busyBody))
					}
					other <- err
				}()
				e.wait(t, func(r tally.Report) bool { return r.Running == 1 })
			}
			for _, f := range test.faults {
				e.set(t, f)
			}
			call := e.call("a1", `{"request-id":"r1","work-ms":0}`+"\n")
			if test.timeout > 0 {
				call.Timeout = test.timeout
			}
			answer, err := e.client.Send(t.Context(), call)
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, e.counters.Report(true).ByRequest["r1"], test.ran)
			if err == nil {
				assert.Equal(t, string(answer.Body), string(call.Body))
			}
			assert.NilError(t, <-other)
			assert.Equal(t, e.counters.Report(false).RepeatedAttempts, 0)
		})
	}
}

// TestNotSent guards against reporting an unknown outcome for a request that was certainly not run.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	client, err := ephttp.New(ephttp.Config{})
	assert.NilError(t, err)
	for _, address := range []string{listener.Addr().String(), "no address"} {
		_, err = client.Send(t.Context(), ports.Call{Address: address, Attempt: "a", Timeout: time.Second})
		assert.ErrorIs(t, err, ports.ErrNotSent)
	}

	e := startEndpoint(t, 8, 60)
	e.client.SetMaxConnections(1)
	first := make(chan error, 1)
	go func() {
		_, err := e.client.Send(context.Background(), e.call("a1", busyBody))
		first <- err
	}()
	e.wait(t, func(r tally.Report) bool { return r.Running == 1 })
	_, err = e.client.Send(t.Context(), e.call("a2", "x"))
	assert.ErrorIs(t, err, ports.ErrNotSent)
	assert.NilError(t, <-first)
	assert.Equal(t, e.counters.Report(false).Runs, 1)
}

// TestSwappedAnswers guards against returning the answer of one request to the caller of another.
func TestSwappedAnswers(t *testing.T) {
	e := startEndpoint(t, 8, 60)
	e.set(t, fault.Fault{Kind: fault.SwappedAnswers, NextRequests: 2})
	errs := make(chan error, 2)
	for _, attempt := range []string{"a1", "a2"} {
		go func() {
			_, err := e.client.Send(context.Background(), e.call(attempt, attempt))
			errs <- err
		}()
	}
	for range 2 {
		assert.ErrorIs(t, <-errs, ports.ErrNoAnswer)
	}
	answer, err := e.client.Send(t.Context(), e.call("a3", "a3"))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "a3")
}

// TestSilentConnection guards against reusing a connection on which a request timed out, and against sending a request on a
// silent connection, with an unknown outcome, although the connection was idle and could have been probed or closed before.
func TestSilentConnection(t *testing.T) {
	e := startEndpoint(t, 8, 60)
	send := func(attempt string, timeout time.Duration) error {
		call := e.call(attempt, "x")
		call.Timeout = timeout
		_, err := e.client.Send(t.Context(), call)
		return err
	}
	assert.NilError(t, send("a1", 5*time.Second))
	e.set(t, fault.Fault{Kind: fault.SilentConnections})
	assert.ErrorIs(t, send("a2", callTimeout), ports.ErrNoAnswer)
	assert.NilError(t, send("a3", 5*time.Second))
	e.set(t, fault.Fault{Kind: fault.SilentConnections, Endpoint: "e1"})
	e.client.CloseIdleConnections(e.address)
	assert.NilError(t, send("a4", 5*time.Second))
	assert.Equal(t, e.counters.Report(false).Runs, 3)
}

// TestDrain guards against a planned stop that interrupts a running request.
func TestDrain(t *testing.T) {
	e := startEndpoint(t, 8, 60)
	first := make(chan error, 1)
	go func() {
		_, err := e.client.Send(context.Background(), e.call("a1", busyBody))
		first <- err
	}()
	e.wait(t, func(r tally.Report) bool { return r.Running == 1 })
	assert.NilError(t, e.drain())
	assert.NilError(t, <-first)
	_, err := e.client.Send(t.Context(), e.call("a2", "x"))
	assert.ErrorIs(t, err, ports.ErrNotSent)
}

// TestAnswerBody guards against answers that a caller can't tell from those to other requests.
func TestAnswerBody(t *testing.T) {
	assert.Equal(t, string(site.AnswerBody([]byte("hi"), 0)), "hi")
	assert.Equal(t, len(site.AnswerBody([]byte("hi"), 200)), 200)
	assert.Assert(t, string(site.AnswerBody([]byte("hi"), 64)) != string(site.AnswerBody([]byte("ho"), 64)))
}
