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
	"arbutuswing.example/internal/intake"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// overtakenStore is a node's connection to a store in which a newer owner writes while the node reads the newest records of a
// topic for the n-th time, before or after the store has looked them up.
type overtakenStore struct {
	*memoryStore
	topic  ledger.Topic
	n      int
	before bool
	write  func(*memoryStore)
}

func (o *overtakenStore) Newest(ctx context.Context, topic ledger.Topic, partition int) (ledger.Page, error) {
	overtaken := false
	if topic == o.topic {
		o.n--
		overtaken = o.n == 0
	}
	if overtaken && o.before {
		o.write(o.memoryStore)
	}
	page, err := o.memoryStore.Newest(ctx, topic, partition)
	if overtaken && !o.before {
		o.write(o.memoryStore)
	}
	return page, err
}

// fence makes a newer owner's epoch known on all topics.
func fence(t *testing.T, store *memoryStore, epoch int64) {
	t.Helper()
	for _, topic := range topics {
		assert.NilError(t, store.Append(t.Context(), ledger.Batch{Topic: topic, Producer: producer, Epoch: epoch}))
	}
}

// TestOvertakenTakeoverRestoresNothing guards against an owner that acts on a state of which it has read one part before and one part
// after a newer owner's records.
func TestOvertakenTakeoverRestoresNothing(t *testing.T) {
	job := work.Job{ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now(), Stages: []work.Stage{
		{Count: 1, Size: model.Resources{Cores: 1}, RunTime: model.Duration(time.Second)},
	}}
	submission, err := job.Encode()
	assert.NilError(t, err)
	begun, err := work.Progress{Begun: true, Tasks: []work.TaskProgress{
		{LastRun: 1, Bindings: []work.Binding{{Run: 1, Worker: "w", Incarnation: 1}}},
	}}.Encode()
	assert.NilError(t, err)
	completed, err := work.Progress{Begun: true, Final: work.StateCompleted}.Encode()
	assert.NilError(t, err)
	jobKey, progressKey := intake.RecordKeys(string(job.ID))[0], work.ProgressKey(job.ID, 0)
	finish := func(store *memoryStore) {
		fence(t, store, 3)
		store.mu.Lock()
		defer store.mu.Unlock()
		store.newest[TopicProgress] = map[string][]byte{progressKey: completed}
		delete(store.newest[TopicInbox], jobKey)
	}
	tests := []struct {
		name   string
		topic  ledger.Topic
		n      int
		before bool
		write  func(*memoryStore)
	}{
		{"finishes a job before the read of the progress", TopicProgress, 1, true, finish},
		{"finishes a job after the read of the progress", TopicProgress, 1, false, finish},
		{"finishes a job before the read of the jobs", TopicInbox, 1, true, finish},
		{"finishes a job after the read of the jobs", TopicInbox, 1, false, finish},
		{"finishes a job while the jobs are read again", TopicInbox, 2, false, finish},
		{"only fences", TopicInbox, 1, false, func(store *memoryStore) { fence(t, store, 3) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &overtakenStore{memoryStore: newMemoryStore(), topic: tt.topic, n: tt.n, before: tt.before, write: tt.write}
				if tt.n == 1 {
					store.newest[TopicInbox] = map[string][]byte{jobKey: submission}
				}
				store.newest[TopicProgress] = map[string][]byte{progressKey: begun}
				ow := newOwnership(Config{
					Store: store, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime,
					Configuration: func() (terms.Configuration, bool) { return terms.New(terms.Params{Version: 1}), true },
				}, 2, nil)
				ow.setRegistry([]agent.Entry{})
				_, err := ow.takeOver(t.Context())
				assert.ErrorIs(t, err, ledger.ErrFenced)
				_, err = ow.state(job.ID)
				assert.ErrorIs(t, err, peers.ErrNotOwner)
				assert.ErrorIs(t, ow.submit(job), peers.ErrNotOwner)
				_, err = ow.pending(testQueue)
				assert.ErrorIs(t, err, peers.ErrNotOwner)
			})
		})
	}
}

// countingWorkers counts the commands to workers; none is answered.
type countingWorkers struct {
	mu       sync.Mutex
	commands int
}

