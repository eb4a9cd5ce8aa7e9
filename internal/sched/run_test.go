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

// lockedFakes adds locking to the fakes, so that the goroutines of one instance can share them.
type lockedFakes struct {
	mu      sync.Mutex
	fleet   *fakeFleet
	log     *fakeLog
	links   *fakeLinks
	updates chan stream.Update
	node    *node
}

func (l *lockedFakes) Next(ctx context.Context) (stream.Update, error) {
	select {
	case u := <-l.updates:
		return u, nil
	case <-ctx.Done():
		return stream.Update{}, ctx.Err()
	}
}

// applyNewRecords applies the new records and queues their events.
func (l *lockedFakes) applyNewRecords() {
	for l.node.appliedRecords < len(l.log.records) {
		offset := model.Offset(l.node.appliedRecords)
		applied := l.node.machine.Apply(offset, l.log.records[l.node.appliedRecords])
		l.node.appliedRecords++
		l.updates <- stream.Update{Offset: offset, Events: applied.Events}
	}
}

func (l *lockedFakes) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.sequence++
	_, results := l.log.append(record.Envelope{Writer: "n", Incarnation: 1, Sequence: l.node.sequence, Ops: ops})
	l.applyNewRecords()
	return results, nil
}

func (l *lockedFakes) List(ctx context.Context) ([]ports.Instance, error) { return l.fleet.List(ctx) }

func (l *lockedFakes) Lease(ctx context.Context, a string, r ports.LeaseRequest) (ports.WorkerReport, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Lease(ctx, a, r)
}

func (l *lockedFakes) Release(ctx context.Context, a string, t model.Token) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Release(ctx, a, t)
}

func (l *lockedFakes) Start(ctx context.Context, a string, t model.Token, r []ports.StartRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Start(ctx, a, t, r)
}

func (l *lockedFakes) Stop(ctx context.Context, a string, t model.Token, o model.Outcome, ids []model.AttemptID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Stop(ctx, a, t, o, ids)
}

func (l *lockedFakes) Checkpoint(ctx context.Context, a string, t model.Token, id model.AttemptID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Checkpoint(ctx, a, t, id)
}

func (l *lockedFakes) Throttle(ctx context.Context, a string, t model.Token, id model.AttemptID, f float64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Throttle(ctx, a, t, id, f)
}

func (l *lockedFakes) Acknowledge(ctx context.Context, a string, t model.Token, ids []model.AttemptID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Acknowledge(ctx, a, t, ids)
}

func (l *lockedFakes) done() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.doneTasks()
}

// Guards against deadlocks and data races between the placer, the leases and the feed, and against leases that are
// still held after shutdown.
func TestPlacerAndLeasesRunConcurrently(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	l := &lockedFakes{
		fleet: newFleet(clock, testDataCentre, 20, cores(8)), log: newFakeLog(t, clock),
		links: &fakeLinks{clock: clock, placer: true, connectedSince: clock.Now()}, updates: make(chan stream.Update, 10_000),
		node: &node{machine: newMachine(t)},
	}
	p, err := New(Config{DataCentre: testDataCentre}, Deps{
		Feed: l, Submit: l, Links: l.links, View: l.node.machine, Invariants: invar.New(zap.NewNop(), true), Clock: clock,
		Log: zap.NewNop(),
	})
	assert.NilError(t, err)
	m, err := lease.New(lease.Config{Instance: "n", DataCentre: testDataCentre}, lease.Deps{
		Workers: l, List: l, Links: l.links, Submit: l, Handler: p, Clock: clock, Log: zap.NewNop(),
	})
	assert.NilError(t, err)
	p.SetLeases(m)
	l.log.declare(testDeclarations(testDataCentre))
	l.log.accept(job("a", "a", "patient", 300, cores(1)))
	l.log.accept(job("b", "b", "urgent", 100, cores(2)))
	l.applyNewRecords()

	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, m.Run(ctx)) })
	wg.Go(func() { assert.Check(t, p.Run(ctx)) })
	for range 200_000 {
		if l.done() == 400 {
			break
		}
		clock.Advance(10 * time.Millisecond)
		_ = p.Dump()
		_ = m.Dump()
	}
	cancel()
	wg.Wait()
	assert.Equal(t, l.done(), 400)
	assert.Equal(t, l.fleet.doubleRuns+l.fleet.overcommits, 0)
	for _, w := range l.fleet.workers {
		assert.Assert(t, !clock.Now().Before(w.leaseExpiresAt), "lease of %s is still held", w.id)
	}
}
