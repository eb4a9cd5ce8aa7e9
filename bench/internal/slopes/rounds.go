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
	roundDataCentre = model.DataCentreID("dc01")
	roundRuns       = 20
	// endsPerRound is the number of attempts that end before each round.
	endsPerRound = 100
	// boundPerWorker is the mean number of bound tasks per worker; up to five fit on one.
	boundPerWorker = 4.5
)

// placerInstance is the placer of one instance with a state machine of its own. It has no leases, so nothing is
// started.
type placerInstance struct {
	fixture *rigs.Fixture
	placer  *sched.Placer
	clock   *clockwork.FakeClock
	bound   int
	// submitTime is the time spent in Submit; applyTime is the part of it in which the placer processed the events of the
	// applied operations.
	submitTime, applyTime time.Duration
}

// IsPlacer implements sched.Links.
func (p *placerInstance) IsPlacer() bool { return true }

// MayStart implements sched.Links.
func (p *placerInstance) MayStart() bool { return true }

// ConnectedSince implements sched.Links.
func (p *placerInstance) ConnectedSince() (time.Time, bool) { return time.Unix(0, 0), true }

// FreshAsOf implements sched.Links.
func (p *placerInstance) FreshAsOf() time.Time { return p.clock.Now() }

// OutageConfirmedAt implements sched.Links; there is never a log outage.
func (p *placerInstance) OutageConfirmedAt() time.Time { return time.Time{} }

// AppliedByPeers implements sched.Links; there is no other instance.
func (p *placerInstance) AppliedByPeers(model.Offset) bool { return true }

// ServeSoon implements sched.Leases.
func (p *placerInstance) ServeSoon(model.WorkerID) {}

// WorkerChanged implements sched.Leases.
func (p *placerInstance) WorkerChanged(state.Worker) {}

// SetDeclarations implements sched.Leases.
func (p *placerInstance) SetDeclarations(decl.Set) {}

// Submit implements sched.Submitter: it applies the operations immediately.
func (p *placerInstance) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	began := time.Now()
	defer func() { p.submitTime += time.Since(began) }()
	p.fixture.Offset++
	applied := p.fixture.Machine.Apply(p.fixture.Offset, p.fixture.Envelope(ops...))
	for i, op := range ops {
		if _, ok := op.(record.Taken); ok && applied.Results[i] == nil {
			p.bound++
		}
	}
	applying := time.Now()
	p.placer.Apply(stream.Update{Offset: p.fixture.Offset, Events: applied.Events})
	p.applyTime += time.Since(applying)
	return applied.Results, nil
}

func newPlacerInstance(size rigs.Size) (*placerInstance, error) {
	fixture, err := rigs.New(size)
	if err != nil {
		return nil, err
	}
	p := &placerInstance{fixture: fixture, clock: clockwork.NewFakeClockAt(fixture.Now())}
	p.placer, err = sched.New(sched.Config{DataCentre: roundDataCentre}, sched.Deps{
		Submit: p, Links: p, View: fixture.Machine, Leases: p, Clock: p.clock, Log: zap.NewNop(),
	})
	if err != nil {
		return nil, fmt.Errorf("creating a placer: %w", err)
	}
	p.placer.Apply(stream.Update{Offset: fixture.Offset, Events: fixture.Machine.StateEvents()})
	// After this time, the placer may also bind the tasks that are offered to other data centres first.
	p.clock.Advance(time.Minute)
	return p, nil
}

