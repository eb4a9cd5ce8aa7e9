package route

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/once"
	"arbutuswing.example/internal/ports"
)

// scriptedEndpoint is an endpoint adapter that ends attempts as scripted and counts runs by request ID.
type scriptedEndpoint struct {
	mu sync.Mutex
	// script holds the errors of the next attempts; when it is used up, every attempt is answered.
	script     []error
	runs       map[string]int
	sent       []string
	idleClosed []string
	// hold, if set, blocks attempts until it is closed.
	hold chan struct{}
	// wrongAttempt makes answers carry the ID of another attempt.
	wrongAttempt bool
}

func (s *scriptedEndpoint) Send(ctx context.Context, call ports.Call) (ports.Answer, error) {
	if s.hold != nil {
		select {
		case <-s.hold:
		case <-ctx.Done():
			return ports.Answer{}, ports.ErrNoAnswer
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, call.Address)
	var err error
	if len(s.script) > 0 {
		err, s.script = s.script[0], s.script[1:]
	}
	if err == nil || errors.Is(err, ports.ErrNoAnswer) {
		s.runs[call.RequestID]++
	}
	attempt := call.Attempt
	if s.wrongAttempt {
		attempt += "-other"
	}
	return ports.Answer{Attempt: attempt, Status: 200, Body: call.Body}, err
}

func (s *scriptedEndpoint) CloseIdleConnections(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleClosed = append(s.idleClosed, address)
}

type fixedList []ports.Instance

func (l fixedList) List(context.Context) ([]ports.Instance, error) { return l, nil }

type noPeers struct{}

func (noPeers) Claim(context.Context, once.Member, once.ClaimRequest) (once.Status, error) {
	return "", ports.ErrUnreachable
}

func (noPeers) Settle(context.Context, once.Member, once.SettleRequest) error {
	return ports.ErrUnreachable
}

func (noPeers) Handoff(context.Context, once.Member, once.Member, model.Offset) (once.Handoff, error) {
	return once.Handoff{}, ports.ErrUnreachable
}

func endpoints(n int) fixedList {
	out := make(fixedList, 0, n)
	for i := range n {
		out = append(out, ports.Instance{
			ID: fmt.Sprintf("e%d", i), Role: ports.RoleEndpoint, DataCentre: "dc1", Class: "quote", Slots: 8,
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Presence: ports.PresenceLive,
		})
	}
	return out
}

func newRouter(t fataler, endpoint ports.Endpoint, list ports.Lister) *Router {
	self := once.Member{Instance: "entry", Incarnation: 1}
	claims, err := once.New(once.Config{Self: self, Peers: noPeers{}})
	if err != nil {
		t.Fatal(err)
	}
	claims.ApplyMembership(once.Membership{Offset: 0, Members: []once.Member{self}}, true)
	r, err := New(Config{
		Instance: "entry", DataCentre: "dc1", Endpoint: endpoint, Lister: list, Claims: claims,
		Invariants: invar.New(zap.NewNop(), true),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	return r
}

type fataler interface{ Fatal(args ...any) }

// TestOutcomes guards against a request that is sent again although it may have run, and against a wrong "not run".
func TestOutcomes(t *testing.T) {
	unsent := fmt.Errorf("dialling: %w", ports.ErrNotSent)
	tests := []struct {
		name       string
		idempotent bool
		script     []error
		want       error
		sends      int
	}{
		{name: "answered", script: nil, want: nil, sends: 1},
		{name: "busy, then answered", script: []error{ports.ErrBusy, ports.ErrBusy}, want: nil, sends: 3},
		{name: "leaving", script: []error{ports.ErrLeaving}, want: nil, sends: 2},
		{name: "not sent", script: []error{unsent}, want: nil, sends: 2},
		{name: "no answer, not idempotent", script: []error{ports.ErrNoAnswer}, want: ErrUnknownOutcome, sends: 1},
		{name: "no answer, idempotent", idempotent: true, script: []error{ports.ErrNoAnswer}, want: nil, sends: 2},
		{
			name: "refused after an attempt that may have run", idempotent: true,
			script: []error{ports.ErrNoAnswer, unsent, unsent, unsent, unsent, unsent, unsent, unsent},
			want:   ErrUnknownOutcome, sends: 8,
		},
		{
			name: "every attempt refused", script: []error{unsent, unsent, unsent, unsent, unsent, unsent, unsent, unsent},
			want: ErrNotRun, sends: 8,
		},
		{name: "unclassified error", script: []error{errors.New("unclassified error")}, want: ErrUnknownOutcome, sends: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &scriptedEndpoint{script: test.script, runs: make(map[string]int)}
			r := newRouter(t, e, endpoints(12))
			_, err := r.Serve(context.Background(), Request{
				ID: "id", Class: "quote", Team: "a", Idempotent: test.idempotent,
			})
			if test.want == nil {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, test.want)
			}
			assert.Equal(t, len(e.sent), test.sends)
		})
	}
}

// TestRequestIDRunsOnce guards against a request that runs twice because the client retries it with the same ID, after
// any outcome.
func TestRequestIDRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		errs := []error{nil, ports.ErrBusy, ports.ErrLeaving, ports.ErrNotSent, ports.ErrNoAnswer}
		script := rapid.SliceOfN(rapid.SampledFrom(errs), 0, 12).Draw(t, "script")
		e := &scriptedEndpoint{script: script, runs: make(map[string]int)}
		r := newRouter(t, e, endpoints(12))
		id := "own"
		if rapid.Bool().Draw(t, "issued") {
			id = r.cfg.Claims.Issue()
		}
		for range 4 {
			_, err := r.Serve(context.Background(), Request{ID: id, Class: "quote", Team: "a"})
			if errors.Is(err, ErrNotRun) && e.runs[id] > 0 {
				t.Fatalf("%q was reported as not run after %d runs", id, e.runs[id])
			}
		}
		if e.runs[id] > 1 {
			t.Fatalf("%q ran %d times", id, e.runs[id])
		}
	})
}

