package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/work"
)

// TestBusyWaitBoundsHeartbeats guards against an owner that a large fleet's reports keep from deciding, and against waits
// after which a worker would count as silent.
func TestBusyWaitBoundsHeartbeats(t *testing.T) {
	tests := []struct {
		workers  int
		interval time.Duration
		want     time.Duration
	}{
		{1, time.Second, time.Second - 2*heartbeatPause},
		{350, time.Second, time.Second - 2*heartbeatPause},
		{350, 1500 * time.Millisecond, 1500*time.Millisecond - 2*heartbeatPause},
		{600, time.Second, time.Second},
		{1100, time.Second, idleWait},
		{7500, 2 * time.Second, idleWait},
	}
	for _, tt := range tests {
		got := busyWaitFor(tt.workers, tt.interval)
		assert.Assert(t, (got-tt.want).Abs() < time.Millisecond, "%d workers: %v", tt.workers, got)
	}
}

// fencedWorker loses its answer to the first heartbeat that renews a lease while a start is under way, and refuses commands with
// a lower fencing token than the highest that it has accepted.
type fencedWorker struct {
	oneWorker

	tokensMu sync.Mutex
	starting bool
	lost     bool
	highest  int64
	fenced   int
	tokens   []int64
}

func (w *fencedWorker) accept(token int64) error {
	if token < w.highest {
		w.fenced++
		return agent.ErrFenced
	}
	w.highest = token
	w.tokens = append(w.tokens, token)
	return nil
}

func (w *fencedWorker) Heartbeat(ctx context.Context, to agent.Target, h agent.Heartbeat) (agent.Report, error) {
	h.Wait = min(h.Wait, 100*time.Millisecond)
	w.tokensMu.Lock()
	lost := w.starting && !w.lost && h.LeaseEnd > 0
	w.lost = w.lost || lost
	err := agent.ErrNoAnswer
	if !lost {
		err = w.accept(h.Token)
	}
	w.tokensMu.Unlock()
	if err != nil {
		return agent.Report{}, err
	}
	return w.oneWorker.Heartbeat(ctx, to, h)
}

func (w *fencedWorker) Start(ctx context.Context, to agent.Target, s agent.Start) (time.Duration, error) {
	w.tokensMu.Lock()
	w.starting = true
	w.tokensMu.Unlock()
	pause.For(ctx, 2500*time.Millisecond)
	w.tokensMu.Lock()
	err := w.accept(s.Token)
	w.tokensMu.Unlock()
	if err != nil {
		return time.Since(w.start), err
	}
	return w.oneWorker.Start(ctx, to, s)
}

// TestOwnHigherTokenDoesNotEndOwnership guards against an owner that takes its own higher fencing token for that of another
// owner: a start is overtaken by a heartbeat that was sent after another one stayed unanswered.
func TestOwnHigherTokenDoesNotEndOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fencedWorker{oneWorker: oneWorker{start: time.Now()}}
		node := startNodeWith(&faultyStore{memoryStore: newMemoryStore()}, "n0", w)
		defer node.stop()
		time.Sleep(3 * time.Second)
		assert.NilError(t, node.owner.Submit(work.Job{
			ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now(),
			Stages: []work.Stage{{Count: 1, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)}},
		}))
		time.Sleep(8 * time.Second)
		w.tokensMu.Lock()
		defer w.tokensMu.Unlock()
		assert.Equal(t, w.fenced, 1, "the start wasn't overtaken")
		assert.Assert(t, !w.lastStart().IsZero())
		assert.Equal(t, w.tokens[0]>>20, w.tokens[len(w.tokens)-1]>>20, "another ownership began")
	})
}

// blockingWorkers answers the heartbeats of each address when the test says so.
type blockingWorkers struct {
	mu     sync.Mutex
	answer map[string]chan agent.Report
	asked  chan string
}

func (b *blockingWorkers) Heartbeat(ctx context.Context, to agent.Target, _ agent.Heartbeat) (agent.Report, error) {
	b.mu.Lock()
	answer := b.answer[to.Address]
	b.mu.Unlock()
	b.asked <- to.Address
	return <-answer, nil
}

func (b *blockingWorkers) Start(context.Context, agent.Target, agent.Start) (time.Duration, error) {
	return 0, agent.ErrNotSent
}

func (b *blockingWorkers) Stop(context.Context, agent.Target, agent.Stop) (time.Duration, error) {
	return 0, agent.ErrNotSent
}

// TestReplacedSessionAppliesNothing guards against a report that counts as the answer to a heartbeat of the next session: it arrived
// before its session was replaced and is applied after that.
func TestReplacedSessionAppliesNothing(t *testing.T) {
	w := &blockingWorkers{
		answer: map[string]chan agent.Report{"a": make(chan agent.Report, 1), "b": make(chan agent.Report)}, asked: make(chan string, 100),
	}
	ow := newOwnership(Config{Workers: w, Log: zap.NewNop(), Uptime: testUptime, Shard: shard.Config{
		Lease: 7 * time.Second, MaxLease: 10 * time.Second, RenewLimit: testRenewLimit, Retention: time.Minute,
	}}, 1, nil)
	ow.permission.noteAppend(testUptime() + time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	entry := agent.Entry{ID: "w", Pool: "pool", Address: "a", Capacity: model.Resources{Cores: 1000, Memory: 1000}}
	ow.mu.Lock()
	ow.shard.SetRegistry([]agent.Entry{entry})
	ow.syncSessions(ctx)
	ow.mu.Unlock()
	assert.Equal(t, <-w.asked, "a")
	ow.mu.Lock()
	// The report arrives while another goroutine holds the lock.
	w.answer["a"] <- agent.Report{Clock: time.Second, Incarnation: 1, Connection: 1}
	time.Sleep(50 * time.Millisecond)
	entry.Address = "b"
	ow.shard.SetRegistry([]agent.Entry{entry})
	ow.syncSessions(ctx)
	ow.mu.Unlock()
	assert.Equal(t, <-w.asked, "b")
	time.Sleep(50 * time.Millisecond)
	ow.mu.Lock()
	defer ow.mu.Unlock()
	assert.Assert(t, ow.shard.Busy("w"), "the report of the cancelled session was applied")
}

// TestReplacedSessionSendsNothing guards against a heartbeat of the next session that counts as unanswered, and whose answer then
// counts as that to a later heartbeat: the replaced session was about to send its next one.
func TestReplacedSessionSendsNothing(t *testing.T) {
	w := &blockingWorkers{answer: map[string]chan agent.Report{"a": make(chan agent.Report, 1)}, asked: make(chan string, 100)}
	w.answer["a"] <- agent.Report{}
	ow := newOwnership(Config{Workers: w, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime}, 1, nil)
	ctx, cancel := context.WithCancel(t.Context())
	s := &workerSession{ownership: ow, target: agent.Target{ID: "w", Address: "a"}, cancel: cancel}
	ended := make(chan struct{})
	ow.mu.Lock()
	ow.shard.SetRegistry([]agent.Entry{{ID: "w", Pool: "pool", Address: "b", Capacity: model.Resources{Cores: 1000, Memory: 1000}}})
	go func() {
		defer close(ended)
		s.run(ctx)
	}()
	// The session waits for the lock.
	time.Sleep(50 * time.Millisecond)
	cancel()
	ow.mu.Unlock()
	<-ended
	assert.Equal(t, len(w.asked), 0, "the replaced session has sent a heartbeat")
}
