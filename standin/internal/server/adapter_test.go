package server_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/platf"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/daemon"
	"arbutuswing.example/standin/internal/fault"
	"arbutuswing.example/standin/internal/server"
	"arbutuswing.example/standin/internal/setup"
)

// callTimeout is short, since tests wait until calls time out.
const callTimeout = 150 * time.Millisecond

// platform is a running stand-in with two workers in two data centres.
type platform struct {
	*server.Server
	address string
	client  *platf.Client
}

func startPlatform(t *testing.T, clock clockwork.Clock) platform {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	settings := setup.Settings{}.WithDefaults()
	settings.Listen, settings.LogLevel = listener.Addr().String(), "error"
	settings.SilentFor = model.Duration(time.Minute)
	settings.Log.AppendsPerSecond, settings.Log.Burst, settings.Log.MaxBytes = 1, 3, 100
	settings.Workers = []setup.WorkerGroup{
		{Prefix: "a", Count: 1, DataCentre: "dc-a"}, {Prefix: "b", Count: 1, DataCentre: "dc-b"},
	}
	assert.Equal(t, len(settings.Check()), 0)
	s, err := daemon.Build(settings, clock, io.Discard)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return platform{Server: s, address: settings.Listen, client: newClient(t, settings.Listen, "dc-a")}
}

func newClient(t *testing.T, address string, dc model.DataCentreID) *platf.Client {
	t.Helper()
	client, err := platf.New(platf.Config{Address: address, DataCentre: dc, Timeout: callTimeout, CommandTimeout: callTimeout})
	assert.NilError(t, err)
	return client
}

func (p platform) set(t *testing.T, f fault.Fault) {
	t.Helper()
	_, err := p.Faults.Add(f)
	assert.NilError(t, err)
}

func (p platform) logLength(t *testing.T) model.Offset {
	t.Helper()
	batch, err := p.Store.Read(cancelledContext(), 0, 1)
	assert.NilError(t, err)
	return batch.Next
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// startForeignServer starts a server, such as a gateway, that answers every call with the status and body.
func startForeignServer(t *testing.T, status int, body string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return listener.Addr().String()
}

// TestAppendErrors guards against reporting an append that took effect as one without effect, which loses an operation, and
// the reverse.
func TestAppendErrors(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault.Fault
		data   string
		before int
		want   error
		// records is the length of the log after the call.
		records model.Offset
	}{
		{name: "accepted", data: "x", records: 1},
		{name: "refused", faults: []fault.Fault{{Kind: fault.LogOutage}}, data: "x", want: ports.ErrUnavailable},
		{name: "silent", faults: []fault.Fault{{Kind: fault.LogOutage, Silent: true}}, data: "x", want: ports.ErrUnknownEffect},
		{name: "partition", faults: []fault.Fault{{Kind: fault.Partition, DataCentre: "dc-a"}}, data: "x", want: ports.ErrUnknownEffect},
		{name: "other partition", faults: []fault.Fault{{Kind: fault.Partition, DataCentre: "dc-b"}}, data: "x", records: 1},
		{name: "answer lost", faults: []fault.Fault{{Kind: fault.AppendAnswerLost, NextCalls: 1}}, data: "x", want: ports.ErrUnknownEffect, records: 1},
		{name: "throttled", data: "x", before: 3, want: ports.ErrThrottled, records: 3},
		{name: "too large", data: strings.Repeat("x", 101), want: ports.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := startPlatform(t, clockwork.NewFakeClock())
			for range test.before {
				_, err := p.client.Append(t.Context(), []byte("earlier"))
				assert.NilError(t, err)
			}
			for _, f := range test.faults {
				p.set(t, f)
			}
			_, err := p.client.Append(t.Context(), []byte(test.data))
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, p.logLength(t), test.records)
		})
	}
}

// TestForeignAnswers guards against trusting answers that come from a gateway or another device instead of the platform.
func TestForeignAnswers(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"gateway time-out", fasthttp.StatusGatewayTimeout, "late", ports.ErrUnknownEffect},
		{"internal error", fasthttp.StatusInternalServerError, "", ports.ErrUnknownEffect},
		{"rate limit of a gateway", fasthttp.StatusTooManyRequests, "slow down", ports.ErrUnknownEffect},
		{"success without JSON", fasthttp.StatusOK, "fine", ports.ErrUnknownEffect},
		{"success without an offset", fasthttp.StatusOK, "{}", ports.ErrUnknownEffect},
		{"unavailable", fasthttp.StatusServiceUnavailable, "", ports.ErrUnknownEffect},
		{"the platform's own refusal", fasthttp.StatusServiceUnavailable, `{"code": "unavailable"}`, ports.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := startForeignServer(t, test.status, test.body)
			client := newClient(t, address, "dc-a")
			_, err := client.Append(t.Context(), []byte("x"))
			assert.ErrorIs(t, err, test.want)
			if test.status != fasthttp.StatusOK {
				_, err = client.Lease(t.Context(), address+"/workers/a1", ports.LeaseRequest{})
				assert.ErrorIs(t, err, ports.ErrUnreachable)
			}
		})
	}
}

