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
	testCentre = model.DataCentreID("dc1")
	testKey    = model.KeyHash("key")
)

// linksFake is an instance's connectivity as the test sets it.
type linksFake struct {
	clock  clockwork.Clock
	placer bool
	cut    bool
	alone  bool
	outage bool
	// lone makes this instance the only recorded one, so that nobody else need fold an end.
	lone   bool
	world  *world
	fold   *state.Machine
	since  time.Time
	frozen time.Time
}

func (l *linksFake) IsPlacer() bool { return l.placer }
func (l *linksFake) MayStart() bool { return !l.cut }
func (l *linksFake) MayRenew() bool { return !l.alone }
func (l *linksFake) ConnectedSince() (time.Time, bool) {
	return l.since, !l.cut && !l.outage
}

func (l *linksFake) FreshAt() time.Time {
	if !l.frozen.IsZero() {
		return l.frozen
	}
	return l.clock.Now()
}

// OutageProof holds while no instance that answers has folded more than this one.
func (l *linksFake) OutageProof() time.Time {
	if l.world == nil {
		return time.Time{}
	}
	for _, n := range l.world.nodes {
		if !l.outage || (!n.paused && n.fold.Offset() > l.fold.Offset()) {
			return time.Time{}
		}
	}
	return l.clock.Now()
}

// Spread asks the paused instances too, since they may hold the leases later.
func (l *linksFake) Spread(offset model.Offset) bool {
	if l.lone || l.world == nil {
		return true
	}
	for _, n := range l.world.nodes {
		if n.fold.Offset() < offset {
			return false
		}
	}
	return true
}

func (l *linksFake) Isolated(model.DataCentreID) bool { return false }

// node is one instance: its own fold, a placer and its leases, driven by hand.
type node struct {
	name     model.InstanceID
	placer   *Placer
	leases   *lease.Manager
	links    *linksFake
	log      *journal
	fold     *state.Machine
	read     int
	sequence int64
	paused   bool
}

// world is everything that one test works with.
type world struct {
	clock *clockwork.FakeClock
	log   *journal
	fleet *fleetFake
	nodes []*node
}

func newWorld(t testing.TB, workers int, capacity model.Resources) *world {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	w := &world{clock: clock, log: newJournal(t, clock), fleet: newFleet(clock, testCentre, workers, capacity)}
	w.addNode(testCentre)
	w.log.declare(declared(testCentre))
	return w
}

func declared(centres ...model.DataCentreID) decl.Set {
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

func (w *world) addNode(dc model.DataCentreID) {
	t, log := w.log.t, zap.NewNop()
	n := &node{
		name: model.InstanceID("n" + strconv.Itoa(len(w.nodes))), log: w.log, fold: newMachine(t),
		links: &linksFake{clock: w.clock, placer: true, world: w, since: w.clock.Now()},
	}
	n.links.fold = n.fold
	var err error
	n.placer, err = New(Config{DataCentre: dc}, Deps{
		Submit: n, Links: n.links, View: n.fold, Invar: invar.New(log, true), Clock: w.clock, Log: log,
	})
	assert.NilError(t, err)
	n.leases, err = lease.New(lease.Config{Instance: n.name, DataCentre: dc, Shards: 1}, lease.Deps{
		Workers: w.fleet, List: w.fleet, Links: n.links, Submit: n, Handler: n.placer, Clock: w.clock, Log: log,
	})
	assert.NilError(t, err)
	n.placer.SetLeases(n.leases)
	w.nodes = append(w.nodes, n)
}

// step lets the node do one round.
func (n *node) step(ctx context.Context, fleet *fleetFake) {
	caller := fleet.caller
	fleet.caller = n.name
	defer func() { fleet.caller = caller }()
	n.leases.ReadInstanceList(ctx)
	for range 2 {
		n.pump()
		n.leases.ServeDue(ctx)
		n.pump()
		n.placer.Step(ctx)
	}
}

// advance lets time pass in steps of 200 ms, each with a round of every node that isn't paused.
func (w *world) advance(d time.Duration) {
	for ; d > 0; d -= 200 * time.Millisecond {
		w.clock.Advance(200 * time.Millisecond)
		w.fleet.settleAll()
		for _, n := range w.nodes {
			if !n.paused {
				n.step(context.Background(), w.fleet)
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