func (c *countingWorkers) count() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands++
	return agent.ErrNoAnswer
}

func (c *countingWorkers) Heartbeat(context.Context, agent.Target, agent.Heartbeat) (agent.Report, error) {
	return agent.Report{}, c.count()
}

func (c *countingWorkers) Start(context.Context, agent.Target, agent.Start) (time.Duration, error) {
	return 0, c.count()
}

func (c *countingWorkers) Stop(context.Context, agent.Target, agent.Stop) (time.Duration, error) {
	return 0, c.count()
}

// TestOvertakenTakeoverSendsNothing guards against commands to workers from a node whose takeover a newer owner has overtaken.
func TestOvertakenTakeoverSendsNothing(t *testing.T) {
	tests := []struct {
		name      string
		overtaken bool
	}{{"overtaken", true}, {"not overtaken", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &overtakenStore{memoryStore: newMemoryStore(), topic: TopicInbox, n: 1, write: func(store *memoryStore) {
					if tt.overtaken {
						fence(t, store, 3)
					}
				}}
				workers := &countingWorkers{}
				entries := []agent.Entry{{ID: "w", Pool: "pool", Address: "w", Capacity: model.Resources{Cores: 1000, Memory: 1000}}}
				ow := newOwnership(Config{
					Store: store, Workers: workers, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime,
					Configuration: func() (terms.Configuration, bool) { return terms.New(terms.Params{Version: 1}), true },
					Registry:      func(events RegistryEvents) Runner { return fixedRegistry{entries, events} },
				}, 2, nil)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				ow.run(ctx)
				assert.Equal(t, ow.ended(), tt.overtaken)
				workers.mu.Lock()
				defer workers.mu.Unlock()
				assert.Equal(t, workers.commands == 0, tt.overtaken)
			})
		})
	}
}

// silentProofStore is a store at which each topic answers one append without records only.
type silentProofStore struct {
	*memoryStore
	fencesMu sync.Mutex
	fences   map[ledger.Topic]int
}

func (s *silentProofStore) Append(ctx context.Context, b ledger.Batch) error {
	s.fencesMu.Lock()
	if len(b.Records) == 0 {
		s.fences[b.Topic]++
	}
	silent := s.fences[b.Topic] > 1
	s.fencesMu.Unlock()
	if silent {
		return ledger.ErrNoAnswer
	}
	return s.memoryStore.Append(ctx, b)
}

// TestUnprovenTakeoverIsGivenUp guards against a takeover that acts on its reads, or waits for good, though the store doesn't confirm
// that no newer owner exists.
func TestUnprovenTakeoverIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := newOwnership(Config{
			Store: &silentProofStore{memoryStore: newMemoryStore(), fences: make(map[ledger.Topic]int)}, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime,
			Configuration: func() (terms.Configuration, bool) { return terms.New(terms.Params{Version: 1}), true },
		}, 2, nil)
		ow.setRegistry([]agent.Entry{})
		_, err := ow.takeOver(t.Context())
		assert.ErrorIs(t, err, errStuck)
		_, err = ow.state("j")
		assert.ErrorIs(t, err, peers.ErrNotOwner)
	})
}

// numbersStore is a store that notes the sequence numbers of appends.
type numbersStore struct {
	*memoryStore
	numbers []int64
}

func (s *numbersStore) Append(ctx context.Context, b ledger.Batch) error {
	s.numbers = append(s.numbers, b.Sequence)
	return s.memoryStore.Append(ctx, b)
}

// TestAppendsHaveNumbersOfTheirOwn guards against a proof of the ownership that the store answers with what it said to an earlier
// append with the same number.
func TestAppendsHaveNumbersOfTheirOwn(t *testing.T) {
	store := &numbersStore{memoryStore: newMemoryStore()}
	ow := newOwnership(Config{Store: store, Log: zap.NewNop(), Shard: testShard, Uptime: testUptime}, 2, nil)
	record := []ledger.Record{{Key: "k", Value: []byte("v")}}
	for _, records := range [][]ledger.Record{nil, nil, record, nil, record} {
		assert.NilError(t, ow.append(t.Context(), TopicProgress, records))
	}
	for i, number := range store.numbers {
		assert.Equal(t, number, store.numbers[0]+int64(i))
	}
}
