package owner

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"slices"
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
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

var (
	seriesSeeds = flag.Int("series.seeds", 60, "number of seeds that the simulation of owners in series plays")
	seriesFirst = flag.Int64("series.first", 1, "first seed of the simulation of owners in series")
)

const (
	// seriesNodes are the nodes that own in turn, and seriesCalls bounds the calls that an owner makes before it has a trouble.
	seriesNodes = 4
	seriesCalls = 100
	// seriesTicket is how long workers accept a ticket.
	seriesTicket = 2 * time.Second
)

// seriesNode is a node that has a trouble, once it owns the jobs, when it has made some calls to the store and the workers.
type seriesNode struct {
	*simConnection
	node    testNode
	workers simWorkers
	// unlisted tells whether a worker's entry is hidden from the node.
	unlisted func(model.WorkerID) bool

	callsMu sync.Mutex
	// left is the number of calls before the trouble begins, or zero.
	left    int
	trouble func()
}

func (n *seriesNode) countCall() {
	if n.node.owner.current() == nil {
		return
	}
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	if n.left == 0 {
		return
	}
	if n.left--; n.left == 0 {
		n.trouble()
	}
}

func (n *seriesNode) Append(ctx context.Context, b ledger.Batch) error {
	n.countCall()
	return n.simConnection.Append(ctx, b)
}

func (n *seriesNode) Newest(ctx context.Context, topic ledger.Topic, partition int) (ledger.Page, error) {
	n.countCall()
	return n.simConnection.Newest(ctx, topic, partition)
}

func (n *seriesNode) Join(ctx context.Context, m ledger.Membership) (ledger.Assignment, error) {
	n.countCall()
	return n.simConnection.Join(ctx, m)
}

// Advise permits all workers. A ticket names the time at which it expires.
func (n *seriesNode) Advise(_ context.Context, req agent.AdviceRequest) (agent.Advice, error) {
	advice := agent.Advice{Tickets: make(map[model.WorkerID]string), Valid: model.Duration(seriesTicket)}
	for _, id := range req.Workers {
		advice.Tickets[id] = time.Now().Add(seriesTicket).Format(time.RFC3339Nano)
	}
	return advice, nil
}

// Start sends a start, which the worker refuses if its ticket has expired.
func (n *seriesNode) Start(ctx context.Context, to agent.Target, cmd agent.Start) (time.Duration, error) {
	n.countCall()
	n.thaw(ctx)
	if expires, err := time.Parse(time.RFC3339Nano, cmd.Ticket); err != nil || !time.Now().Before(expires) {
		return 0, agent.ErrTicket
	}
	return n.workers.Start(ctx, to, cmd)
}

func (n *seriesNode) Stop(ctx context.Context, to agent.Target, cmd agent.Stop) (time.Duration, error) {
	n.countCall()
	return n.workers.Stop(ctx, to, cmd)
}

func (n *seriesNode) Heartbeat(ctx context.Context, to agent.Target, cmd agent.Heartbeat) (agent.Report, error) {
	n.countCall()
	return n.workers.Heartbeat(ctx, to, cmd)
}

func startSeriesNode(store *simStore, fleet *simFleet, name string, seed int64, unlisted func(model.WorkerID) bool) *seriesNode {
	n := &seriesNode{simConnection: newSimConnection(store, seed), unlisted: unlisted}
	n.workers = simWorkers{fleet, n.simConnection}
	queue := terms.Queue{
		Name: testQueue, Pool: "pool", Attempts: 1,
		Advice: &terms.Advice{BaseTime: time.Millisecond, TimePerWorker: time.Millisecond, TicketValidity: seriesTicket},
	}
	configuration := terms.New(terms.Params{Version: 1, Queues: []terms.Queue{queue}, Teams: []terms.Team{{ID: "north", Share: 1}}})
	self := peers.NodeInfo{Node: name, BootID: "1", Strength: 1}
	directory := NewDirectory(DirectoryConfig{Store: n, Self: self, Group: "owners", Client: peers.NewClient(), Log: zap.NewNop()})
	directory.setRole(roleCandidate, "chosen")
	n.node.owner = New(Config{
		Self: self, Group: "owners", Store: n, Workers: n, Advisor: n, Peers: peers.NewClient(), Directory: directory, Log: zap.NewNop(),
		Configuration: func() (terms.Configuration, bool) { return configuration, true },
		Registry: func(events RegistryEvents) Runner {
			return fixedRegistry{slices.DeleteFunc(fleet.entries(), func(e agent.Entry) bool { return n.unlisted(e.ID) }), events}
		},
		// The lease leaves no slack beside the permission.
		Shard: shard.Config{
			Lease: simMaxLease, MaxLease: simMaxLease, RenewLimit: testRenewLimit, Retention: simRetention, KillGrace: time.Second,
		},
		Uptime: testUptime,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = directory.Run(ctx) })
	done.Go(func() { _ = n.node.owner.Run(ctx) })
	n.node.stop = func() {
		cancel()
		done.Wait()
	}
	return n
}

