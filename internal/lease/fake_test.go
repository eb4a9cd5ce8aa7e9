package lease

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// rig has a manager, one worker, and fakes of everything that the manager calls.
type rig struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	manager *Manager

	// The worker.
	booted   time.Time
	boot     model.BootID
	token    model.Token
	down     bool
	err      error
	startErr error
	requests []ports.LeaseRequest
	started  int
	released []model.Token

	// The instance.
	placer, renew bool
	since         time.Time
	connected     bool
	isolated      bool
	commands      []Command
	sent          []error
	pause         time.Duration
	reports       []Report
	dropped       int

	// The log, and the worker's state as recorded in it.
	offset    model.Offset
	ops       []record.Op
	recorded  state.Worker
	rejection error
}

func newRig(t *testing.T) *rig {
	r := &rig{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)), boot: "b1", placer: true, renew: true,
		connected: true, recorded: state.Worker{ID: "w", Boot: "b1", DataCentre: "dc1", Suspicion: model.NoOffset},
	}
	r.since, r.booted = r.clock.Now(), r.clock.Now().Add(-time.Hour)
	m, err := New(Config{Instance: "n", DataCentre: "dc1"}, Deps{
		Workers: r, List: r, Links: r, Submit: r, Handler: r, Clock: r.clock, Log: zap.NewNop(),
	})
	assert.NilError(t, err)
	r.manager = m
	m.ReadInstanceList(t.Context())
	m.WorkerChanged(r.recorded)
	return r
}

// advance moves the clock in steps of half a second and serves the workers that are due after each.
func (r *rig) advance(d time.Duration) {
	for ; d > 0; d -= 500 * time.Millisecond {
		r.clock.Advance(500 * time.Millisecond)
		r.manager.ServeDue(r.t.Context())
	}
}

func (r *rig) List(context.Context) ([]ports.Instance, error) {
	return []ports.Instance{{ID: "w", Role: ports.RoleWorker, DataCentre: "dc1", Address: "w:1", Presence: ports.PresenceLive}}, nil
}

func (r *rig) IsPlacer() bool                    { return r.placer }
func (r *rig) MayRenew() bool                    { return r.renew }
func (r *rig) ConnectedSince() (time.Time, bool) { return r.since, r.connected }
func (r *rig) Isolated(model.DataCentreID) bool  { return r.isolated }

func (r *rig) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	results := make([]error, len(ops))
	for i, op := range ops {
		r.offset++
		r.ops = append(r.ops, op)
		if results[i] = r.rejection; r.rejection == nil {
			r.apply(op)
		}
	}
	return results, nil
}

// apply applies the operation to the worker's recorded state and passes that to the manager.
func (r *rig) apply(op record.Op) {
	switch op := op.(type) {
	case record.WorkerSuspected:
		r.recorded.Suspicion = r.offset
	case record.WorkerCleared:
		r.recorded.Suspicion, r.recorded.Lost = model.NoOffset, false
	case record.WorkerLost:
		assert.Equal(r.t, op.Suspicion, r.recorded.Suspicion)
		r.recorded.Lost = true
	case record.WorkerSeen:
		r.recorded.Boot = op.Boot
	}
	r.manager.WorkerChanged(r.recorded)
}

func (r *rig) ReportReceived(report Report) { r.reports = append(r.reports, report) }
func (r *rig) Commands(model.WorkerID) []Command {
	r.clock.Advance(r.pause)
	return r.commands
}

func (r *rig) CommandSent(_ model.WorkerID, _ Command, err error) { r.sent = append(r.sent, err) }
func (r *rig) LeaseDropped(model.WorkerID)                        { r.dropped++ }
func (r *rig) count(match func(record.Op) bool) (count int) {
	for _, op := range r.ops {
		if match(op) {
			count++
		}
	}
	return count
}

func isLost(op record.Op) bool      { _, ok := op.(record.WorkerLost); return ok }
func isSuspected(op record.Op) bool { _, ok := op.(record.WorkerSuspected); return ok }

func (r *rig) Lease(_ context.Context, _ string, req ports.LeaseRequest) (ports.WorkerReport, error) {
	r.requests = append(r.requests, req)
	if r.down {
		return ports.WorkerReport{}, ports.ErrUnreachable
	}
	if r.err != nil {
		return ports.WorkerReport{}, r.err
	}
	if req.Token == 0 {
		r.token++
	} else if req.Token != r.token {
		return ports.WorkerReport{}, ports.ErrStaleToken
	}
	return ports.WorkerReport{
		Worker: "w", Boot: r.boot, DataCentre: "dc1", Token: r.token, Clock: model.Duration(r.clock.Since(r.booted)),
	}, nil
}

func (r *rig) Release(_ context.Context, _ string, token model.Token) error {
	r.released = append(r.released, token)
	return nil
}

func (r *rig) Start(context.Context, string, model.Token, []ports.StartRequest) error {
	r.started++
	return r.startErr
}

func (r *rig) Stop(context.Context, string, model.Token, model.Outcome, []model.AttemptID) error {
	return nil
}

func (r *rig) Checkpoint(context.Context, string, model.Token, model.AttemptID) error { return nil }

func (r *rig) Throttle(context.Context, string, model.Token, model.AttemptID, float64) error {
	return nil
}

func (r *rig) Acknowledge(context.Context, string, model.Token, []model.AttemptID) error { return nil }