// TestRefusedConnection guards against reporting an unknown effect for a call whose connection was refused.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	client := newClient(t, listener.Addr().String(), "dc-a")
	_, err = client.Append(t.Context(), []byte("x"))
	assert.ErrorIs(t, err, ports.ErrUnavailable)
	_, err = client.Read(t.Context(), 0, 1, 0)
	assert.ErrorIs(t, err, ports.ErrUnavailable)
	_, err = client.List(t.Context())
	assert.ErrorIs(t, err, ports.ErrUnavailable)
	err = client.Release(t.Context(), listener.Addr().String()+"/workers/a1", 1)
	assert.ErrorIs(t, err, ports.ErrUnreachable)
}

// TestRead guards against reads that skip records, miss a truncation or don't return when a record is appended.
func TestRead(t *testing.T) {
	p := startPlatform(t, clockwork.NewFakeClock())
	for _, text := range []string{"r0", "r1"} {
		_, err := p.client.Append(t.Context(), []byte(text))
		assert.NilError(t, err)
	}
	batch, err := p.client.Read(t.Context(), 1, 10, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, batch, ports.Batch{Records: []ports.Record{{Offset: 1, Data: []byte("r1")}}, Next: 2})

	woken := make(chan ports.Batch, 1)
	failed := make(chan error, 1)
	go func() {
		batch, err := p.client.Read(t.Context(), 2, 10, 20*time.Second)
		failed <- err
		woken <- batch
	}()
	_, err = p.client.Append(t.Context(), []byte("r2"))
	assert.NilError(t, err)
	assert.NilError(t, <-failed)
	assert.DeepEqual(t, (<-woken).Records, []ports.Record{{Offset: 2, Data: []byte("r2")}})

	p.Store.Truncate(2)
	_, err = p.client.Read(t.Context(), 1, 10, 0)
	assert.ErrorIs(t, err, ports.ErrTruncated)
	batch, err = p.client.Read(t.Context(), 2, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, batch.First, model.Offset(2))
	p.set(t, fault.Fault{Kind: fault.LogOutage})
	_, err = p.client.Read(t.Context(), 2, 10, 0)
	assert.ErrorIs(t, err, ports.ErrUnavailable)
}

// TestListLag guards against an instance list that shows changes earlier or later than its lag.
func TestListLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := startPlatform(t, clock)
	entry := ports.Instance{ID: "e1", Role: ports.RoleEntry, DataCentre: "dc-a", Address: "127.0.0.1:1", Presence: ports.PresenceLive}
	presence := func() ports.Presence {
		listed, err := p.client.List(t.Context())
		assert.NilError(t, err)
		for _, shown := range listed {
			if shown.ID == entry.ID {
				return shown.Presence
			}
		}
		return ""
	}
	assert.NilError(t, p.client.Register(t.Context(), entry))
	assert.Equal(t, presence(), ports.Presence(""))
	clock.Advance(500 * time.Millisecond)
	assert.Equal(t, presence(), ports.PresenceLive)
	p.set(t, fault.Fault{Kind: fault.ListLag, Delay: model.Duration(10 * time.Second)})
	assert.NilError(t, p.client.Mark(t.Context(), entry.ID, ports.PresenceLeaving))
	clock.Advance(9 * time.Second)
	assert.Equal(t, presence(), ports.PresenceLive)
	clock.Advance(time.Second)
	assert.Equal(t, presence(), ports.PresenceLeaving)
	assert.NilError(t, p.client.Remove(t.Context(), entry.ID))
	clock.Advance(10 * time.Second)
	assert.Equal(t, presence(), ports.Presence(""))
	assert.ErrorIs(t, p.client.Mark(t.Context(), entry.ID, ports.PresenceLive), ports.ErrUnavailable)
}