// rounds measures the rounds of the placer by the number of workers, and the heap that it uses.
func rounds(Config) ([]fits.Series, error) {
	var perTask, applied, idle []fits.Point
	for _, workers := range []int{50, 500, 5_000, 7_500} {
		p, err := newPlacerInstance(rigs.Size{
			Workers: workers, Teams: 280, Bound: int(boundPerWorker*float64(workers)) / 4 * 4, Queued: 8_000,
			DataCentre: roundDataCentre,
		})
		if err != nil {
			return nil, err
		}
		bindTime, applyTime, idleTime := p.measure()
		x := float64(workers)
		perTask = append(perTask, fits.Point{X: x, Y: bindTime})
		applied = append(applied, fits.Point{X: x, Y: applyTime})
		idle = append(idle, fits.Point{X: x, Y: idleTime})
	}
	const size = "worker (280 teams, 8,000 queued)"
	heap, err := placerHeap()
	return append([]fits.Series{
		fits.New("round of the placer, by task that it binds", size, "us", perTask),
		fits.New("following the fold in the placer, by task that is bound", size, "us", applied),
		fits.New("fruitless round and tick of the placer", size, "us", idle),
	}, heap...), err
}

// measure returns three medians in microseconds: the time of a round without that of Submit, per bound task; the time in
// which the placer processes the events of applied operations, per bound task; and the time of a round that binds
// nothing, without that of Submit.
func (p *placerInstance) measure() (perTask, applied, idle float64) {
	ctx := context.Background()
	p.placer.Step(ctx)
	var bindingRounds, applyTimes []time.Duration
	idleRounds := make([]time.Duration, 0, roundRuns)
	for i := range roundRuns {
		var ends []record.Op
		for k, op := range p.fixture.Turnover(i*endsPerRound, endsPerRound) {
			if k%2 == 0 {
				ends = append(ends, op)
			}
		}
		_, _ = p.Submit(ctx, ends...)
		p.bound, p.submitTime, p.applyTime = 0, 0, 0
		began := time.Now()
		p.placer.Step(ctx)
		took := time.Since(began) - p.submitTime
		if p.bound > 0 {
			bindingRounds = append(bindingRounds, took/time.Duration(p.bound))
			applyTimes = append(applyTimes, p.applyTime/time.Duration(p.bound))
		}
		p.placer.Step(ctx)
		began, p.submitTime = time.Now(), 0
		p.placer.Step(ctx)
		idleRounds = append(idleRounds, time.Since(began)-p.submitTime)
		p.clock.Advance(time.Second)
	}
	return microseconds(median(bindingRounds)), microseconds(median(applyTimes)), microseconds(median(idleRounds))
}

// placerHeap measures the heap that a placer uses in addition to the state.
func placerHeap() ([]fits.Series, error) {
	dimensions := []struct {
		name   string
		values []int
		size   func(n int) rigs.Size
	}{
		{"worker of the data centre", []int{1000, 4000, 7500}, func(n int) rigs.Size {
			return rigs.Size{Workers: n, Teams: 20, DataCentre: roundDataCentre}
		}},
		{"worker of another data centre", []int{1000, 4000, 7500}, func(n int) rigs.Size {
			return rigs.Size{Workers: n, Teams: 20, DataCentre: "dc02"}
		}},
		{"bound task", []int{2000, 10000, 34000}, func(n int) rigs.Size {
			return rigs.Size{Workers: 7500, Teams: 20, Bound: n, DataCentre: "dc02"}
		}},
		{"queued task (jobs of 4)", []int{4000, 12000, 32000}, func(n int) rigs.Size {
			return rigs.Size{Workers: 100, Teams: 20, Queued: n, DataCentre: roundDataCentre}
		}},
	}
	out := make([]fits.Series, 0, len(dimensions))
	for _, d := range dimensions {
		var points []fits.Point
		for _, v := range d.values {
			heap, err := placerHeapAt(d.size(v))
			if err != nil {
				return nil, err
			}
			points = append(points, fits.Point{X: float64(v), Y: heap})
		}
		out = append(out, fits.New("heap of the placer beside the folded state", d.name, "bytes", points))
	}
	return out, nil
}

func placerHeapAt(size rigs.Size) (float64, error) {
	p, err := newPlacerInstance(size)
	if err != nil {
		return 0, err
	}
	heapWith := meter.HeapInUse()
	fixture := p.fixture
	p.placer = nil
	heapWithout := meter.HeapInUse()
	runtime.KeepAlive(fixture)
	runtime.KeepAlive(p)
	return heapWith - heapWithout, nil
}
