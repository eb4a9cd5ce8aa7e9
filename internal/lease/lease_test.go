package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

func (r *rig) last() ports.LeaseRequest { return r.requests[len(r.requests)-1] }

// Guards against task leases that a late renewal extends further than the holder knows: each renewal must carry the
// clock reading of the last answer, and an acquisition none.
func TestRenewalCarriesTheWorkersLastClock(t *testing.T) {
	r := newRig(t)
	r.pass(500 * time.Millisecond)
	assert.Equal(t, r.requests[0].Token, model.Token(0))
	assert.Equal(t, r.requests[0].TaskTTL, model.Duration(0))
	for range 5 {
		answered := r.reports[len(r.reports)-1].Clock
		r.pass(time.Second)
		assert.Equal(t, r.last().Basis, answered)
		assert.Equal(t, r.last().TaskTTL, model.Duration(20*time.Second))
	}
}

// Guards against holders that extend task leases or start tasks on a worker that they know to be suspected.
func TestSuspectedWorkerGetsNoTaskLeases(t *testing.T) {
	r := newRig(t)
	r.commands = []Command{Start{}}
	r.pass(2 * time.Second)
	started := r.started
	assert.Assert(t, started > 0)
	r.void = state.ErrNotFound // The clearance doesn't get through.
	r.known.Suspicion = 7
	r.manager.WorkerChanged(r.known)
	r.pass(4 * time.Second)
	assert.Equal(t, r.last().TaskTTL, model.Duration(0))
	assert.Equal(t, r.started, started)
	r.void = nil
	r.pass(4 * time.Second)
	assert.Equal(t, r.known.Suspicion, model.NoOffset)
	assert.Equal(t, r.last().TaskTTL, model.Duration(20*time.Second))
	assert.Assert(t, r.started > started)
}

// Guards against commands and task leases under a lease that has lapsed during a pause.
func TestLapsedLeaseIsAcquiredAnew(t *testing.T) {
	r := newRig(t)
	r.pass(2 * time.Second)
	assert.Assert(t, r.manager.Held("w"))
	r.clock.Advance(3 * time.Second)
	assert.Assert(t, !r.manager.Held("w"))
	acquired := len(r.requests)
	r.pass(500 * time.Millisecond)
	assert.Equal(t, r.requests[acquired].Token, model.Token(0))
	assert.Equal(t, r.requests[acquired].TaskTTL, model.Duration(0))
}

// Guards against a command that was decided on before a pause and is sent after the lease has lapsed.
func TestNoCommandAfterPause(t *testing.T) {
	r := newRig(t)
	r.commands, r.pause = []Command{Start{}}, 3*time.Second
	r.pass(5 * time.Second)
	assert.Equal(t, r.started, 0)
}

// Guards against a holder that goes on with a token that the worker refuses, or while another one holds the lease.
func TestRefusedLeaseIsDropped(t *testing.T) {
	for _, err := range []error{ports.ErrStaleToken, ports.ErrLeaseHeld} {
		r := newRig(t)
		r.pass(2 * time.Second)
		r.err = err
		r.pass(time.Second)
		assert.Equal(t, r.dropped, 1, "%s", err)
		assert.Assert(t, !r.manager.Held("w"))
		r.pass(10 * time.Second)
		assert.Equal(t, r.count(isSuspected), 0, "a worker that answers is not suspected")
	}
}

// Guards against leases that outlast the role or the permission to renew.
func TestLeaseEndsWithRoleAndPermission(t *testing.T) {
	r := newRig(t)
	r.pass(2 * time.Second)
	r.placer = false
	r.pass(time.Second)
	assert.DeepEqual(t, r.released, []model.Token{1})
	asked := len(r.requests)
	r.pass(10 * time.Second)
	assert.Equal(t, len(r.requests), asked)
	r.placer, r.renew = true, false
	r.pass(10 * time.Second)
	assert.Equal(t, len(r.requests), asked)
}

