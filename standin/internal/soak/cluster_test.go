package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/standin/internal/fault"
	"arbutuswing.example/standin/internal/fleet"
	"arbutuswing.example/standin/internal/roster"
	"arbutuswing.example/standin/internal/store"
)

const (
	nodesPerDataCentre   = 2
	workersPerDataCentre = 6
	workersPerRack       = 3
	// snapshotRecords and retainedRecords are small, so that restarted nodes need snapshots.
	snapshotRecords = 400
	retainedRecords = 1500
	roundInterval   = 50 * time.Millisecond
	submitTimeout   = 20 * time.Second
)

var dataCentres = []model.DataCentreID{"dc1", "dc2", "dc3"}

// cluster holds the parts of the simulated platform and the nodes that use it.
type cluster struct {
	t      *testing.T
	random *rand.Rand
	faults *fault.Set
	log    *store.Store
	list   *roster.InstanceList
	fleet  *fleet.Fleet

	mu    sync.Mutex
	nodes map[string]*node
	// partitions holds the pairs of data centres that can't reach each other.
	partitions map[[2]model.DataCentreID]bool

	// accepted holds the jobs whose submission succeeded; unknownOutcome those whose submission may have succeeded.
	accepted       map[model.JobID]model.JobSpec
	unknownOutcome map[model.JobID]bool
	jobs           int
}

func newCluster(t *testing.T, seed uint64) *cluster {
	clock := clockwork.NewRealClock()
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), faults: fault.NewSet(clock, int64(seed)),
		nodes: make(map[string]*node), partitions: make(map[[2]model.DataCentreID]bool),
		accepted: make(map[model.JobID]model.JobSpec), unknownOutcome: make(map[model.JobID]bool),
	}
	c.log = store.New(store.Config{
		Clock: clock, AppendsPerSecond: 400, Burst: 400, KeepRecords: retainedRecords, KeepFor: time.Hour, MaxBytes: 1 << 20,
	})
	specs, instances := c.workers()
	c.fleet = fleet.New(fleet.Config{
		Clock: clock, Seed: int64(seed), RunTime: fleet.FactorRange{Min: 0.25, Max: 4},
		Peak: fleet.FactorRange{Min: 0.25, Max: 4}, Scale: 1, UsageLag: 2 * time.Second, Workers: specs, Faults: c.faults,
	})
	for _, dataCentre := range dataCentres {
		for i := range nodesPerDataCentre {
			name := fmt.Sprintf("%s-entry%d", dataCentre, i)
			instances = append(instances, ports.Instance{
				ID: name, Role: ports.RoleEntry, DataCentre: dataCentre, Address: name, Presence: ports.PresenceLive,
			})
		}
	}
	c.list = roster.New(roster.Config{
		Clock: clock, Instances: instances,
		Lag: func() time.Duration { return c.faults.EffectiveListLag(500 * time.Millisecond) },
	})
	return c
}

func (c *cluster) workers() ([]fleet.Spec, []ports.Instance) {
	specs := make([]fleet.Spec, 0, len(dataCentres)*workersPerDataCentre)
	instances := make([]ports.Instance, 0, len(dataCentres)*(workersPerDataCentre+nodesPerDataCentre))
	for _, dataCentre := range dataCentres {
		for i := range workersPerDataCentre {
			spec := fleet.Spec{
				ID: model.WorkerID(fmt.Sprintf("%s-w%d", dataCentre, i)), DataCentre: dataCentre,
				Rack:     model.RackID(fmt.Sprintf("%s-r%d", dataCentre, i/workersPerRack)),
				Capacity: model.Resources{Cores: 16_000, Memory: 65_536},
			}
			specs = append(specs, spec)
			instances = append(instances, ports.Instance{
				ID: string(spec.ID), Role: ports.RoleWorker, DataCentre: dataCentre, Rack: spec.Rack,
				Address: string(spec.ID), Presence: ports.PresenceLive, Capacity: spec.Capacity,
			})
		}
	}
	return specs, instances
}

func (c *cluster) must(err error) {
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) nodeByName(address string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[address]
}

func (c *cluster) add(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[n.name] = n
}

func (c *cluster) remove(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[n.name] == n {
		delete(c.nodes, n.name)
	}
}

func (c *cluster) partitioned(a, b model.DataCentreID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitions[[2]model.DataCentreID{a, b}] || c.partitions[[2]model.DataCentreID{b, a}]
}

func (c *cluster) setPartition(a, b model.DataCentreID, off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]model.DataCentreID{a, b}] = off
}

// nodeNames returns the names of all instances in a fixed order, so that the seed determines which one a fault affects.
func (c *cluster) nodeNames() []string {
	out := make([]string, 0, len(dataCentres)*nodesPerDataCentre)
	for _, dataCentre := range dataCentres {
		for i := range nodesPerDataCentre {
			out = append(out, fmt.Sprintf("%s-entry%d", dataCentre, i))
		}
	}
	return out
}

// submit records operations through a node. It returns, for each operation, why it was rejected, or an error if the node did
// not record them in time.
func (c *cluster) submit(n *node, ops ...record.Op) ([]error, error) {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	return n.stream.Submit(ctx, ops...)
}

// declare changes the declarations in force; it repeats the change until it succeeds.
func (c *cluster) declare(patch decl.Patch) {
	contents, err := json.Marshal(patch)
	c.must(err)
	for tries := 0; ; tries++ {
		n := c.readyNode()
		if n == nil {
			time.Sleep(time.Second)
			continue
		}
		_, base := n.machine.Declarations()
		results, err := c.submit(n, record.Change{
			ID: fmt.Sprintf("change-%d-%d", c.jobs, tries), Base: base, Author: "soak", Contents: contents,
		})
		if err = errors.Join(append(results, err)...); err == nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// readyNode returns a random node that is up, has state and may append, or nil.
func (c *cluster) readyNode() *node {
	names := c.nodeNames()
	c.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if n := c.nodeByName(name); n != nil && !n.paused.Load() && n.stream.Ready() && n.members.MayAppend() {
			return n
		}
	}
	return nil
}