// TestDrainWaitsForOpenRequests guards against a planned stop that aborts open requests or admits new ones.
func TestDrainWaitsForOpenRequests(t *testing.T) {
	e := &scriptedEndpoint{runs: make(map[string]int), hold: make(chan struct{})}
	r := newRouter(t, e, endpoints(1))
	open := &openRequest{router: r, result: make(chan error, 1)}
	go open.run()
	for r.inflight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, r.Drain(short), context.DeadlineExceeded)
	_, err := r.Serve(context.Background(), Request{Class: "quote"})
	assert.ErrorIs(t, err, ErrDraining)
	assert.ErrorIs(t, err, ErrNotRun)
	close(e.hold)
	assert.NilError(t, r.Drain(context.Background()))
	assert.NilError(t, <-open.result)
}

type openRequest struct {
	router *Router
	result chan error
}

func (o *openRequest) run() {
	_, err := o.router.Serve(context.Background(), Request{Class: "quote", Team: "a"})
	o.result <- err
}

// TestWaitingIsFairAndBounded guards against one team's burst starving another team, and against waiters that stay
// queued past their deadline.
func TestWaitingIsFairAndBounded(t *testing.T) {
	q := newFairQueue()
	later := time.Now().Add(time.Hour)
	for range 30 {
		q.push(&waiter{team: "large", deadline: later})
	}
	for range 10 {
		q.push(&waiter{team: "small", deadline: later})
	}
	share := map[model.TeamID]float64{"large": 3, "small": 1}
	got := make(map[model.TeamID]int)
	for range 20 {
		w := q.peek(time.Now())
		got[w.team]++
		q.charge(w, share[w.team])
	}
	assert.Equal(t, got["large"], 15)
	assert.Equal(t, got["small"], 5)
	assert.Assert(t, q.peek(later) == nil)
	assert.Equal(t, q.size, 0)
}

// TestLeavingEndpointGetsNoRequests guards against new requests to an endpoint that is marked as leaving in the
// instance list or has answered that it is leaving.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	list := endpoints(2)
	list[0].Presence = ports.PresenceLeaving
	e := &scriptedEndpoint{runs: make(map[string]int)}
	r := newRouter(t, e, list)
	for range 20 {
		_, err := r.Serve(context.Background(), Request{Class: "quote", Team: "a", Idempotent: true})
		assert.NilError(t, err)
	}
	for _, address := range e.sent {
		assert.Equal(t, address, list[1].Address)
	}
	e.script = []error{ports.ErrLeaving}
	_, err := r.Serve(context.Background(), Request{Class: "quote", Team: "a", Idempotent: true})
	assert.ErrorIs(t, err, ErrNoEndpoint)
}

// TestRepeatedTimeoutsCloseIdleConnections guards against dead connections that stay in the pool.
func TestRepeatedTimeoutsCloseIdleConnections(t *testing.T) {
	e := &scriptedEndpoint{runs: make(map[string]int), script: []error{ports.ErrNoAnswer, ports.ErrNoAnswer}}
	r := newRouter(t, e, endpoints(1))
	for range 2 {
		_, err := r.Serve(context.Background(), Request{Class: "quote", Team: "a"})
		assert.ErrorIs(t, err, ErrUnknownOutcome)
	}
	assert.DeepEqual(t, e.idleClosed, []string{"127.0.0.1:9000"})
}

// TestAnswerToOtherAttemptIsRejected guards against a client that gets the answer to another request.
func TestAnswerToOtherAttemptIsRejected(t *testing.T) {
	e := &scriptedEndpoint{runs: make(map[string]int), wrongAttempt: true}
	r := newRouter(t, e, endpoints(3))
	r.cfg.Invariants = invar.New(zap.NewNop(), false)
	answer, err := r.Serve(context.Background(), Request{Class: "quote", Team: "a", Body: []byte("mine")})
	assert.ErrorIs(t, err, ErrUnknownOutcome)
	assert.Equal(t, len(answer.Body), 0)
	assert.Equal(t, r.cfg.Invariants.Violations()[invar.WholeAnswer], 1)
}
