package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/ports"
)

// fakeInstance handles all calls. Those that reach the log, and Snapshot and Handoff, return err.
type fakeInstance struct {
	mu sync.Mutex
	// gated makes each read of the log count down reading and wait until it is zero.
	gated    bool
	reading  sync.WaitGroup
	err      error
	appended [][]byte
	claims   []once.ClaimRequest
	settles  []once.SettleRequest
	status   once.Status
	handoff  once.Handoff
	beats    []Status
}

func (f *fakeInstance) HandleHeartbeat(_ context.Context, from Status) (HeartbeatAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beats = append(f.beats, from)
	return HeartbeatAnswer{Status: from, Neighbours: []Status{from}}, nil
}

func (f *fakeInstance) ReadLog(_ context.Context, from model.Offset, limit int, _ time.Duration) (ports.Batch, error) {
	if f.gated {
		f.reading.Done()
		f.reading.Wait()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	batch := ports.Batch{First: 3, Next: 9}
	for at := from; at < batch.Next && len(batch.Records) < limit; at++ {
		batch.Records = append(batch.Records, ports.Record{Offset: at, Data: []byte{byte(at)}})
	}
	return batch, f.err
}

func (f *fakeInstance) AppendLog(_ context.Context, data []byte) (model.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appended = append(f.appended, data)
	return 7, f.err
}

func (f *fakeInstance) Snapshot(context.Context) (Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Snapshot{At: 5, Data: []byte("state"), Recorded: model.NoOffset, RecordedAge: time.Minute}, f.err
}

func (f *fakeInstance) Decide(claim once.ClaimRequest) once.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims = append(f.claims, claim)
	return f.status
}

func (f *fakeInstance) Finish(settle once.SettleRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settles = append(f.settles, settle)
}

func (f *fakeInstance) Handoff(once.Member, model.Offset) (once.Handoff, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handoff, f.err
}

func serve(t testing.TB, listener net.Listener, instance *fakeInstance) {
	t.Helper()
	server, err := NewServer(ServerConfig{Listener: listener, Heartbeats: instance, Stream: instance, Requests: instance})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

func newClient(t testing.TB, cfg ClientConfig) *Client {
	t.Helper()
	client, err := NewClient(cfg)
	assert.NilError(t, err)
	return client
}

// Guards against fields that are lost or mixed up in the conversion to the wire format or back.
func TestCallsCarryAllFields(t *testing.T) {
	instance, listener, ctx := &fakeInstance{}, listen(t), t.Context()
	serve(t, listener, instance)
	client, address := newClient(t, ClientConfig{}), listener.Addr().String()

	status := Status{
		Sender: Sender{Instance: "a", Incarnation: 2}, DataCentre: "north", PeerAddress: "127.0.0.1:1", Applied: 6,
		LogAnswers: true, Ready: true, Load: 8, Leaving: true, Age: time.Second, CurrentAge: NeverCurrent,
	}
	answer, err := client.Heartbeat(ctx, address, status)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, HeartbeatAnswer{Status: status, Neighbours: []Status{status}})

	batch, err := client.ReadLog(ctx, address, 7, 1, time.Millisecond)
	assert.NilError(t, err)
	assert.DeepEqual(t, batch, ports.Batch{First: 3, Next: 9, Records: []ports.Record{{Offset: 7, Data: []byte{7}}}})

	offset, err := client.AppendLog(ctx, address, []byte("data"))
	assert.NilError(t, err)
	assert.Equal(t, offset, model.Offset(7))

	snap, err := client.Snapshot(ctx, address)
	assert.NilError(t, err)
	assert.DeepEqual(t, snap, Snapshot{At: 5, Data: []byte("state"), Recorded: model.NoOffset, RecordedAge: time.Minute})

	owner := once.Member{Instance: "b", Incarnation: 3, PeerAddress: address}
	claim := once.ClaimRequest{ID: "r", Claimant: "a", Offset: 4}
	for _, status := range []once.Status{
		once.StatusGranted, once.StatusRunning, once.StatusAnswered, once.StatusUnknown, once.StatusMoved, once.StatusFull,
	} {
		instance.status, instance.claims = status, nil
		got, err := client.Claim(ctx, owner, claim)
		assert.NilError(t, err)
		assert.Equal(t, got, status)
		assert.DeepEqual(t, instance.claims, []once.ClaimRequest{claim})
	}

	settle := once.SettleRequest{ID: "r", Claimant: "a", Ran: true, Answered: true}
	assert.NilError(t, client.Settle(ctx, owner, settle))
	assert.DeepEqual(t, instance.settles, []once.SettleRequest{settle})

	instance.handoff = once.Handoff{
		KnownSince: time.Second, First: true, Epochs: []once.HandoffEpoch{{
			Membership: once.Membership{Offset: 5, Members: []once.Member{owner}}, ReplacedAgo: time.Minute,
		}},
	}
	handoff, err := client.Handoff(ctx, owner, owner, 4)
	assert.NilError(t, err)
	assert.DeepEqual(t, handoff, instance.handoff)
}

