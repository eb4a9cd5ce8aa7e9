package sched

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/lease"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

const (
	testDataCentre = model.DataCentreID("dc1")
	testKey        = model.KeyHash("key")
)

// fakeLinks is an instance's connectivity as set by the test.
type fakeLinks struct {
	clock  clockwork.Clock
	placer bool
	// cutOff separates the instance from the log and from all other instances; renewalDenied forbids it to renew
	// leases.
	cutOff        bool
	renewalDenied bool
	outage        bool
	// soleInstance makes this the only registered instance of the data centre, so that ends need not be applied
	// elsewhere.
	soleInstance   bool
	cluster        *testCluster
	machine        *state.Machine
	connectedSince time.Time
	// frozenAt is when the instance's view of the log was frozen; zero if it is not.
	frozenAt time.Time
}

func (l *fakeLinks) IsPlacer() bool { return l.placer }
func (l *fakeLinks) MayStart() bool { return !l.cutOff }
func (l *fakeLinks) MayRenew() bool { return !l.renewalDenied }
func (l *fakeLinks) ConnectedSince() (time.Time, bool) {
	return l.connectedSince, !l.cutOff && !l.outage
}

func (l *fakeLinks) FreshAsOf() time.Time {
	if !l.frozenAt.IsZero() {
		return l.frozenAt
	}
	return l.clock.Now()
}

// OutageConfirmedAt is now during an outage unless a running instance has applied more than this one.
func (l *fakeLinks) OutageConfirmedAt() time.Time {
	if l.cluster == nil {
		return time.Time{}
	}
	for _, n := range l.cluster.nodes {
		if !l.outage || (!n.paused && n.machine.Offset() > l.machine.Offset()) {
			return time.Time{}
		}
	}
	return l.clock.Now()
}

// AppliedByPeers includes paused instances, since they may hold the leases later.
func (l *fakeLinks) AppliedByPeers(offset model.Offset) bool {
	if l.soleInstance || l.cluster == nil {
		return true
	}
	for _, n := range l.cluster.nodes {
		if n.machine.Offset() < offset {
			return false
		}
	}
	return true
}

func (l *fakeLinks) Isolated(model.DataCentreID) bool { return false }

// node is one instance: its state machine, placer and leases, advanced step by step.
type node struct {
	name           model.InstanceID
	placer         *Placer
	leases         *lease.Manager
	links          *fakeLinks
	log            *fakeLog
	machine        *state.Machine
	appliedRecords int
	sequence       int64
	paused         bool
}

// testCluster is the log, the workers and the instances of one test, on a fake clock.
type testCluster struct {
	clock *clockwork.FakeClock
	log   *fakeLog
	fleet *fakeFleet
	nodes []*node
}

func newTestCluster(t testing.TB, workers int, capacity model.Resources) *testCluster {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	c := &testCluster{clock: clock, log: newFakeLog(t, clock), fleet: newFleet(clock, testDataCentre, workers, capacity)}
	c.addNode(testDataCentre)
	c.log.declare(testDeclarations(testDataCentre))
	return c
}

func testDeclarations(centres ...model.DataCentreID) decl.Set {
	set := decl.Set{Classes: []decl.Class{
		{Name: "patient"},
		{Name: "urgent", Target: decl.Target{StartedWithin: model.Duration(4 * time.Second)}},
		{Name: "nightly", Target: decl.Target{DoneBy: &decl.DoneBy{Time: "06:00", Zone: "UTC"}}},
	}}
	for _, dc := range centres {
		set.DataCentres = append(set.DataCentres, decl.DataCentre{Name: dc, Service: decl.InService})
	}
	for _, team := range []model.TeamID{"a", "b", "c"} {
		set.Teams = append(set.Teams, decl.Team{Name: team, Share: 1, Keys: []model.KeyHash{testKey}})
	}
	return set
}

func (c *testCluster) addNode(dc model.DataCentreID) {
	t, log := c.log.t, zap.NewNop()
	n := &node{
		name: model.InstanceID("n" + strconv.Itoa(len(c.nodes))), log: c.log, machine: newMachine(t),
		links: &fakeLinks{clock: c.clock, placer: true, cluster: c, connectedSince: c.clock.Now()},
	}
	n.links.machine = n.machine
	var err error
	n.placer, err = New(Config{DataCentre: dc}, Deps{
		Submit: n, Links: n.links, View: n.machine, Invariants: invar.New(log, true), Clock: c.clock, Log: log,
	})
	assert.NilError(t, err)
	n.leases, err = lease.New(lease.Config{Instance: n.name, DataCentre: dc, Shards: 1}, lease.Deps{
		Workers: c.fleet, List: c.fleet, Links: n.links, Submit: n, Handler: n.placer, Clock: c.clock, Log: log,
	})
	assert.NilError(t, err)
	n.placer.SetLeases(n.leases)
	c.nodes = append(c.nodes, n)
}

// step runs one round of the node's leases and placer.
func (n *node) step(ctx context.Context, fleet *fakeFleet) {
	caller := fleet.caller
	fleet.caller = n.name
	defer func() { fleet.caller = caller }()
	n.leases.ReadInstanceList(ctx)
	for range 2 {
		n.applyNewRecords()
		n.leases.ServeDue(ctx)
		n.applyNewRecords()
		n.placer.Step(ctx)
	}
}

// advance advances the clock in steps of 200 ms, each followed by a round of every node that is not paused.
func (c *testCluster) advance(d time.Duration) {
	for ; d > 0; d -= 200 * time.Millisecond {
		c.clock.Advance(200 * time.Millisecond)
		c.fleet.endAllDueAttempts()
		for _, n := range c.nodes {
			if !n.paused {
				n.step(context.Background(), c.fleet)
			}
		}
	}
}

func job(id model.JobID, team model.TeamID, class model.ClassID, tasks int, size model.Resources) model.JobSpec {
	return model.JobSpec{
		ID: id, Team: team, Class: class, Kind: model.KindBatch, Tasks: tasks, Size: size,
		RunTime: model.Duration(10 * time.Second), Rerun: true,
	}
}

func workerName(i int) model.WorkerID { return model.WorkerID("w" + strconv.Itoa(i)) }

func cores(n int) model.Resources {
	return model.Resources{Cores: model.MilliCores(1000 * n), Memory: model.Mebibytes(1024 * n)}
}
