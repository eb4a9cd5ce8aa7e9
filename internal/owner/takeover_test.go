package owner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// unfencedStore is a store at which the first fence on a topic goes unanswered. Until then the former owner writes records.
type unfencedStore struct {
	*memoryStore
	topic ledger.Topic
	write func()
	tried bool
}

func (u *unfencedStore) Append(ctx context.Context, b ledger.Batch) error {
	if b.Topic == u.topic && !u.tried {
		u.tried = true
		time.Sleep(time.Second)
		u.write()
		return ledger.ErrNoAnswer
	}
	return u.memoryStore.Append(ctx, b)
}

// TestTakeoverSeesLastRecords guards against a new owner that knows only the job or only the progress of what the former
// owner started last, and starts it again.
func TestTakeoverSeesLastRecords(t *testing.T) {
	tests := []struct {
		lateFence ledger.Topic
		want      work.State
	}{
		{TopicInbox, work.StateQueued}, {TopicProgress, work.StateRunning},
	}
	for _, tt := range tests {
		t.Run(string(tt.lateFence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				job := work.Job{ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now(), Stages: []work.Stage{
					{Count: 1, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)},
				}}
				submission, err := job.Encode()
				assert.NilError(t, err)
				progress, err := work.Progress{Begun: true, Tasks: []work.TaskProgress{
					{LastRun: 1, Bindings: []work.Binding{{Run: 1, Worker: "w", Incarnation: 1}}},
				}}.Encode()
				assert.NilError(t, err)
				store := &unfencedStore{memoryStore: newMemoryStore(), topic: tt.lateFence}
				store.write = func() {
					// The job is submitted by another node, and the former owner's epoch is in force until the fence.
					store.mu.Lock()
					defer store.mu.Unlock()
					store.newest[TopicInbox] = map[string][]byte{intake.RecordKeys(string(job.ID))[0]: submission}
					if store.epochs[TopicProgress] < 2 {
						store.newest[TopicProgress] = map[string][]byte{work.ProgressKey(job.ID, 0): progress}
					}
				}
				ow := newOwnership(Config{
					Store: store, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime,
					Configuration: func() (terms.Configuration, bool) { return terms.New(terms.Params{Version: 1}), true },
				}, 2, nil)
				ow.setRegistry([]agent.Entry{})
				_, err = ow.takeOver(t.Context())
				assert.NilError(t, err)
				state, err := ow.state(job.ID)
				assert.NilError(t, err)
				assert.Equal(t, state, tt.want)
			})
		})
	}
}

// slowReadStore is a store that answers reads of the newest jobs late, with the records as they were when the read began.
type slowReadStore struct {
	*memoryStore
	latency time.Duration
}

func (s *slowReadStore) Newest(ctx context.Context, topic ledger.Topic, partition int) (ledger.Page, error) {
	page, err := s.memoryStore.Newest(ctx, topic, partition)
	if topic == TopicInbox {
		time.Sleep(s.latency)
	}
	return page, err
}

// TestSlowTakeoverDeniesNoJob guards against a new owner that says that a job doesn't exist which was accepted while it read the
// jobs.
func TestSlowTakeoverDeniesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowReadStore{newMemoryStore(), maxInboxAge + time.Second}
		ow := newOwnership(Config{
			Store: store, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime,
			Configuration: func() (terms.Configuration, bool) { return terms.New(terms.Params{Version: 1}), true },
		}, 2, nil)
		ow.setRegistry([]agent.Entry{})
		_, err := ow.takeOver(t.Context())
		assert.NilError(t, err)
		_, err = ow.state("accepted-meanwhile")
		assert.ErrorIs(t, err, peers.ErrNotOwner)
	})
}

// TestTakeoverEndsWithNewestConfiguration guards against an owner that goes on with the configuration from the begin of its takeover.
func TestTakeoverEndsWithNewestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		configuration := terms.New(terms.Params{Version: 1})
		trace := &simTrace{begun: time.Now()}
		ow := newOwnership(Config{
			Store: &slowReadStore{newMemoryStore(), time.Second}, Log: zap.New(trace.core("n")), Shard: testShard, Uptime: testUptime,
			Configuration: func() (terms.Configuration, bool) {
				mu.Lock()
				defer mu.Unlock()
				return configuration, true
			},
		}, 2, nil)
		ow.setRegistry([]agent.Entry{})
		time.AfterFunc(500*time.Millisecond, func() {
			mu.Lock()
			configuration = terms.New(terms.Params{Version: 2, Queues: []terms.Queue{{Name: testQueue, Pool: "pool", Attempts: 1}}})
			changed := configuration
			mu.Unlock()
			ow.setConfiguration(changed)
		})
		_, err := ow.takeOver(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, ow.submit(work.Job{ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now()}))
		for _, l := range trace.sorted() {
			assert.Check(t, !strings.Contains(l.text, "queue-removed"), l.text)
		}
	})
}

