package soak

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/fault"
	"arbutuswing.example/standin/internal/fleet"
	"arbutuswing.example/standin/internal/roster"
	"arbutuswing.example/standin/internal/store"
)

const (
	callLatency = time.Millisecond
	// callTimeout is how long a caller waits for something that doesn't answer.
	callTimeout = time.Second
	gatePoll    = 20 * time.Millisecond
)

// gate stops a node's calls while the node is paused, and for good once it crashed.
type gate struct {
	paused  atomic.Bool
	crashed atomic.Bool
}

// pass waits out a pause; it returns false once the node crashed or the call's context ended.
func (g *gate) pass(ctx context.Context) bool {
	for g.paused.Load() && !g.crashed.Load() && ctx.Err() == nil {
		time.Sleep(gatePoll)
	}
	return !g.crashed.Load() && ctx.Err() == nil
}

// platform is the stand-in's log, list and workers as one node reaches them; it implements ports.Log, ports.Lister and
// ports.Worker.
type platform struct {
	gate   *gate
	centre model.DataCentreID
	faults *fault.Set
	log    *store.Store
	list   *roster.Roster
	fleet  *fleet.Fleet
}

// reach passes the gate and the faults on the way to the log and the list.
func (p *platform) reach(ctx context.Context) error {
	time.Sleep(callLatency + p.faults.Delay())
	if !p.gate.pass(ctx) {
		return fmt.Errorf("%w: the caller is gone", ports.ErrUnavailable)
	}
	if down, _ := p.faults.Outage(); down || p.faults.CutOff(p.centre) {
		return fmt.Errorf("%w: unreachable", ports.ErrUnavailable)
	}
	return nil
}

func (p *platform) Append(ctx context.Context, data []byte) (model.Offset, error) {
	if err := p.reach(ctx); err != nil {
		return model.NoOffset, err
	}
	offset, err := p.log.Append(data)
	if err != nil {
		return model.NoOffset, err
	}
	time.Sleep(callLatency)
	if p.faults.LoseAppend() || !p.gate.pass(ctx) {
		return model.NoOffset, ports.ErrUnknownEffect
	}
	return offset, nil
}

func (p *platform) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
	if err := p.reach(ctx); err != nil {
		return ports.Batch{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	batch, err := p.log.Read(ctx, from, limit)
	if !p.gate.pass(context.WithoutCancel(ctx)) {
		return ports.Batch{}, ports.ErrUnavailable
	}
	if down, _ := p.faults.Outage(); down || p.faults.CutOff(p.centre) {
		return ports.Batch{}, ports.ErrUnavailable
	}
	return batch, err
}

func (p *platform) List(ctx context.Context) ([]ports.Instance, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.list.List(), nil
}

// command runs one command on a worker under its faults.
func (p *platform) command(ctx context.Context, address string, run func(model.WorkerID) error) error {
	spec, err := p.fleet.Spec(model.WorkerID(address))
	if err != nil {
		return err
	}
	time.Sleep(callLatency + p.faults.CommandDelay(spec.ID))
	place := fault.Place{Worker: spec.ID, DataCentre: spec.DataCentre, Rack: spec.Rack}
	if p.faults.Unreachable(p.centre, place) {
		time.Sleep(callTimeout)
		return ports.ErrUnreachable
	}
	// A paused caller's command arrives late, but it does arrive.
	if !p.gate.pass(context.WithoutCancel(ctx)) {
		return ports.ErrUnreachable
	}
	err = run(spec.ID)
	time.Sleep(callLatency)
	if p.faults.LoseCommand(spec.ID) || !p.gate.pass(ctx) {
		return ports.ErrUnreachable
	}
	return err
}

func (p *platform) Lease(ctx context.Context, address string, req ports.LeaseRequest) (ports.WorkerReport, error) {
	var report ports.WorkerReport
	err := p.command(ctx, address, func(id model.WorkerID) (err error) {
		report, err = p.fleet.Lease(id, req)
		return err
	})
	return report, err
}

func (p *platform) Release(ctx context.Context, address string, token model.Token) error {
	return p.command(ctx, address, func(id model.WorkerID) error { return p.fleet.Release(id, token) })
}

func (p *platform) Start(ctx context.Context, address string, token model.Token, starts []ports.StartRequest) error {
	return p.command(ctx, address, func(id model.WorkerID) error { return p.fleet.Start(id, token, starts) })
}

func (p *platform) Stop(
	ctx context.Context, address string, token model.Token, outcome model.Outcome, attempts []model.AttemptID,
) error {
	return p.command(ctx, address, func(id model.WorkerID) error { return p.fleet.Stop(id, token, outcome, attempts) })
}

func (p *platform) Checkpoint(ctx context.Context, address string, token model.Token, attempt model.AttemptID) error {
	return p.command(ctx, address, func(id model.WorkerID) error { return p.fleet.Checkpoint(id, token, attempt) })
}

func (p *platform) Throttle(
	ctx context.Context, address string, token model.Token, attempt model.AttemptID, fraction float64,
) error {
	return p.command(ctx, address, func(id model.WorkerID) error {
		return p.fleet.Throttle(id, token, attempt, fraction)
	})
}

func (p *platform) Acknowledge(
	ctx context.Context, address string, token model.Token, attempts []model.AttemptID,
) error {
	return p.command(ctx, address, func(id model.WorkerID) error { return p.fleet.Acknowledge(id, token, attempts) })
}
