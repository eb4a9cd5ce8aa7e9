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
	// callTimeout is how long a caller waits for an answer.
	callTimeout = time.Second
	pausePoll   = 20 * time.Millisecond
)

// callControl holds a node's calls back while the node is paused, and fails them once it has crashed.
type callControl struct {
	paused  atomic.Bool
	crashed atomic.Bool
}

// waitUntilRunning waits while the node is paused; it returns false if the node has crashed or the call's context has ended.
func (g *callControl) waitUntilRunning(ctx context.Context) bool {
	for g.paused.Load() && !g.crashed.Load() && ctx.Err() == nil {
		time.Sleep(pausePoll)
	}
	return !g.crashed.Load() && ctx.Err() == nil
}

// platformClient gives one node access to the stand-in's log, instance list and workers; it implements ports.Log,
// ports.Lister and ports.Worker.
type platformClient struct {
	callControl *callControl
	dataCentre  model.DataCentreID
	faults      *fault.Set
	log         *store.Store
	list        *roster.InstanceList
	fleet       *fleet.Fleet
}

// checkReachable returns an error if the node is down or a fault makes the log and the instance list unreachable.
func (p *platformClient) checkReachable(ctx context.Context) error {
	time.Sleep(callLatency + p.faults.LogDelay())
	if !p.callControl.waitUntilRunning(ctx) {
		return fmt.Errorf("%w: caller has crashed or given up", ports.ErrUnavailable)
	}
	if down, _ := p.faults.LogDown(); down || p.faults.IsPlatformUnreachable(p.dataCentre) {
		return fmt.Errorf("%w: unreachable", ports.ErrUnavailable)
	}
	return nil
}

func (p *platformClient) Append(ctx context.Context, data []byte) (model.Offset, error) {
	if err := p.checkReachable(ctx); err != nil {
		return model.NoOffset, err
	}
	offset, err := p.log.Append(data)
	if err != nil {
		return model.NoOffset, err
	}
	time.Sleep(callLatency)
	if p.faults.DropAppendAnswer() || !p.callControl.waitUntilRunning(ctx) {
		return model.NoOffset, ports.ErrUnknownEffect
	}
	return offset, nil
}

func (p *platformClient) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error) {
	if err := p.checkReachable(ctx); err != nil {
		return ports.Batch{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	batch, err := p.log.Read(ctx, from, limit)
	if !p.callControl.waitUntilRunning(context.WithoutCancel(ctx)) {
		return ports.Batch{}, ports.ErrUnavailable
	}
	if down, _ := p.faults.LogDown(); down || p.faults.IsPlatformUnreachable(p.dataCentre) {
		return ports.Batch{}, ports.ErrUnavailable
	}
	return batch, err
}

func (p *platformClient) List(ctx context.Context) ([]ports.Instance, error) {
	if err := p.checkReachable(ctx); err != nil {
		return nil, err
	}
	return p.list.List(), nil
}

// runCommand runs a command on a worker, subject to the faults of the worker and of the node.
func (p *platformClient) runCommand(ctx context.Context, address string, run func(model.WorkerID) error) error {
	spec, err := p.fleet.Spec(model.WorkerID(address))
	if err != nil {
		return err
	}
	time.Sleep(callLatency + p.faults.CommandDelay(spec.ID))
	location := fault.WorkerLocation{Worker: spec.ID, DataCentre: spec.DataCentre, Rack: spec.Rack}
	if p.faults.IsWorkerUnreachable(p.dataCentre, location) {
		time.Sleep(callTimeout)
		return ports.ErrUnreachable
	}
	// The command of a paused caller arrives late, but it does arrive.
	if !p.callControl.waitUntilRunning(context.WithoutCancel(ctx)) {
		return ports.ErrUnreachable
	}
	err = run(spec.ID)
	time.Sleep(callLatency)
	if p.faults.DropCommandAnswer(spec.ID) || !p.callControl.waitUntilRunning(ctx) {
		return ports.ErrUnreachable
	}
	return err
}

func (p *platformClient) Lease(ctx context.Context, address string, req ports.LeaseRequest) (ports.WorkerReport, error) {
	var report ports.WorkerReport
	err := p.runCommand(ctx, address, func(id model.WorkerID) (err error) {
		report, err = p.fleet.Lease(id, req)
		return err
	})
	return report, err
}

func (p *platformClient) Release(ctx context.Context, address string, token model.Token) error {
	return p.runCommand(ctx, address, func(id model.WorkerID) error { return p.fleet.Release(id, token) })
}

func (p *platformClient) Start(ctx context.Context, address string, token model.Token, starts []ports.StartRequest) error {
	return p.runCommand(ctx, address, func(id model.WorkerID) error { return p.fleet.Start(id, token, starts) })
}

func (p *platformClient) Stop(
	ctx context.Context, address string, token model.Token, outcome model.Outcome, attempts []model.AttemptID,
) error {
	return p.runCommand(ctx, address, func(id model.WorkerID) error { return p.fleet.Stop(id, token, outcome, attempts) })
}

func (p *platformClient) Checkpoint(ctx context.Context, address string, token model.Token, attempt model.AttemptID) error {
	return p.runCommand(ctx, address, func(id model.WorkerID) error { return p.fleet.Checkpoint(id, token, attempt) })
}

func (p *platformClient) Throttle(
	ctx context.Context, address string, token model.Token, attempt model.AttemptID, fraction float64,
) error {
	return p.runCommand(ctx, address, func(id model.WorkerID) error {
		return p.fleet.Throttle(id, token, attempt, fraction)
	})
}

func (p *platformClient) Acknowledge(
	ctx context.Context, address string, token model.Token, attempts []model.AttemptID,
) error {
	return p.runCommand(ctx, address, func(id model.WorkerID) error { return p.fleet.Acknowledge(id, token, attempts) })
}
