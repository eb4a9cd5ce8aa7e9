package slopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/bench/internal/fits"
	"arbutuswing.example/bench/internal/meter"
	"arbutuswing.example/bench/internal/rigs"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/sched"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

const (
	roundCentre = model.DataCentreID("dc01")
	roundRuns   = 20
	// roundEnds is the number of attempts that end before each round.
	roundEnds = 100
	// boundPart is the number of bound tasks for each worker; five of them fit.
	boundPart = 4.5
)

// node is one instance's placer over a folded state, without leases: nothing is started.
type node struct {
	rig    *rigs.Rig
	placer *sched.Placer
	clock  *clockwork.FakeClock
	taken  int
	// submitting is the time that the fold of the node's own operations took, and following that of the placer.
	submitting, following time.Duration
}

// IsPlacer implements sched.Links.
func (n *node) IsPlacer() bool { return true }

// MayStart implements sched.Links.
func (n *node) MayStart() bool { return true }

// ConnectedSince implements sched.Links.
func (n *node) ConnectedSince() (time.Time, bool) { return time.Unix(0, 0), true }

// FreshAsOf implements sched.Links.
func (n *node) FreshAsOf() time.Time { return n.clock.Now() }

// OutageConfirmedAt implements sched.Links; the log is never out.
func (n *node) OutageConfirmedAt() time.Time { return time.Time{} }

// AppliedByPeers implements sched.Links; there is no other instance.
func (n *node) AppliedByPeers(model.Offset) bool { return true }

// ServeSoon implements sched.Leases.
func (n *node) ServeSoon(model.WorkerID) {}

// WorkerChanged implements sched.Leases.
func (n *node) WorkerChanged(state.Worker) {}

// SetDeclarations implements sched.Leases.
func (n *node) SetDeclarations(decl.Set) {}

// Submit implements sched.Submitter: it folds the operations at once.
func (n *node) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	began := time.Now()
	defer func() { n.submitting += time.Since(began) }()
	n.rig.Offset++
	applied := n.rig.Machine.Apply(n.rig.Offset, n.rig.Envelope(ops...))
	for i, op := range ops {
		if _, ok := op.(record.Taken); ok && applied.Results[i] == nil {
			n.taken++
		}
	}
	handed := time.Now()
	n.placer.Apply(stream.Update{Offset: n.rig.Offset, Events: applied.Events})
	n.following += time.Since(handed)
	return applied.Results, nil
}

func newNode(size rigs.Size) (*node, error) {
	rig, err := rigs.New(size)
	if err != nil {
		return nil, err
	}
	n := &node{rig: rig, clock: clockwork.NewFakeClockAt(rig.Now())}
	n.placer, err = sched.New(sched.Config{DataCentre: roundCentre}, sched.Deps{
		Submit: n, Links: n, View: rig.Machine, Leases: n, Clock: n.clock, Log: zap.NewNop(),
	})
	if err != nil {
		return nil, fmt.Errorf("making a placer: %w", err)
	}
	n.placer.Apply(stream.Update{Offset: rig.Offset, Events: rig.Machine.StateEvents()})
	// Tasks that other data centres were offered first are free for this one now.
	n.clock.Advance(time.Minute)
	return n, nil
}

// rounds measures the placer's rounds by the number of workers, and what it holds.
func rounds(Config) ([]fits.Series, error) {
	var perTask, follow, idle []fits.Point
	for _, workers := range []int{50, 500, 5_000, 7_500} {
		n, err := newNode(rigs.Size{
			Workers: workers, Teams: 280, Bound: int(boundPart*float64(workers)) / 4 * 4, Queued: 8_000, Centre: roundCentre,
		})
		if err != nil {
			return nil, err
		}
		d, f, i := n.run()
		x := float64(workers)
		perTask = append(perTask, fits.Point{X: x, Y: d})
		follow = append(follow, fits.Point{X: x, Y: f})
		idle = append(idle, fits.Point{X: x, Y: i})
	}
	const size = "worker (280 teams, 8,000 queued)"
	held, err := placerHeld()
	return append([]fits.Series{
		fits.New("round of the placer, by task that it binds", size, "us", perTask),
		fits.New("following the fold in the placer, by task that is bound", size, "us", follow),
		fits.New("fruitless round and tick of the placer", size, "us", idle),
	}, held...), err
}

// run returns medians in microseconds: of the rounds without the fold, by task bound; of following the fold, by task
// bound; and of a round that
// binds nothing.
func (n *node) run() (perTask, follow, idle float64) {
	ctx := context.Background()
	n.placer.Step(ctx)
	var busy, after []time.Duration
	quiet := make([]time.Duration, 0, roundRuns)
	for i := range roundRuns {
		var ends []record.Op
		for k, op := range n.rig.Turnover(i*roundEnds, roundEnds) {
			if k%2 == 0 {
				ends = append(ends, op)
			}
		}
		_, _ = n.Submit(ctx, ends...)
		n.taken, n.submitting, n.following = 0, 0, 0
		began := time.Now()
		n.placer.Step(ctx)
		took := time.Since(began) - n.submitting
		if n.taken > 0 {
			busy = append(busy, took/time.Duration(n.taken))
			after = append(after, n.following/time.Duration(n.taken))
		}
		n.placer.Step(ctx)
		began, n.submitting = time.Now(), 0
		n.placer.Step(ctx)
		quiet = append(quiet, time.Since(began)-n.submitting)
		n.clock.Advance(time.Second)
	}
	return micros(median(busy)), micros(median(after)), micros(median(quiet))
}

// placerHeld measures the heap that a placer holds beside the folded state.
func placerHeld() ([]fits.Series, error) {
	dimensions := []struct {
		name   string
		values []int
		size   func(n int) rigs.Size
	}{
		{"worker of the data centre", []int{1000, 4000, 7500}, func(n int) rigs.Size {
			return rigs.Size{Workers: n, Teams: 20, Centre: roundCentre}
		}},
		{"worker of another data centre", []int{1000, 4000, 7500}, func(n int) rigs.Size {
			return rigs.Size{Workers: n, Teams: 20, Centre: "dc02"}
		}},
		{"bound task", []int{2000, 10000, 34000}, func(n int) rigs.Size {
			return rigs.Size{Workers: 7500, Teams: 20, Bound: n, Centre: "dc02"}
		}},
		{"queued task (jobs of 4)", []int{4000, 12000, 32000}, func(n int) rigs.Size {
			return rigs.Size{Workers: 100, Teams: 20, Queued: n, Centre: roundCentre}
		}},
	}
	out := make([]fits.Series, 0, len(dimensions))
	for _, d := range dimensions {
		var points []fits.Point
		for _, v := range d.values {
			held, err := placerHeldBy(d.size(v))
			if err != nil {
				return nil, err
			}
			points = append(points, fits.Point{X: float64(v), Y: held})
		}
		out = append(out, fits.New("heap of the placer beside the folded state", d.name, "bytes", points))
	}
	return out, nil
}

func placerHeldBy(size rigs.Size) (float64, error) {
	n, err := newNode(size)
	if err != nil {
		return 0, err
	}
	with := meter.Held()
	rig := n.rig
	n.placer = nil
	without := meter.Held()
	runtime.KeepAlive(rig)
	runtime.KeepAlive(n)
	return with - without, nil
}