// Guards against a loss that is recorded before every task lease has lapsed, and against one that is never recorded.
func TestLossWaitsForTaskLeases(t *testing.T) {
	r := newRig(t)
	r.pass(2 * time.Second)
	r.down = true
	r.pass(6 * time.Second)
	assert.Equal(t, r.count(isSuspected), 1)
	r.pass(24 * time.Second)
	assert.Equal(t, r.count(isLost), 0)
	r.pass(3 * time.Second)
	assert.Equal(t, r.count(isLost), 1)
	r.down = false
	r.pass(3 * time.Second)
	assert.Assert(t, !r.known.Lost)
}

// Guards against a loss recorded by an instance that may have missed the clearance while it was not connected.
func TestLossWaitStartsAgainAfterBrokenConnection(t *testing.T) {
	r := newRig(t)
	r.pass(2 * time.Second)
	r.down = true
	r.pass(16 * time.Second)
	r.since = r.clock.Now()
	r.pass(25 * time.Second)
	assert.Equal(t, r.count(isLost), 0)
	r.pass(2 * time.Second)
	assert.Equal(t, r.count(isLost), 1)
}

// Guards against an instance that waits on the suspicion of a writer that is gone, and against two that replace each
// other's suspicions for ever.
func TestSuspicionOfAnotherInstance(t *testing.T) {
	r := newRig(t)
	r.pass(2 * time.Second)
	r.down = true
	r.pass(4 * time.Second) // The lease lapses, so the instance can't say that the worker answers.
	r.known.Suspicion = 100
	r.offset = 100
	r.manager.WorkerChanged(r.known)
	r.pass(4 * time.Second)
	assert.Equal(t, r.count(isSuspected), 1, "replaces a suspicion that it doesn't own")
	r.known.Suspicion = 200
	r.offset = 200
	r.manager.WorkerChanged(r.known)
	r.pass(40 * time.Second)
	assert.Equal(t, r.count(isSuspected), 1, "leaves the one that replaced its own the time to finish")
	assert.Equal(t, r.count(isLost), 0)
}

// Guards against a worker's new boot that is never recorded, and clock readings of an earlier boot.
func TestNewBootIsRecorded(t *testing.T) {
	r := newRig(t)
	r.commands = []Command{Start{}}
	r.pass(2 * time.Second)
	r.boot, r.booted, r.token = "b2", r.clock.Now(), 10
	r.pass(2 * time.Second)
	assert.Equal(t, r.known.Boot, model.BootID("b2"))
	assert.Assert(t, r.last().Basis < model.Duration(time.Minute))
}

// Guards against instances that suspect workers of another data centre without a reason, or never.
func TestWorkersOfAnotherDataCentre(t *testing.T) {
	away := state.Worker{ID: "x", Boot: "b", DataCentre: "dc2", Suspicion: model.NoOffset}
	tests := []struct {
		name     string
		service  decl.Service
		isolated bool
		want     int
	}{
		{"in service", decl.InService, false, 0},
		{"out of service", decl.OutOfService, false, 0},
		{"lost", decl.Lost, false, 1},
		{"isolated", decl.InService, true, 1},
	}
	for _, tt := range tests {
		r := newRig(t)
		r.void = state.ErrNotFound
		r.isolated = tt.isolated
		r.manager.Declared(decl.Set{DataCentres: []decl.DataCentre{
			{Name: "dc1", Service: decl.InService}, {Name: "dc2", Service: tt.service},
		}})
		r.manager.WorkerChanged(away)
		r.pass(time.Second)
		got := r.count(func(op record.Op) bool { s, ok := op.(record.WorkerSuspected); return ok && s.Worker == "x" })
		assert.Equal(t, got, tt.want, tt.name)
	}
}

// Guards against leases that are kept by an instance that shuts down, and goroutines that outlive it.
func TestRunReleasesOnShutdown(t *testing.T) {
	r := newRig(t)
	r.pass(time.Second)
	r.manager.releaseAll()
	assert.DeepEqual(t, r.released, []model.Token{1})
	assert.Assert(t, !r.manager.Held("w"))
}
