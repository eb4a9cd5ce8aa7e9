package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/sched"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// system is the state machine with one placer in each data centre. All of them apply an envelope immediately, calls to
// workers take no time, and each lease is renewed once per second. It implements scheduler.
type system struct {
	t       *trial
	clock   *clockwork.FakeClock
	machine *state.Machine
	checker *invar.Checker
	placers []*dataCentrePlacer
	offset  model.Offset
	// base is the offset of the last change of the declarations.
	base     model.Offset
	sequence int64
	// needsCall holds the workers that a placer has commands for.
	needsCall map[model.WorkerID]bool
	workers   map[model.WorkerID]*fleet.Worker
	// full holds the data centres that reported to be full.
	full    map[model.DataCentreID]bool
	ops     int
	appends int
}

// dataCentrePlacer is the placer of one data centre.
type dataCentrePlacer struct {
	*system
	dc     model.DataCentreID
	placer *sched.Placer
}

func newSystem(t *trial) (*system, error) {
	s := &system{
		t: t, clock: clockwork.NewFakeClockAt(mixes.Start), checker: invar.New(zap.NewNop(), false), offset: model.NoOffset,
		base: model.NoOffset, needsCall: make(map[model.WorkerID]bool), workers: make(map[model.WorkerID]*fleet.Worker),
		full: make(map[model.DataCentreID]bool),
	}
	var err error
	if s.machine, err = state.New(state.Config{Invariants: s.checker}); err != nil {
		return nil, fmt.Errorf("creating a state machine: %w", err)
	}
	for _, dc := range centres {
		p := &dataCentrePlacer{system: s, dc: dc}
		p.placer, err = sched.New(sched.Config{DataCentre: dc}, sched.Deps{
			Submit: s, Links: p, View: s.machine, Leases: p, Fullness: p, Invariants: s.checker,
			Clock: s.clock, Log: zap.NewNop(),
		})
		if err != nil {
			return nil, fmt.Errorf("creating a placer: %w", err)
		}
		s.placers = append(s.placers, p)
	}
	if err := s.declare(t.mix.Set); err != nil {
		return nil, err
	}
	var seen []record.Op
	for _, w := range t.fleet.Workers {
		s.workers[w.ID] = w
		seen = append(seen,
			record.WorkerSeen{Worker: w.ID, Boot: boot, Capacity: fleet.Capacity, DataCentre: w.DataCentre, Rack: w.Rack})
	}
	return s, s.apply(seen...)
}

// Submit implements sched.Submitter.
func (s *system) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	s.offset++
	s.sequence++
	s.ops += len(ops)
	s.appends++
	applied := s.machine.Apply(s.offset, record.Envelope{
		Writer: "entry", Incarnation: 1, Sequence: s.sequence, Time: s.clock.Now().UnixNano(), Ops: ops,
	})
	for _, p := range s.placers {
		p.placer.Apply(stream.Update{Offset: s.offset, Events: applied.Events})
	}
	return applied.Results, nil
}

func (s *system) apply(ops ...record.Op) error {
	results, err := s.Submit(context.Background(), ops...)
	if err != nil {
		return err
	}
	for i, result := range results {
		if result != nil {
			return fmt.Errorf("applying %s: %w", record.KindOf(ops[i]), result)
		}
	}
	return nil
}

func (s *system) declare(set decl.Set) error {
	contents, err := json.Marshal(decl.Patch{Put: set})
	if err != nil {
		return fmt.Errorf("encoding a change: %w", err)
	}
	change := record.Change{ID: "change-" + strconv.FormatInt(s.sequence, 10), Base: s.base, Author: "bench", Contents: contents}
	if err := s.apply(change); err != nil {
		return err
	}
	s.base = s.offset
	return nil
}

func (s *system) violations() int {
	sum := 0
	for _, n := range s.checker.Violations() {
		sum += n
	}
	return sum
}

func (s *system) submitJobs(now time.Duration, jobs []*mixes.Job) error {
	s.setClock(now)
	ops := make([]record.Op, 0, len(jobs))
	for _, job := range jobs {
		ops = append(ops, record.JobAccepted{
			Spec: job.Spec, Key: model.HashKey(string(job.Spec.Team)), Submitted: s.clock.Now().UnixNano(),
		})
	}
	return s.apply(ops...)
}

func (s *system) setInService(now time.Duration, dc model.DataCentreID, in bool) error {
	s.setClock(now)
	return s.declare(decl.Set{DataCentres: []decl.DataCentre{{Name: dc, Region: "west", Service: serviceOf(in)}}})
}

// runsLost does nothing: in the system, lost attempts are found when leases expire, which is not simulated here.
func (s *system) runsLost([]*fleet.Run) {}

// setClock advances the clock to now.
func (s *system) setClock(now time.Duration) {
	s.clock.Advance(mixes.Start.Add(now).Sub(s.clock.Now()))
}

func (s *system) step(now time.Duration) error {
	s.setClock(now)
	for i, w := range s.t.fleet.Workers {
		// The renewals are spread evenly over the steps of a second.
		if (int(now/timeStep)+i)%int(time.Second/timeStep) == 0 {
			s.renew(now, w)
		}
	}
	s.callWorkers(now)
	for _, p := range s.placers {
		if !s.t.fleet.PoweredOff[p.dc] {
			p.placer.Step(context.Background())
		}
	}
	s.callWorkers(now)
	return nil
}

// IsPlacer implements sched.Links.
func (p *dataCentrePlacer) IsPlacer() bool { return true }

// MayStart implements sched.Links.
func (p *dataCentrePlacer) MayStart() bool { return true }

// ConnectedSince implements sched.Links.
func (p *dataCentrePlacer) ConnectedSince() (time.Time, bool) { return mixes.Start, true }

// FreshAsOf implements sched.Links.
func (p *dataCentrePlacer) FreshAsOf() time.Time { return p.clock.Now() }

// OutageConfirmedAt implements sched.Links; there is never a log outage.
func (p *dataCentrePlacer) OutageConfirmedAt() time.Time { return time.Time{} }

// AppliedByPeers implements sched.Links; there is no other instance.
func (p *dataCentrePlacer) AppliedByPeers(model.Offset) bool { return true }

// ServeSoon implements sched.Leases.
func (p *dataCentrePlacer) ServeSoon(id model.WorkerID) { p.needsCall[id] = true }

// WorkerChanged implements sched.Leases.
func (p *dataCentrePlacer) WorkerChanged(state.Worker) {}

// SetDeclarations implements sched.Leases.
func (p *dataCentrePlacer) SetDeclarations(decl.Set) {}

// Full implements sched.Fullness.
func (p *dataCentrePlacer) Full(dc model.DataCentreID) bool { return p.full[dc] }

// ReportFull implements sched.Fullness.
func (p *dataCentrePlacer) ReportFull(full bool) { p.full[p.dc] = full }
