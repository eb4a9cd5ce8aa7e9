package lease

import (
	"slices"
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

// Guards against task leases that a delayed renewal extends further than the holder assumes: each renewal must carry
// the clock reading of the last answer, and an acquisition none.
func TestRenewalCarriesTheWorkersLastClock(t *testing.T) {
	r := newRig(t)
	r.advance(500 * time.Millisecond)
	assert.Equal(t, r.requests[0].Token, model.Token(0))
	assert.Equal(t, r.requests[0].TaskTTL, model.Duration(0))
	for range 5 {
		answered := r.reports[len(r.reports)-1].Clock
		r.advance(time.Second)
		assert.Equal(t, r.last().Basis, answered)
		assert.Equal(t, r.last().TaskTTL, model.Duration(20*time.Second))
	}
}

// Guards against extending task leases or starting tasks on a worker that is recorded as suspected.
func TestSuspectedWorkerGetsNoTaskLeases(t *testing.T) {
	r := newRig(t)
	r.commands = []Command{Start{}}
	r.advance(2 * time.Second)
	started := r.started
	assert.Assert(t, started > 0)
	r.rejection = state.ErrNotFound // The withdrawal of the suspicion is not recorded.
	r.recorded.Suspicion = 7
	r.manager.WorkerChanged(r.recorded)
	r.advance(4 * time.Second)
	assert.Equal(t, r.last().TaskTTL, model.Duration(0))
	assert.Equal(t, r.started, started)
	r.rejection = nil
	r.advance(4 * time.Second)
	assert.Equal(t, r.recorded.Suspicion, model.NoOffset)
	assert.Equal(t, r.last().TaskTTL, model.Duration(20*time.Second))
	assert.Assert(t, r.started > started)
}

// Guards against commands and task leases under a lease that expired while the process was paused.
func TestExpiredLeaseIsAcquiredAgain(t *testing.T) {
	r := newRig(t)
	r.advance(2 * time.Second)
	assert.Assert(t, r.manager.Held("w"))
	r.clock.Advance(3 * time.Second)
	assert.Assert(t, !r.manager.Held("w"))
	acquired := len(r.requests)
	r.advance(500 * time.Millisecond)
	assert.Equal(t, r.requests[acquired].Token, model.Token(0))
	assert.Equal(t, r.requests[acquired].TaskTTL, model.Duration(0))
}

// Guards against a command that was decided before a pause and is sent after the lease has expired.
func TestNoCommandAfterPause(t *testing.T) {
	r := newRig(t)
	r.commands, r.pause = []Command{Start{}}, 3*time.Second
	r.advance(5 * time.Second)
	assert.Equal(t, r.started, 0)
}

// Guards against using a token that the worker refuses, and against acting while another instance holds the lease.
func TestRefusedLeaseIsDropped(t *testing.T) {
	for _, err := range []error{ports.ErrStaleToken, ports.ErrLeaseHeld} {
		r := newRig(t)
		r.advance(2 * time.Second)
		r.err = err
		r.advance(time.Second)
		assert.Equal(t, r.dropped, 1, "%s", err)
		assert.Assert(t, !r.manager.Held("w"))
		r.advance(10 * time.Second)
		assert.Equal(t, r.count(isSuspected), 0, "a worker that answers is not suspected")
	}
}

// Guards against commands and renewals under the token of a start without an answer, which would keep that start valid.
func TestTokenOfUnansweredStartIsNotUsedAgain(t *testing.T) {
	r := newRig(t)
	r.advance(2 * time.Second)
	r.commands, r.startErr = []Command{Start{}, Stop{}}, ports.ErrUnreachable
	r.manager.ServeSoon("w")
	r.manager.ServeDue(t.Context())
	assert.Equal(t, r.started, 1)
	assert.Equal(t, r.dropped, 1)
	assert.Assert(t, !r.manager.Held("w"))
	r.manager.ServeSoon("w")
	r.manager.ServeDue(t.Context())
	assert.Equal(t, len(r.sent), 1, "no command until the worker has issued another token")
	asked := len(r.requests)
	r.startErr = nil
	r.advance(2 * time.Second)
	assert.Equal(t, r.requests[asked].Token, model.Token(0))
	assert.Equal(t, r.last().Token, model.Token(2))
	assert.Assert(t, r.started > 1)
}

// Guards against task leases that are no longer extended because each start fails and the lease is acquired anew.
func TestFailingStartsDoNotStopExtensions(t *testing.T) {
	r := newRig(t)
	r.commands, r.startErr = []Command{Start{}}, ports.ErrUnreachable
	for range 5 {
		asked := len(r.requests)
		r.advance(4 * time.Second)
		extends := func(req ports.LeaseRequest) bool { return req.TaskTTL > 0 }
		assert.Assert(t, slices.ContainsFunc(r.requests[asked:], extends), "%+v", r.requests[asked:])
	}
	assert.Assert(t, r.started > 5)
}

// Guards against a successor that waits for a lease to expire because it wasn't released after a start without an answer.
func TestLeaseOfUnansweredStartIsReleased(t *testing.T) {
	r := newRig(t)
	r.advance(2 * time.Second)
	r.commands, r.startErr = []Command{Start{}}, ports.ErrUnreachable
	r.manager.ServeSoon("w")
	r.manager.ServeDue(t.Context())
	assert.Equal(t, r.started, 1)
	r.manager.releaseAll()
	assert.DeepEqual(t, r.released, []model.Token{1})
}

// Guards against renewing leases after the instance stopped being the placer or lost the permission to renew.
func TestLeaseEndsWithRoleAndPermission(t *testing.T) {
	r := newRig(t)
	r.advance(2 * time.Second)
	r.placer = false
	r.advance(time.Second)
	assert.DeepEqual(t, r.released, []model.Token{1})
	asked := len(r.requests)
	r.advance(10 * time.Second)
	assert.Equal(t, len(r.requests), asked)
	r.placer, r.renew = true, false
	r.advance(10 * time.Second)
	assert.Equal(t, len(r.requests), asked)
}

// Guards against a loss that is recorded before every task lease has expired, and against one that is never recorded.
func TestLossWaitsForTaskLeases(t *testing.T) {
	r := newRig(t)
	r.advance(2 * time.Second)
	r.down = true
	r.advance(6 * time.Second)
	assert.Equal(t, r.count(isSuspected), 1)
	r.advance(24 * time.Second)
	assert.Equal(t, r.count(isLost), 0)
	r.advance(3 * time.Second)
	assert.Equal(t, r.count(isLost), 1)
	r.down = false
	r.advance(3 * time.Second)
	assert.Assert(t, !r.recorded.Lost)
}

// Guards against recording a loss although the withdrawal of the suspicion may have been missed while the
// connection was interrupted.
func TestLossWaitStartsAgainAfterBrokenConnection(t *testing.T) {
	r := newRig(t)
	r.advance(2 * time.Second)
	r.down = true
	r.advance(16 * time.Second)
	r.since = r.clock.Now()
	r.advance(25 * time.Second)
	assert.Equal(t, r.count(isLost), 0)
	r.advance(2 * time.Second)
	assert.Equal(t, r.count(isLost), 1)
}

// Guards against waiting for ever on the suspicion of an instance that is gone, and against two instances that keep
// replacing each other's suspicions.
func TestSuspicionOfAnotherInstance(t *testing.T) {
	r := newRig(t)
	r.advance(2 * time.Second)
	r.down = true
	r.advance(4 * time.Second) // The lease expires, so the instance cannot withdraw the suspicion.
	r.recorded.Suspicion = 100
	r.offset = 100
	r.manager.WorkerChanged(r.recorded)
	r.advance(4 * time.Second)
	assert.Equal(t, r.count(isSuspected), 1, "replaces a suspicion of another instance")
	r.recorded.Suspicion = 200
	r.offset = 200
	r.manager.WorkerChanged(r.recorded)
	r.advance(40 * time.Second)
	assert.Equal(t, r.count(isSuspected), 1, "gives the instance that replaced its suspicion time to record the loss")
	assert.Equal(t, r.count(isLost), 0)
}

// Guards against a worker's new boot that is never recorded, and against using clock readings of an earlier boot.
func TestNewBootIsRecorded(t *testing.T) {
	r := newRig(t)
	r.commands = []Command{Start{}}
	r.advance(2 * time.Second)
	r.boot, r.booted, r.token = "b2", r.clock.Now(), 10
	r.advance(2 * time.Second)
	assert.Equal(t, r.recorded.Boot, model.BootID("b2"))
	assert.Assert(t, r.last().Basis < model.Duration(time.Minute))
}

// Guards against suspecting workers of another data centre without a reason, and against never suspecting them.
func TestWorkersOfAnotherDataCentre(t *testing.T) {
	away := state.Worker{ID: "x", Boot: "b", DataCentre: "dc2", Suspicion: model.NoOffset}
	tests := []struct {
		name     string
		service  decl.ServiceState
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
		r.rejection = state.ErrNotFound
		r.isolated = tt.isolated
		r.manager.SetDeclarations(decl.Set{DataCentres: []decl.DataCentre{
			{Name: "dc1", Service: decl.InService}, {Name: "dc2", Service: tt.service},
		}})
		r.manager.WorkerChanged(away)
		r.advance(time.Second)
		got := r.count(func(op record.Op) bool { s, ok := op.(record.WorkerSuspected); return ok && s.Worker == "x" })
		assert.Equal(t, got, tt.want, tt.name)
	}
}

// Guards against leases that stay held after the instance has shut down.
func TestShutdownReleasesLeases(t *testing.T) {
	r := newRig(t)
	r.advance(time.Second)
	r.manager.releaseAll()
	assert.DeepEqual(t, r.released, []model.Token{1})
	assert.Assert(t, !r.manager.Held("w"))
}