// TestWorkerErrors guards against a worker's refusal that reaches its caller as a different error.
func TestWorkerErrors(t *testing.T) {
	p := startPlatform(t, clockwork.NewFakeClock())
	a, b := p.address+"/workers/a1", p.address+"/workers/b1"
	ttl := model.Duration(3 * time.Second)
	report, err := p.client.Lease(t.Context(), a, ports.LeaseRequest{Holder: "e1", TTL: ttl})
	assert.NilError(t, err)
	attempt := model.AttemptID{Task: model.TaskID{Job: "j"}, Number: 1}
	starts := []ports.StartRequest{{Attempt: attempt, DeclaredRunTime: model.Duration(time.Hour), TaskTTL: model.Duration(time.Minute)}}
	ctx, c, token := t.Context(), p.client, report.Token
	tests := []struct {
		name string
		call func() error
		want error
	}{
		{"lease held", func() error { _, err := c.Lease(ctx, a, ports.LeaseRequest{Holder: "e2", TTL: ttl}); return err }, ports.ErrLeaseHeld},
		{"stale renewal", func() error {
			_, err := c.Lease(ctx, a, ports.LeaseRequest{Holder: "e1", TTL: ttl, Token: token + 1})
			return err
		}, ports.ErrStaleToken},
		{"stale start", func() error { return c.Start(ctx, a, token-1, starts) }, ports.ErrStaleToken},
		{"start", func() error { return c.Start(ctx, a, token, starts) }, nil},
		{"checkpoint", func() error { return c.Checkpoint(ctx, a, token, attempt) }, nil},
		{"throttle", func() error { return c.Throttle(ctx, a, token, attempt, 0.5) }, nil},
		{"unknown attempt", func() error { return c.Checkpoint(ctx, a, token, model.AttemptID{Task: attempt.Task, Number: 2}) }, ports.ErrUnknownTask},
		{"unknown worker", func() error { return c.Release(ctx, p.address+"/workers/none", token) }, ports.ErrUnreachable},
		{"partition", func() error {
			p.set(t, fault.Fault{Kind: fault.Partition, DataCentre: "dc-b"})
			_, err := c.Lease(ctx, b, ports.LeaseRequest{Holder: "e1", TTL: ttl})
			return err
		}, ports.ErrUnreachable},
		{"own data centre", func() error { return c.Checkpoint(ctx, a, token, attempt) }, nil},
		{"answer lost", func() error {
			p.set(t, fault.Fault{Kind: fault.WorkerAnswerLost, NextCalls: 1})
			return c.Stop(ctx, a, token, model.OutcomeStopped, []model.AttemptID{attempt})
		}, ports.ErrUnreachable},
		{"acknowledge", func() error { return c.Acknowledge(ctx, a, token, []model.AttemptID{attempt}) }, nil},
		{"acknowledged", func() error { return c.Checkpoint(ctx, a, token, attempt) }, ports.ErrUnknownTask},
		{"unreachable", func() error {
			p.set(t, fault.Fault{Kind: fault.WorkerUnreachable, Worker: "a1"})
			return c.Release(ctx, a, token)
		}, ports.ErrUnreachable},
	}
	for _, test := range tests {
		assert.ErrorIs(t, test.call(), test.want, test.name)
	}
	assert.Equal(t, p.Fleet.Audit().Outcomes[model.OutcomeStopped], 1)
}

// TestDelayedCommand guards against a delayed command that is lost, or that takes effect after its lease has expired.
func TestDelayedCommand(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := startPlatform(t, clock)
	address := p.address + "/workers/a1"
	report, err := p.client.Lease(t.Context(), address, ports.LeaseRequest{Holder: "e1", TTL: model.Duration(3 * time.Second)})
	assert.NilError(t, err)
	start := func(number int) error {
		return p.client.Start(t.Context(), address, report.Token, []ports.StartRequest{{
			Attempt:         model.AttemptID{Task: model.TaskID{Job: "j"}, Number: number},
			DeclaredRunTime: model.Duration(time.Hour), TaskTTL: model.Duration(time.Minute),
		}})
	}
	for number, late := range []time.Duration{2 * time.Second, 3 * time.Second} {
		id, err := p.Faults.Add(fault.Fault{Kind: fault.WorkerSlow, Worker: "a1", Delay: model.Duration(late)})
		assert.NilError(t, err)
		assert.ErrorIs(t, start(number+1), ports.ErrUnreachable)
		assert.NilError(t, p.Faults.Clear(id))
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(late)
		p.client.Close()
		for p.OpenConnections() > 0 {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, p.Fleet.Audit().Starts, 1)
	}
}
