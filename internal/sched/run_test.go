package sched

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/lease"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/stream"
)

// shared lets the goroutines of one instance use the fakes, which know no locks.
type shared struct {
	mu      sync.Mutex
	fleet   *fleetFake
	log     *journal
	links   *linksFake
	updates chan stream.Update
	node    *node
}

func (s *shared) Next(ctx context.Context) (stream.Update, error) {
	select {
	case u := <-s.updates:
		return u, nil
	case <-ctx.Done():
		return stream.Update{}, ctx.Err()
	}
}

// fold applies the records that are new and queues their events.
func (s *shared) fold() {
	for s.node.read < len(s.log.records) {
		offset := model.Offset(s.node.read)
		applied := s.node.fold.Apply(offset, s.log.records[s.node.read])
		s.node.read++
		s.updates <- stream.Update{Offset: offset, Events: applied.Events}
	}
}

func (s *shared) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.sequence++
	_, results := s.log.append(record.Envelope{Writer: "n", Incarnation: 1, Sequence: s.node.sequence, Ops: ops})
	s.fold()
	return results, nil
}

func (s *shared) List(ctx context.Context) ([]ports.Instance, error) { return s.fleet.List(ctx) }

func (s *shared) Lease(ctx context.Context, a string, r ports.LeaseRequest) (ports.WorkerReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Lease(ctx, a, r)
}

func (s *shared) Release(ctx context.Context, a string, t model.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Release(ctx, a, t)
}

func (s *shared) Start(ctx context.Context, a string, t model.Token, r []ports.StartRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Start(ctx, a, t, r)
}

func (s *shared) Stop(ctx context.Context, a string, t model.Token, o model.Outcome, ids []model.AttemptID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Stop(ctx, a, t, o, ids)
}

func (s *shared) Checkpoint(ctx context.Context, a string, t model.Token, id model.AttemptID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Checkpoint(ctx, a, t, id)
}

func (s *shared) Throttle(ctx context.Context, a string, t model.Token, id model.AttemptID, f float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Throttle(ctx, a, t, id, f)
}

func (s *shared) Acknowledge(ctx context.Context, a string, t model.Token, ids []model.AttemptID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Acknowledge(ctx, a, t, ids)
}

func (s *shared) done() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.done()
}

// Guards against deadlocks and races between the placer, the leases and the feed, and leases kept after the end.
func TestRunTogether(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	s := &shared{
		fleet: newFleet(clock, testCentre, 20, cores(8)), log: newJournal(t, clock),
		links: &linksFake{clock: clock, placer: true, since: clock.Now()}, updates: make(chan stream.Update, 10_000),
		node: &node{fold: newMachine(t)},
	}
	p, err := New(Config{DataCentre: testCentre}, Deps{
		Feed: s, Submit: s, Links: s.links, View: s.node.fold, Invariants: invar.New(zap.NewNop(), true), Clock: clock,
		Log: zap.NewNop(),
	})
	assert.NilError(t, err)
	m, err := lease.New(lease.Config{Instance: "n", DataCentre: testCentre}, lease.Deps{
		Workers: s, List: s, Links: s.links, Submit: s, Handler: p, Clock: clock, Log: zap.NewNop(),
	})
	assert.NilError(t, err)
	p.SetLeases(m)
	s.log.declare(declared(testCentre))
	s.log.accept(job("a", "a", "patient", 300, cores(1)))
	s.log.accept(job("b", "b", "urgent", 100, cores(2)))
	s.fold()

	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, m.Run(ctx)) })
	wg.Go(func() { assert.Check(t, p.Run(ctx)) })
	for range 200_000 {
		if s.done() == 400 {
			break
		}
		clock.Advance(10 * time.Millisecond)
		_ = p.Dump()
		_ = m.Dump()
	}
	cancel()
	wg.Wait()
	assert.Equal(t, s.done(), 400)
	assert.Equal(t, s.fleet.doubles+s.fleet.over, 0)
	for _, h := range s.fleet.hosts {
		assert.Assert(t, !clock.Now().Before(h.expires), "lease of %s is still held", h.id)
	}
}
