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

// system is the fold with one placer in each data centre. Envelopes are folded by all at once and calls to workers take
// no time; renewals come once a second.
type system struct {
	t       *trial
	clock   *clockwork.FakeClock
	machine *state.Machine
	checker *invar.Checker
	nodes   []*node
	offset  model.Offset
	base    model.Offset
	seq     int64
	kicked  map[model.WorkerID]bool
	workers map[model.WorkerID]*fleet.Worker
	full    map[model.DataCentreID]bool
	ops     int
	appends int
}

// node is the placer of one data centre.
type node struct {
	*system
	dc     model.DataCentreID
	placer *sched.Placer
}

func newSystem(t *trial) (*system, error) {
	s := &system{
		t: t, clock: clockwork.NewFakeClockAt(mixes.Start), checker: invar.New(zap.NewNop(), false), offset: model.NoOffset,
		base: model.NoOffset, kicked: make(map[model.WorkerID]bool), workers: make(map[model.WorkerID]*fleet.Worker),
		full: make(map[model.DataCentreID]bool),
	}
	var err error
	if s.machine, err = state.New(state.Config{Invariants: s.checker}); err != nil {
		return nil, fmt.Errorf("making a machine: %w", err)
	}
	for _, dc := range centres {
		n := &node{system: s, dc: dc}
		n.placer, err = sched.New(sched.Config{DataCentre: dc}, sched.Deps{
			Submit: s, Links: n, View: s.machine, Leases: n, Fullness: n, Invariants: s.checker, Clock: s.clock, Log: zap.NewNop(),
		})
		if err != nil {
			return nil, fmt.Errorf("making a placer: %w", err)
		}
		s.nodes = append(s.nodes, n)
	}
	if err := s.declare(t.mix.Set); err != nil {
		return nil, err
	}
	var seen []record.Op
	for _, w := range t.fleet.Workers {
		s.workers[w.ID] = w
		seen = append(seen, record.WorkerSeen{Worker: w.ID, Boot: boot, Capacity: fleet.Capacity, DataCentre: w.Centre, Rack: w.Rack})
	}
	return s, s.must(seen...)
}

// Submit implements sched.Submitter.
func (s *system) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	s.offset++
	s.seq++
	s.ops += len(ops)
	s.appends++
	applied := s.machine.Apply(s.offset, record.Envelope{
		Writer: "entry", Incarnation: 1, Sequence: s.seq, Time: s.clock.Now().UnixNano(), Ops: ops,
	})
	for _, n := range s.nodes {
		n.placer.Apply(stream.Update{Offset: s.offset, Events: applied.Events})
	}
	return applied.Results, nil
}

func (s *system) must(ops ...record.Op) error {
	results, err := s.Submit(context.Background(), ops...)
	if err != nil {
		return err
	}
	for i, result := range results {
		if result != nil {
			return fmt.Errorf("folding %s: %w", record.KindOf(ops[i]), result)
		}
	}
	return nil
}

func (s *system) declare(set decl.Set) error {
	contents, err := json.Marshal(decl.Patch{Put: set})
	if err != nil {
		return fmt.Errorf("encoding a change: %w", err)
	}
	change := record.Change{ID: "change-" + strconv.FormatInt(s.seq, 10), Base: s.base, Author: "bench", Contents: contents}
	if err := s.must(change); err != nil {
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

func (s *system) arrive(now time.Duration, jobs []*mixes.Job) error {
	s.tick(now)
	ops := make([]record.Op, 0, len(jobs))
	for _, job := range jobs {
		ops = append(ops, record.JobAccepted{
			Spec: job.Spec, Key: model.HashKey(string(job.Spec.Team)), Submitted: s.clock.Now().UnixNano(),
		})
	}
	return s.must(ops...)
}

func (s *system) service(now time.Duration, dc model.DataCentreID, in bool) error {
	s.tick(now)
	return s.declare(decl.Set{DataCentres: []decl.DataCentre{{Name: dc, Region: "west", Service: serviceOf(in)}}})
}

// lost does nothing: the fold learns of lost attempts from the loss protocol, which is not played here.
func (s *system) lost([]*fleet.Run) {}

// tick moves the clock to now.
func (s *system) tick(now time.Duration) {
	s.clock.Advance(mixes.Start.Add(now).Sub(s.clock.Now()))
}

func (s *system) step(now time.Duration) error {
	s.tick(now)
	for i, w := range s.t.fleet.Workers {
		// The renewals of a second are spread over its steps.
		if (int(now/step)+i)%int(time.Second/step) == 0 {
			s.renew(now, w)
		}
	}
	s.serveKicked(now)
	for _, n := range s.nodes {
		if !s.t.fleet.Off[n.dc] {
			n.placer.Step(context.Background())
		}
	}
	s.serveKicked(now)
	return nil
}

// IsPlacer implements sched.Links.
func (n *node) IsPlacer() bool { return true }

// MayStart implements sched.Links.
func (n *node) MayStart() bool { return true }

// ConnectedSince implements sched.Links.
func (n *node) ConnectedSince() (time.Time, bool) { return mixes.Start, true }

// FreshAsOf implements sched.Links.
func (n *node) FreshAsOf() time.Time { return n.clock.Now() }

// OutageConfirmedAt implements sched.Links; the log is never out.
func (n *node) OutageConfirmedAt() time.Time { return time.Time{} }

// AppliedByPeers implements sched.Links; there is no other instance.
func (n *node) AppliedByPeers(model.Offset) bool { return true }

// ServeSoon implements sched.Leases.
func (n *node) ServeSoon(id model.WorkerID) { n.kicked[id] = true }

// WorkerChanged implements sched.Leases.
func (n *node) WorkerChanged(state.Worker) {}

// SetDeclarations implements sched.Leases.
func (n *node) SetDeclarations(decl.Set) {}

// Full implements sched.Fullness.
func (n *node) Full(dc model.DataCentreID) bool { return n.full[dc] }

// ReportFull implements sched.Fullness.
func (n *node) ReportFull(full bool) { n.full[n.dc] = full }
