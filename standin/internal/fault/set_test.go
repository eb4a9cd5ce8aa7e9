package fault

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

var workerA = WorkerLocation{Worker: "w1", DataCentre: "a", Rack: "r1"}

// TestReachability guards against a fault that makes more or fewer connections fail than its kind says.
func TestReachability(t *testing.T) {
	tests := []struct {
		name   string
		fault  Fault
		from   model.DataCentreID
		worker bool
		log    bool
	}{
		{"none", Fault{Kind: ListLag}, "a", true, true},
		{"partition, inside", Fault{Kind: Partition, DataCentre: "a"}, "a", true, false},
		{"partition, outside", Fault{Kind: Partition, DataCentre: "a"}, "b", false, true},
		{"partition of another data centre", Fault{Kind: Partition, DataCentre: "b"}, "b", false, false},
		{"partition, third", Fault{Kind: Partition, DataCentre: "b"}, "c", true, true},
		{"cut off from the platform", Fault{Kind: Partition, DataCentre: "a", Peer: PeerPlatform}, "a", true, false},
		{"cut off from the platform, outside", Fault{Kind: Partition, DataCentre: "a", Peer: PeerPlatform}, "b", true, true},
		{"cut off from one peer", Fault{Kind: Partition, DataCentre: "a", Peer: "b"}, "b", false, true},
		{"cut off from one peer, third", Fault{Kind: Partition, DataCentre: "a", Peer: "b"}, "c", true, true},
		{"tool without a data centre", Fault{Kind: Partition, DataCentre: "a"}, "", true, true},
		{"worker", Fault{Kind: WorkerUnreachable, Worker: "w1"}, "a", false, true},
		{"other worker", Fault{Kind: WorkerUnreachable, Worker: "w2"}, "a", true, true},
		{"rack", Fault{Kind: RackPoweredOff, DataCentre: "a", Rack: "r1"}, "a", false, true},
		{"other rack", Fault{Kind: RackPoweredOff, DataCentre: "a", Rack: "r2"}, "a", true, true},
		{"all racks", Fault{Kind: RackPoweredOff, DataCentre: "a"}, "a", false, true},
		{"long reboot", Fault{Kind: WorkerReboot, Worker: "w1", For: model.Duration(time.Second)}, "a", false, true},
		{"short reboot", Fault{Kind: WorkerReboot, Worker: "w1"}, "a", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSet(clockwork.NewFakeClock(), 1)
			_, err := s.Add(test.fault)
			assert.NilError(t, err)
			assert.Equal(t, s.IsWorkerUnreachable(test.from, workerA), !test.worker)
			assert.Equal(t, s.IsPlatformUnreachable(test.from), !test.log)
			assert.NilError(t, s.Clear(0))
			assert.Assert(t, !s.IsWorkerUnreachable(test.from, workerA) && !s.IsPlatformUnreachable(test.from))
		})
	}
}

// TestExpiry guards against faults that outlast their time or their number of calls.
func TestExpiry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewSet(clock, 1)
	_, err := s.Add(Fault{Kind: LogOutage, For: model.Duration(time.Second)})
	assert.NilError(t, err)
	id, err := s.Add(Fault{Kind: AppendAnswerLost, NextCalls: 2})
	assert.NilError(t, err)
	for _, lost := range []bool{true, true, false} {
		assert.Equal(t, s.DropAppendAnswer(), lost)
	}
	assert.ErrorIs(t, s.Clear(id), ErrUnknownFault)
	clock.Advance(time.Second)
	down, _ := s.LogDown()
	assert.Assert(t, !down)
	assert.Equal(t, len(s.Active()), 0)
}

// TestLimitGracePeriod guards against counting starts as violations that the previous limit still allowed when they were
// decided.
func TestLimitGracePeriod(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewSet(clock, 1)
	limit := func() int {
		l, _ := s.Limit("t", clock.Now())
		return l.Tasks
	}
	for _, tasks := range []int{10, 4} {
		_, err := s.Add(Fault{Kind: TeamLimit, Team: "t", Limit: decl.Limit{Tasks: tasks}})
		assert.NilError(t, err)
		clock.Advance(DefaultGrace - 1)
	}
	assert.Equal(t, limit(), 10)
	clock.Advance(1)
	assert.Equal(t, limit(), 4)
}

// TestInvalidFaults guards against a misspelt or incomplete fault that is accepted and has no effect.
func TestInvalidFaults(t *testing.T) {
	s := NewSet(clockwork.NewFakeClock(), 1)
	for _, f := range []Fault{{}, {Kind: "log-outrage"}, {Kind: WorkerFails}, {Kind: Partition}, {Kind: AppendAnswerLost}, {Kind: TeamLimit}} {
		_, err := s.Add(f)
		assert.ErrorIs(t, err, ErrBadFault, string(f.Kind))
	}
}
