package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/pause"
	"arbutuswing.example/internal/peers"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/terms"
)

const (
	testQueue      = "batch"
	testRenewLimit = 3 * time.Second
	testMaxLease   = 10 * time.Second
)

// testShard configures the shards of the tests.
var testShard = shard.Config{Lease: 7 * time.Second, MaxLease: testMaxLease, RenewLimit: testRenewLimit, Retention: time.Minute}

// testUptime is the uptime of a node that is never suspended.
func testUptime() time.Duration { return time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) }

// memoryStore is an in-memory store whose appends can be made to fail.
type memoryStore struct {
	mu      sync.Mutex
	newest  map[ledger.Topic]map[string][]byte
	epochs  map[ledger.Topic]int64
	groups  map[string]map[string]time.Time
	changes int64
	// fail is the error that appends to failTopic return, or nil.
	fail      error
	failTopic ledger.Topic
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		newest: make(map[ledger.Topic]map[string][]byte), epochs: make(map[ledger.Topic]int64),
		groups: make(map[string]map[string]time.Time),
	}
}

func (m *memoryStore) Append(_ context.Context, b ledger.Batch) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail != nil && b.Topic == m.failTopic {
		return m.fail
	}
	if b.Epoch < m.epochs[b.Topic] {
		return ledger.ErrFenced
	}
	m.epochs[b.Topic] = b.Epoch
	if m.newest[b.Topic] == nil {
		m.newest[b.Topic] = make(map[string][]byte)
	}
	for _, r := range b.Records {
		m.newest[b.Topic][r.Key] = r.Value
	}
	return nil
}

func (m *memoryStore) Newest(_ context.Context, topic ledger.Topic, _ int) (ledger.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var page ledger.Page
	for key, value := range m.newest[topic] {
		page.Records = append(page.Records, ledger.Record{Key: key, Value: value})
	}
	return page, nil
}

func (m *memoryStore) Read(ctx context.Context, _ ledger.Topic, _ int, from int64, wait time.Duration) (ledger.Page, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return ledger.Page{Next: from}, nil
}

func (m *memoryStore) members(group string) []string {
	var list []string
	for member, last := range m.groups[group] {
		if time.Since(last) > memberTTL {
			delete(m.groups[group], member)
			m.changes++
			continue
		}
		list = append(list, member)
	}
	slices.Sort(list)
	return list
}

func (m *memoryStore) Join(_ context.Context, s ledger.Membership) (ledger.Assignment, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members(s.Group)
	if m.groups[s.Group] == nil {
		m.groups[s.Group] = make(map[string]time.Time)
	}
	if _, known := m.groups[s.Group][s.Member]; !known {
		m.changes++
	}
	m.groups[s.Group][s.Member] = time.Now()
	assignment := ledger.Assignment{Generation: m.changes}
	if m.members(s.Group)[0] == s.Member {
		assignment.Partitions = []int{Partition}
	}
	return assignment, nil
}

func (m *memoryStore) Leave(_ context.Context, s ledger.Membership) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.groups[s.Group], s.Member)
	m.changes++
	return nil
}

func (m *memoryStore) Holders(_ context.Context, group string) ([]ledger.Holder, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := m.members(group)
	holders := make([]ledger.Holder, 0, len(members))
	for _, member := range members {
		holders = append(holders, ledger.Holder{Member: member})
	}
	return holders, nil
}

// fixedRegistry is a registry whose entries don't change.
type fixedRegistry struct {
	entries []agent.Entry
	events  RegistryEvents
}

func (r fixedRegistry) Run(ctx context.Context) error {
	for first := true; ctx.Err() == nil; first = false {
		begun := time.Now()
		if first {
			r.events.Changed(r.entries)
		}
		r.events.Read(begun)
		pause.For(ctx, simRegistryInterval)
	}
	return nil
}

// testNode is a running node without an address, so that the others can't call it.
type testNode struct {
	owner *Owner
	stop  func()
}

func startNode(store ledger.Store, name string) testNode { return startNodeWith(store, name, nil) }

// startNodeWith starts a node in a fleet of one worker, or of none.
func startNodeWith(store ledger.Store, name string, workers agent.Workers) testNode {
	return startNodeWithConfig(store, name, workers, func(*Config) {})
}

