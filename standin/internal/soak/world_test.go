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
	nodesPerCentre   = 2
	workersPerCentre = 6
	workersPerRack   = 3
	// snapshotRecords and keptRecords are small, so that nodes start from snapshots.
	snapshotRecords = 400
	keptRecords     = 1500
	roundInterval   = 50 * time.Millisecond
	submitTimeout   = 20 * time.Second
)

var centres = []model.DataCentreID{"dc1", "dc2", "dc3"}

// world is the platform's stand-in with the nodes that run on it.
type world struct {
	t      *testing.T
	random *rand.Rand
	faults *fault.Set
	log    *store.Store
	list   *roster.Roster
	fleet  *fleet.Fleet

	mu    sync.Mutex
	nodes map[string]*node
	// cuts holds pairs of data centres that can't reach each other.
	cuts map[[2]model.DataCentreID]bool

	// accepted holds the jobs whose submission was answered with success or with an unknown outcome.
	accepted map[model.JobID]model.JobSpec
	unsure   map[model.JobID]bool
	jobs     int
}

func newWorld(t *testing.T, seed uint64) *world {
	clock := clockwork.NewRealClock()
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), faults: fault.NewSet(clock, int64(seed)),
		nodes: make(map[string]*node), cuts: make(map[[2]model.DataCentreID]bool),
		accepted: make(map[model.JobID]model.JobSpec), unsure: make(map[model.JobID]bool),
	}
	w.log = store.New(store.Config{
		Clock: clock, AppendsPerSecond: 400, Burst: 400, KeepRecords: keptRecords, KeepFor: time.Hour, MaxBytes: 1 << 20,
	})
	specs, rows := w.workers()
	w.fleet = fleet.New(fleet.Config{
		Clock: clock, Seed: int64(seed), RunTime: fleet.Range{Min: 0.25, Max: 4}, Peak: fleet.Range{Min: 0.25, Max: 4},
		Scale: 1, UsageLag: 2 * time.Second, Workers: specs, Rules: w.faults,
	})
	for _, centre := range centres {
		for i := range nodesPerCentre {
			name := fmt.Sprintf("%s-entry%d", centre, i)
			rows = append(rows, ports.Instance{
				ID: name, Role: ports.RoleEntry, DataCentre: centre, Address: name, Presence: ports.PresenceLive,
			})
		}
	}
	w.list = roster.New(roster.Config{
		Clock: clock, Rows: rows, Lag: func() time.Duration { return w.faults.Lag(500 * time.Millisecond) },
	})
	return w
}

func (w *world) workers() ([]fleet.Spec, []ports.Instance) {
	specs := make([]fleet.Spec, 0, len(centres)*workersPerCentre)
	rows := make([]ports.Instance, 0, len(centres)*(workersPerCentre+nodesPerCentre))
	for _, centre := range centres {
		for i := range workersPerCentre {
			spec := fleet.Spec{
				ID: model.WorkerID(fmt.Sprintf("%s-w%d", centre, i)), DataCentre: centre,
				Rack:     model.RackID(fmt.Sprintf("%s-r%d", centre, i/workersPerRack)),
				Capacity: model.Resources{Cores: 16_000, Memory: 65_536},
			}
			specs = append(specs, spec)
			rows = append(rows, ports.Instance{
				ID: string(spec.ID), Role: ports.RoleWorker, DataCentre: centre, Rack: spec.Rack,
				Address: string(spec.ID), Presence: ports.PresenceLive, Capacity: spec.Capacity,
			})
		}
	}
	return specs, rows
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) find(address string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[address]
}

func (w *world) add(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[n.name] = n
}

func (w *world) remove(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nodes[n.name] == n {
		delete(w.nodes, n.name)
	}
}

func (w *world) separated(a, b model.DataCentreID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]model.DataCentreID{a, b}] || w.cuts[[2]model.DataCentreID{b, a}]
}

func (w *world) cut(a, b model.DataCentreID, off bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]model.DataCentreID{a, b}] = off
}

// names lists the instances in a fixed order, so that the seed decides which one a fault hits.
func (w *world) names() []string {
	out := make([]string, 0, len(centres)*nodesPerCentre)
	for _, centre := range centres {
		for i := range nodesPerCentre {
			out = append(out, fmt.Sprintf("%s-entry%d", centre, i))
		}
	}
	return out
}

// submit records operations through any node; it returns the void reasons, or an error after the time-out.
func (w *world) submit(n *node, ops ...record.Op) ([]error, error) {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	return n.stream.Submit(ctx, ops...)
}

// declare changes declarations, on top of whatever is in force, until it succeeds.
func (w *world) declare(patch decl.Patch) {
	contents, err := json.Marshal(patch)
	w.must(err)
	for tries := 0; ; tries++ {
		n := w.anyNode()
		if n == nil {
			time.Sleep(time.Second)
			continue
		}
		_, base := n.machine.Declarations()
		results, err := w.submit(n, record.Change{
			ID: fmt.Sprintf("change-%d-%d", w.jobs, tries), Base: base, Author: "soak", Contents: contents,
		})
		if err = errors.Join(append(results, err)...); err == nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// anyNode returns a node that is up and has state, or nil.
func (w *world) anyNode() *node {
	names := w.names()
	w.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if n := w.find(name); n != nil && !n.paused.Load() && n.stream.Ready() && n.members.MayAppend() {
			return n
		}
	}
	return nil
}