// seriesTrouble returns what happens to an owner: it stands still with what it has decided, or it loses the store and all workers but one,
// which nobody else reaches, for longer or shorter than a membership, a permission and a lease last.
func seriesTrouble(n *seriesNode, nodes []*seriesNode, w model.WorkerID, random *rand.Rand) func() {
	length := time.Duration(1000+random.Intn(20_000)) * time.Millisecond
	if random.Intn(3) == 0 {
		return func() { n.freeze(length) }
	}
	return func() {
		for _, other := range nodes {
			other.set(func(c *simConnection) { c.cutWorkers[w] = other != n })
		}
		n.set(func(c *simConnection) {
			c.cutGroups = true
			for _, topic := range topics {
				c.cutAppends[topic] = true
			}
			for id := range n.workers.fleet.workers {
				c.cutWorkers[id] = id != w
			}
		})
		time.AfterFunc(length, n.heal)
	}
}

// playSeries lets a job's tasks run, ends their owner and has the nodes take over in turn, of which some have a trouble at some call. One
// worker with a run is reached by the second node only, so that the later ones know of the run from their predecessors alone, and of
// the worker at times not even its entry. It returns what is wrong.
func playSeries(t *testing.T, seed int64) (problems []string, lapsed int, epochs int64) {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	store, fleet := newSimStore(), newSimFleet(simWorkerNum, simDraws{seed}, simFaults{}, &simTrace{begun: time.Now()})
	var isolated model.WorkerID
	hidden := random.Intn(2) == 0
	nodes := make([]*seriesNode, 0, seriesNodes)
	for i := range seriesNodes {
		nodes = append(nodes, startSeriesNode(store, fleet, fmt.Sprintf("n%d", i), random.Int63(), func(id model.WorkerID) bool {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			return hidden && i > 1 && id == isolated
		}))
		if i == 0 {
			time.Sleep(2 * time.Second)
		}
	}
	job := work.Job{ID: "j", Queue: testQueue, Team: "north", Accepted: time.Now(), Stages: []work.Stage{
		{Count: 2, Size: model.Resources{Cores: 4}, RunTime: model.Duration(time.Second)},
	}}
	fleet.mu.Lock()
	for k := range job.Stages[0].Count {
		// It outlasts every wait.
		fleet.succeeds[work.TaskRef{Job: job.ID, Index: k}] = 80 * time.Second
	}
	fleet.mu.Unlock()
	value, err := job.Encode()
	assert.NilError(t, err)
	assert.NilError(t, store.append(ledger.Batch{
		Topic: TopicInbox, Producer: "client", Epoch: 1, Sequence: 1,
		Records: []ledger.Record{{Key: intake.RecordKeys(string(job.ID))[0], Value: value}},
	}))
	time.Sleep(time.Duration(500+random.Intn(2500)) * time.Millisecond)
	fleet.mu.Lock()
	for id, w := range fleet.workers {
		if len(w.running) > 0 && (isolated == "" || id < isolated) {
			isolated = id
		}
	}
	fleet.mu.Unlock()
	for i, n := range nodes[1:] {
		n.set(func(c *simConnection) { c.cutWorkers[isolated] = i > 0 })
		w := isolated
		if i > 0 {
			w = model.WorkerID(fmt.Sprintf("w%d", random.Intn(simWorkerNum)))
		}
		if i > 0 && random.Intn(2) == 0 {
			continue
		}
		n.callsMu.Lock()
		n.left, n.trouble = 1+random.Intn(seriesCalls), seriesTrouble(n, nodes, w, random)
		n.callsMu.Unlock()
	}
	nodes[0].set(func(c *simConnection) { c.cutWorkers[isolated] = true })
	if random.Intn(2) == 0 {
		nodes[0].node.stop()
	} else {
		nodes[0].freeze(time.Duration(2000+random.Intn(20_000)) * time.Millisecond)
	}
	time.Sleep(60 * time.Second)
	for _, n := range nodes {
		n.heal()
	}
	completed := false
	for begun := time.Now(); time.Since(begun) < simRecovery && !completed; time.Sleep(time.Second) {
		fleet.mu.Lock()
		fleet.settle()
		completed = true
		for k := range job.Stages[0].Count {
			completed = completed && fleet.finished[work.TaskRef{Job: job.ID, Index: k}]
		}
		fleet.mu.Unlock()
	}
	for _, n := range nodes {
		n.node.stop()
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.settle()
	problems = fleet.violations
	if !completed {
		problems = append(problems, "the job isn't finished")
	}
	return problems, fleet.lapsed, store.topic(TopicOwner).producers[producer].epoch
}

// TestOwnersInSeries guards against a second run of a task because one of several owners in quick succession goes on after it has been
// overtaken, at whatever call it stood still or lost the store and most workers.
func TestOwnersInSeries(t *testing.T) {
	lapsed, epochs := 0, int64(0)
	for seed := *seriesFirst; seed < *seriesFirst+int64(*seriesSeeds); seed++ {
		synctest.Test(t, func(t *testing.T) {
			problems, n, epoch := playSeries(t, seed)
			assert.Check(t, len(problems) == 0, "seed %d: %q", seed, problems)
			lapsed, epochs = lapsed+n, epochs+epoch
			// Late calls are still under way.
			time.Sleep(30 * time.Second)
		})
	}
	t.Logf("%d runs lapsed, last epochs sum up to %d", lapsed, epochs)
}
