package sched

import (
	"context"
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

const testCentre = model.DataCentreID("dc1")

// linksFake is an instance's connectivity as the test sets it.
type linksFake struct {
	clock  clockwork.Clock
	placer bool
	cut    bool
	outage bool
	since  time.Time
	frozen time.Time
}

func (l *linksFake) IsPlacer() bool { return l.placer }
func (l *linksFake) MayStart() bool { return !l.cut }
func (l *linksFake) MayRenew() bool { return true }
func (l *linksFake) ConnectedSince() (time.Time, bool) {
	return l.since, !l.cut && !l.outage
}

func (l *linksFake) FreshAt() time.Time {
	if !l.frozen.IsZero() {
		return l.frozen
	}
	return l.clock.Now()
}
func (l *linksFake) Isolated(model.DataCentreID) bool { return false }

// node is one instance: a placer and its leases, driven by hand.
type node struct {
	placer *Placer
	leases *lease.Manager
	links  *linksFake
	feed   <-chan Update
	ahead  chan Update
	tasks  map[model.TaskID]state.Task
	fold   *foldFake
	paused bool
}

// pump brings the node's own fold up to date, unless its view is frozen.
func (n *node) pump() {
	for n.links.frozen.IsZero() {
		select {
		case u := <-n.feed:
			for _, e := range u.Events {
				n.see(e)
			}
			n.ahead <- u
		default:
			return
		}
	}
}

func (n *node) see(e state.Event) {
	switch e := e.(type) {
	case state.TaskQueued:
		n.tasks[e.Task.ID] = e.Task
	case state.TaskBound:
		n.tasks[e.Task.ID] = e.Task
	case state.TaskPromoted:
		n.tasks[e.Task.ID] = e.Task
	case state.TaskStopping:
		n.tasks[e.Task.ID] = e.Task
	case state.TaskDone:
		n.tasks[e.Task.ID] = e.Task
	}
}

// Task implements View.
func (n *node) Task(id model.TaskID) (state.Task, model.JobSpec, bool) {
	t, ok := n.tasks[id]
	return t, n.fold.specs[id.Job], ok
}

// world is everything that one test works with.
type world struct {
	clock *clockwork.FakeClock
	fold  *foldFake
	fleet *fleetFake
	nodes []*node
}

func newWorld(t assert.TestingT, workers int, capacity model.Resources) *world {
	const dc = testCentre
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	w := &world{clock: clock, fold: newFoldFake(clock), fleet: newFleet(clock, dc, workers, capacity)}
	w.addNode(t, dc)
	w.fold.declare(declared(dc))
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
		set.Teams = append(set.Teams, decl.Team{Name: team, Share: 1})
	}
	return set
}

func (w *world) addNode(t assert.TestingT, dc model.DataCentreID) {
	n := &node{
		links: &linksFake{clock: w.clock, placer: true, since: w.clock.Now()}, feed: w.fold.feed(),
		ahead: make(chan Update, 100_000), tasks: make(map[model.TaskID]state.Task), fold: w.fold,
	}
	log := zap.NewNop()
	p, err := New(Config{DataCentre: dc}, Deps{
		Updates: n.ahead, Submit: w.fold, Links: n.links, View: n, Refuse: w.fold,
		Invar: invar.New(log, true), Clock: w.clock, Log: log,
	})
	assert.NilError(t, err)
	n.placer = p
	n.leases, err = lease.New(lease.Config{
		Instance: model.InstanceID("n" + string(rune('0'+len(w.nodes)))), DataCentre: dc, Shards: 1,
	}, lease.Deps{
		Workers: w.fleet, List: w.fleet, Links: n.links, Submit: w.fold, Handler: p, Clock: w.clock, Log: log,
	})
	assert.NilError(t, err)
	p.SetLeases(n.leases)
	w.nodes = append(w.nodes, n)
}

// step lets the node do one round.
func (n *node) step(ctx context.Context) {
	n.leases.ReadList(ctx)
	for range 2 {
		n.pump()
		n.placer.drain()
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
				n.step(context.Background())
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

func cores(n int) model.Resources {
	return model.Resources{Cores: model.MilliCores(1000 * n), Memory: model.Mebibytes(1024 * n)}
}