// startNodeWithConfig does the same for a node whose configuration is changed before it starts.
func startNodeWithConfig(store ledger.Store, name string, workers agent.Workers, change func(*Config)) testNode {
	var entries []agent.Entry
	if workers != nil {
		entries = []agent.Entry{{ID: "w", Pool: "pool", Address: "w", Capacity: model.Resources{Cores: 1000, Memory: 1000}}}
	}
	configuration := terms.New(terms.Params{
		Version: 1, Queues: []terms.Queue{{Name: testQueue, Pool: "pool", Attempts: 1}}, Teams: []terms.Team{{ID: "north", Share: 1}},
	})
	self := peers.NodeInfo{Node: name, BootID: "1", Strength: 1}
	log := zap.NewNop()
	directory := NewDirectory(DirectoryConfig{Store: store, Self: self, Group: "owners", Client: peers.NewClient(), Log: log})
	cfg := Config{
		Self: self, Group: "owners", Store: store, Workers: workers, Directory: directory, Log: log,
		Configuration: func() (terms.Configuration, bool) { return configuration, true },
		Registry:      func(events RegistryEvents) Runner { return fixedRegistry{entries, events} },
		Shard:         testShard, Uptime: testUptime,
	}
	change(&cfg)
	o := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = directory.Run(ctx) })
	done.Go(func() { _ = o.Run(ctx) })
	return testNode{o, func() {
		cancel()
		done.Wait()
	}}
}

// serves reports whether the node answers calls about jobs.
func (n testNode) serves() bool {
	_, err := n.owner.Pending("queue")
	return err == nil
}

// TestFailedOwnershipIsTakenOver guards against an ownership that has failed while its node remains a member of the group: no
// other node would ever take over.
func TestFailedOwnershipIsTakenOver(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d nodes", count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				store.fail, store.failTopic = ledger.ErrProtocol, TopicInbox
				nodes := make([]testNode, 0, count)
				for i := range count {
					nodes = append(nodes, startNode(store, fmt.Sprintf("n%d", i)))
				}
				time.Sleep(2 * time.Second)
				store.mu.Lock()
				store.fail = nil
				store.mu.Unlock()
				time.Sleep(5 * time.Second)
				serving := 0
				for _, n := range nodes {
					if n.serves() {
						serving++
					}
				}
				assert.Equal(t, serving, 1)
				for _, n := range nodes {
					n.stop()
				}
			})
		})
	}
}

// TestOwnerThatEndsIsReplaced guards against jobs that have no owner after their owner has stopped.
func TestOwnerThatEndsIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		nodes := []testNode{startNode(store, "n0"), startNode(store, "n1")}
		time.Sleep(3 * time.Second)
		first := slices.IndexFunc(nodes, testNode.serves)
		assert.Assert(t, first >= 0)
		nodes[first].stop()
		time.Sleep(3 * time.Second)
		assert.Assert(t, nodes[1-first].serves())
		nodes[1-first].stop()
	})
}

// epochStore is a store that notes which epochs a claim was made under and loses what is sent to leave a group.
type epochStore struct {
	*memoryStore
	claims map[int64]int
}

func (e *epochStore) Append(ctx context.Context, b ledger.Batch) error {
	if len(b.Records) > 0 && b.Records[0].Key == claimantKey {
		e.mu.Lock()
		e.claims[b.Epoch]++
		e.mu.Unlock()
	}
	return e.memoryStore.Append(ctx, b)
}

// Join counts the generations of each group by itself, as the platform's store does.
func (e *epochStore) Join(ctx context.Context, s ledger.Membership) (ledger.Assignment, error) {
	if s.Group != "owners" {
		return ledger.Assignment{Generation: 1}, nil
	}
	return e.memoryStore.Join(ctx, s)
}

func (e *epochStore) Leave(context.Context, ledger.Membership) error { return ledger.ErrNoAnswer }

// TestEpochIsUsedOnce guards against a node that owns twice under one epoch because its leaving the group was lost: the store
// takes the appends of the second ownership for repeats of the first one's and doesn't store them.
func TestEpochIsUsedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &epochStore{newMemoryStore(), make(map[int64]int)}
		n := startNode(store, "n0")
		time.Sleep(3 * time.Second)
		assert.Assert(t, n.serves())
		n.owner.cfg.Directory.setRole(roleStandby, "not chosen")
		time.Sleep(joinInterval + joinInterval/2)
		n.owner.cfg.Directory.setRole(roleCandidate, "chosen")
		time.Sleep(3 * time.Second)
		n.stop()
		for epoch, claims := range store.claims {
			assert.Check(t, claims == 1, "%d ownerships under epoch %d", claims, epoch)
		}
	})
}