// Guards against reporting that an append had no effect although it may have had one, and the reverse.
func TestErrorsOfTheLogKeepTheirMeaning(t *testing.T) {
	tests := []struct {
		name string
		err  error
		read error
		add  error
	}{
		{"unavailable", ports.ErrUnavailable, ports.ErrUnavailable, ports.ErrUnavailable},
		{"throttled", ports.ErrThrottled, ports.ErrThrottled, ports.ErrThrottled},
		{"unknown effect", ports.ErrUnknownEffect, ErrRefused, ports.ErrUnknownEffect},
		{"other", errors.ErrUnsupported, ErrRefused, ports.ErrUnknownEffect},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener := listen(t)
			serve(t, listener, &fakeInstance{err: test.err})
			client, address := newClient(t, ClientConfig{}), listener.Addr().String()
			_, err := client.ReadLog(t.Context(), address, 3, 1, 0)
			assert.ErrorIs(t, err, test.read)
			_, err = client.AppendLog(t.Context(), address, nil)
			assert.ErrorIs(t, err, test.add)
		})
	}
}

// Guards against a truncated read that does not return the first offset of the log.
func TestTruncationNamesTheFirstOffset(t *testing.T) {
	listener := listen(t)
	serve(t, listener, &fakeInstance{err: ports.ErrTruncated})
	batch, err := newClient(t, ClientConfig{}).ReadLog(t.Context(), listener.Addr().String(), 0, 10, 0)
	assert.ErrorIs(t, err, ports.ErrTruncated)
	assert.DeepEqual(t, batch, ports.Batch{First: 3, Next: 9})
}

func TestSnapshotOfAPeerThatIsNotReady(t *testing.T) {
	listener := listen(t)
	serve(t, listener, &fakeInstance{err: ErrNotReady})
	_, err := newClient(t, ClientConfig{}).Snapshot(t.Context(), listener.Addr().String())
	assert.ErrorIs(t, err, ErrNotReady)
}

// Guards against an append whose effect stays unknown although the peer's process is gone and no connection was
// established.
func TestAppendToAClosedPortHadNoEffect(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err := newClient(t, ClientConfig{}).AppendLog(t.Context(), address, nil)
	assert.ErrorIs(t, err, ports.ErrUnavailable)
}

// silentListener accepts connections that deliver nothing more to the server after silenceAll.
type silentListener struct {
	net.Listener
	mu       sync.Mutex
	accepted []*silentConn
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
	ended  chan struct{}
	once   sync.Once
}

func (l *silentListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	made := &silentConn{Conn: inner, ended: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, made)
	return made, nil
}

// silenceAll silences all accepted connections and returns their number.
func (l *silentListener) silenceAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, found := range l.accepted {
		found.silent.Store(true)
	}
	return len(l.accepted)
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.ended
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// Guards against reusing connections that have stopped responding, although new ones would work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	const connections = 3
	listener := &silentListener{Listener: listen(t)}
	instance := &fakeInstance{gated: true}
	// Each read waits for the others, so that each needs a connection of its own and no other connection is dialled.
	instance.reading.Add(connections)
	serve(t, listener, instance)
	client, address := newClient(t, ClientConfig{HeartbeatTimeout: 100 * time.Millisecond}), listener.Addr().String()
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _, _ = client.ReadLog(context.Background(), address, 3, 1, 0) })
	}
	calls.Wait()
	before := listener.silenceAll()
	assert.Equal(t, before, connections)
	_, err := client.Heartbeat(t.Context(), address, Status{})
	assert.ErrorIs(t, err, ErrUnreachable)
	_, err = client.Heartbeat(t.Context(), address, Status{})
	assert.NilError(t, err)
	listener.mu.Lock()
	defer listener.mu.Unlock()
	assert.Equal(t, len(listener.accepted), before+1)
}

func TestRetainForgetsReplacedPeers(t *testing.T) {
	listener := listen(t)
	serve(t, listener, &fakeInstance{})
	client, address := newClient(t, ClientConfig{}), listener.Addr().String()
	_, err := client.Heartbeat(t.Context(), address, Status{})
	assert.NilError(t, err)
	assert.Equal(t, len(client.pool.dump()), 1)
	client.Retain(nil)
	assert.Equal(t, len(client.pool.dump()), 0)
}