// TestTakeoverThatCannotFinishIsGivenUp guards against a node that remains a member of the group while its takeover can't finish:
// nobody else takes over.
func TestTakeoverThatCannotFinishIsGivenUp(t *testing.T) {
	tests := []struct {
		name string
		cut  func(*simConnection)
	}{
		{"claim", func(c *simConnection) { c.cutAppends[TopicOwner] = true }},
		{"fence of the progress", func(c *simConnection) { c.cutAppends[TopicProgress] = true }},
		{"fence of the jobs", func(c *simConnection) { c.cutAppends[TopicInbox] = true }},
		{"read of the progress", func(c *simConnection) { c.cutReads[TopicProgress] = true }},
		{"read of the jobs", func(c *simConnection) { c.cutReads[TopicInbox] = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSimStore()
				stuck := newSimConnection(store, 1)
				stuck.set(tt.cut)
				first := startNode(stuck, "n0")
				time.Sleep(time.Second)
				assert.Assert(t, first.owner.current() != nil)
				second := startNode(newSimConnection(store, 2), "n1")
				time.Sleep(testRenewLimit + testMaxLease + 5*time.Second)
				assert.Check(t, second.serves())
				first.stop()
				second.stop()
			})
		})
	}
}

// TestOneTakeoverForEachEpoch guards against two owners under one epoch, which the store can't tell apart, if the group names a
// generation twice.
func TestOneTakeoverForEachEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSimStore()
		var done sync.WaitGroup
		var mu sync.Mutex
		takeovers := 0
		for i := range 3 {
			ow := newOwnership(Config{
				Self: peers.NodeInfo{Node: fmt.Sprint(i)}, Store: newSimConnection(store, int64(i)), Log: zap.NewNop(), Shard: testShard, Uptime: testUptime,
				Configuration: func() (terms.Configuration, bool) { return terms.New(terms.Params{Version: 1}), true },
			}, 2, nil)
			ow.setRegistry([]agent.Entry{})
			done.Go(func() {
				if _, err := ow.takeOver(t.Context()); err == nil {
					mu.Lock()
					defer mu.Unlock()
					takeovers++
				}
			})
		}
		done.Wait()
		assert.Equal(t, takeovers, 1)
	})
}

// staleStore is a store that leaves out all jobs in the first answers to reads of the newest ones.
type staleStore struct {
	*memoryStore
	stale int
}

func (s *staleStore) Newest(ctx context.Context, topic ledger.Topic, partition int) (ledger.Page, error) {
	if topic == TopicInbox && s.stale > 0 {
		s.stale--
		return ledger.Page{}, nil
	}
	return s.memoryStore.Newest(ctx, topic, partition)
}

// TestProgressOfUnreadJobIsKept guards against a job that a takeover finds only after its progress, and that starts from its
// beginning then.
func TestProgressOfUnreadJobIsKept(t *testing.T) {
	for _, stale := range []int{0, 1, 100} {
		t.Run(fmt.Sprintf("%d stale answers", stale), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				job := work.Job{ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now(), Stages: []work.Stage{
					{Count: 1, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)},
				}}
				submission, err := job.Encode()
				assert.NilError(t, err)
				progress, err := work.Progress{Begun: true, Tasks: []work.TaskProgress{
					{LastRun: 1, Bindings: []work.Binding{{Run: 1, Worker: "w", Incarnation: 1}}},
				}}.Encode()
				assert.NilError(t, err)
				store := &staleStore{newMemoryStore(), stale}
				store.newest[TopicInbox] = map[string][]byte{intake.RecordKeys(string(job.ID))[0]: submission}
				store.newest[TopicProgress] = map[string][]byte{work.ProgressKey(job.ID, 0): progress}
				ow := newOwnership(Config{
					Store: store, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime,
					Configuration: func() (terms.Configuration, bool) { return terms.New(terms.Params{Version: 1}), true },
				}, 2, nil)
				ow.setRegistry([]agent.Entry{})
				_, err = ow.takeOver(t.Context())
				assert.NilError(t, err)
				assert.NilError(t, ow.submit(job))
				state, err := ow.state(job.ID)
				assert.NilError(t, err)
				assert.Equal(t, state, work.StateRunning)
			})
		})
	}
}
