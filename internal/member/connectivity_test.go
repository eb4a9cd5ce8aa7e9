package member

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

// fakeStream returns a fixed status and records the submitted operations.
type fakeStream struct {
	status stream.Status
	ops    []record.Op
}

func (f *fakeStream) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	f.ops = append(f.ops, ops...)
	return make([]error, len(ops)), nil
}

func (f *fakeStream) Status() stream.Status           { return f.status }
func (f *fakeStream) Subscribe() *stream.Subscription { return nil }

// report describes a peer and its answer to the last heartbeat.
type report struct {
	name model.InstanceID
	dc   model.DataCentreID
	// ago is the age of the answer; zero means that the peer never answered.
	ago     time.Duration
	log     bool
	applied model.Offset
	// currentAge is the age, at the time of the answer, of the peer's last up-to-date state; zero means that it never
	// had one.
	currentAge time.Duration
}

const second = time.Second

// testService is the service of instance n1 in the data centre north, without a network: tests report the answers of
// its peers.
type testService struct {
	*Service
	clock *clockwork.FakeClock
	fake  *fakeStream
}

func newTestService(t *testing.T) *testService {
	t.Helper()
	clock := clockwork.NewFakeClock()
	table, err := NewTable(TableConfig{Clock: clock, Self: Self{
		Sender: peer.Sender{Instance: "n1", Incarnation: 1}, DataCentre: "north",
	}})
	assert.NilError(t, err)
	fake := &fakeStream{}
	service, err := New(Config{Clock: clock, Table: table, Stream: fake, HeartbeatClient: noClient{}, Lister: noLister{}})
	assert.NilError(t, err)
	return &testService{Service: service, clock: clock, fake: fake}
}

type noClient struct{}

func (noClient) Heartbeat(context.Context, string, peer.Status) (peer.HeartbeatAnswer, error) {
	return peer.HeartbeatAnswer{}, peer.ErrUnreachable
}
func (noClient) Retain([]string) {}

type noLister struct{}

func (noLister) List(context.Context) ([]ports.Instance, error) { return nil, ports.ErrUnavailable }

// members records n1 and the given peers as the members.
func (s *testService) members(members ...report) {
	s.fake.status.Ready = true
	s.Connectivity()
	all := make([]state.Member, 0, len(members)+1)
	all = append(all, state.Member{Instance: "n1", Incarnation: 1, DataCentre: "north"})
	for _, m := range members {
		all = append(all, state.Member{
			Instance: m.name, Incarnation: 1, DataCentre: m.dc, PeerAddress: string(m.name),
		})
	}
	s.applyUpdate(stream.Update{Offset: 1, Events: []state.Event{state.MembersChanged{Offset: 1, Members: all}}})
}

// recordReport records the peer's answer to a heartbeat, unless it never answered.
func (s *testService) recordReport(t report) {
	if t.ago == 0 {
		return
	}
	status := peer.Status{
		Sender: peer.Sender{Instance: t.name, Incarnation: 1}, DataCentre: t.dc, Applied: t.applied, LogAnswers: t.log,
		CurrentAge: peer.NeverCurrent, Ready: true,
	}
	if t.currentAge != 0 {
		status.CurrentAge = t.currentAge
	}
	s.recordAnswer(t.name, s.clock.Now().Add(-t.ago), peer.HeartbeatAnswer{Status: status})
}

// Guards against a wrong connectivity state, in particular against a partition that is mistaken for an outage.
func TestConnectivity(t *testing.T) {
	east := report{name: "e1", dc: "east", ago: second, applied: 9}
	south := report{name: "s1", dc: "south", ago: second, applied: 9}
	tests := []struct {
		name    string
		direct  time.Duration
		relayed time.Duration
		halted  bool
		unready bool
		peers   []report
		out     map[model.DataCentreID]decl.ServiceState
		want    State
	}{
		{name: "log read", direct: second, relayed: time.Hour, peers: []report{east, south}, want: Connected},
		{name: "stale read", direct: 2 * second, relayed: time.Hour, peers: []report{{name: "e1", dc: "east"}}, want: CutOff},
		{name: "read through a peer", direct: time.Hour, relayed: second, peers: []report{east, south}, want: Relayed},
		{name: "halted although the log is read", direct: second, halted: true, peers: []report{east, south}, want: CutOff},
		{name: "no instance reads the log", direct: time.Hour, peers: []report{east, south}, want: Outage},
		{name: "no state yet", direct: time.Hour, unready: true, peers: []report{east, south}, want: CutOff},
		{name: "one data centre is silent", direct: time.Hour, peers: []report{east, {name: "s1", dc: "south"}}, want: CutOff},
		{
			name: "one data centre answered long ago", direct: time.Hour,
			peers: []report{east, {name: "s1", dc: "south", ago: 2 * second, applied: 9}}, want: CutOff,
		},
		{
			name: "one of two instances answers for its data centre", direct: time.Hour,
			peers: []report{east, south, {name: "s2", dc: "south"}}, want: Outage,
		},
		{
			name: "a peer reads the log but this instance cannot read it through the peer", direct: time.Hour,
			peers: []report{east, {name: "s1", dc: "south", ago: second, log: true, applied: 9}}, want: CutOff,
		},
		{
			name: "a neighbour reads the log but this instance cannot read it through the neighbour", direct: time.Hour,
			peers: []report{east, south, {name: "n2", dc: "north", ago: second, log: true, applied: 9}}, want: CutOff,
		},
		{
			name: "a peer has applied more, so this instance lacks the last state", direct: time.Hour,
			peers: []report{east, {name: "s1", dc: "south", ago: second, applied: 10}}, want: CutOff,
		},
		{
			name: "a peer that is now silent had applied more", direct: time.Hour,
			peers: []report{east, south, {name: "e2", dc: "east", ago: time.Minute, applied: 10}}, want: CutOff,
		},
		{
			name: "a data centre that is out of service still has members", direct: time.Hour,
			peers: []report{east, {name: "s1", dc: "south"}},
			out:   map[model.DataCentreID]decl.ServiceState{"south": decl.OutOfService}, want: CutOff,
		},
		{
			name: "a lost data centre need not answer", direct: time.Hour,
			peers: []report{east, {name: "s1", dc: "south"}},
			out:   map[model.DataCentreID]decl.ServiceState{"south": decl.Lost}, want: Outage,
		},
		{
			name: "a data centre in service has no members left", direct: time.Hour, peers: []report{east},
			out: map[model.DataCentreID]decl.ServiceState{"south": decl.InService}, want: CutOff,
		},
		{
			name: "a data centre out of service without members", direct: time.Hour, peers: []report{east},
			out: map[model.DataCentreID]decl.ServiceState{"south": decl.OutOfService}, want: Outage,
		},
		{name: "the only instance", direct: time.Hour, want: Outage},
		{
			name: "the only data centre, neighbour silent", direct: time.Hour,
			peers: []report{{name: "n2", dc: "north"}}, want: CutOff,
		},
		{
			name: "the only data centre, neighbour answers", direct: time.Hour,
			peers: []report{{name: "n2", dc: "north", ago: second, applied: 9}}, want: Outage,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestService(t)
			s.clock.Advance(24 * time.Hour)
			now := s.clock.Now()
			s.fake.status = stream.Status{Applied: 9, Ready: !test.unready, LastDirectRead: now.Add(-test.direct)}
			if test.relayed != 0 {
				s.fake.status.LastRelayedRead = now.Add(-test.relayed)
			}
			if test.halted {
				s.fake.status.HaltReason = "test"
			}
			s.members(test.peers...)
			s.fake.status.Ready = !test.unready
			for _, p := range test.peers {
				s.recordReport(p)
			}
			var declared []decl.DataCentre
			for dc, service := range test.out {
				declared = append(declared, decl.DataCentre{Name: dc, Service: service})
			}
			s.setDataCentres(declared)
			assert.Equal(t, s.Connectivity().State, test.want)
		})
	}
}

// Guards against work that a connectivity state does not allow; the columns are those of the design page.
func TestPermissions(t *testing.T) {
	type permissions struct{ append, pull, keys, start, renew, local bool }
	all := permissions{append: true, pull: true, keys: true, start: true, renew: true}
	neighbour := report{name: "n2", dc: "north", ago: second, applied: 9}
	tests := []struct {
		name  string
		fresh time.Duration
		peers []report
		want  permissions
	}{
		{"connected", second, []report{neighbour}, all},
		{"connected without neighbours", second, []report{{name: "n2", dc: "north"}}, all},
		{
			"outage", time.Hour,
			[]report{neighbour, {name: "e1", dc: "east", ago: second, applied: 9}},
			permissions{keys: true, start: true, renew: true},
		},
		{
			"outage without neighbours", time.Hour,
			[]report{{name: "n2", dc: "north"}, {name: "e1", dc: "east", ago: second, applied: 9}},
			permissions{keys: true, start: true},
		},
		{
			"cut off within the grace period", 5*second - 1,
			[]report{neighbour, {name: "e1", dc: "east"}},
			permissions{pull: true, keys: true, start: true, renew: true, local: true},
		},
		{
			"cut off after the grace period", 5 * second,
			[]report{neighbour, {name: "e1", dc: "east"}},
			permissions{renew: true, local: true},
		},
		{
			"cut off up to the isolation limit", 90*time.Minute + 2*second - 1,
			[]report{neighbour, {name: "e1", dc: "east"}},
			permissions{renew: true, local: true},
		},
		{
			"cut off beyond the isolation limit", 90*time.Minute + 2*second,
			[]report{neighbour, {name: "e1", dc: "east"}},
			permissions{local: true},
		},
		{
			"cut off without neighbours", 5 * second,
			[]report{{name: "n2", dc: "north"}, {name: "e1", dc: "east"}},
			permissions{local: true},
		},
		{
			"cut off, but a neighbour was connected later", 10 * time.Hour,
			[]report{{name: "n2", dc: "north", ago: second, applied: 9, currentAge: 2 * second}, {name: "e1", dc: "east"}},
			permissions{pull: true, keys: true, start: true, renew: true, local: true},
		},
		{
			"cut off, and a neighbour with a newer state was connected later", 10 * time.Hour,
			[]report{{name: "n2", dc: "north", ago: second, applied: 10, currentAge: 2 * second}, {name: "e1", dc: "east"}},
			permissions{local: true},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestService(t)
			s.clock.Advance(24 * time.Hour)
			s.fake.status = stream.Status{Applied: 9, Ready: true, LastDirectRead: s.clock.Now().Add(-test.fresh)}
			s.members(test.peers...)
			for _, p := range test.peers {
				s.recordReport(p)
			}
			got := permissions{
				s.MayAppend(), s.MayPull(), s.MayCheckKeys(), s.MayStart(), s.MayRenew(), s.LocalOnly(),
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// Guards against a grace period that restarts whenever the state alternates between outage and cut-off, while the state
// itself becomes older.
func TestGraceDoesNotRestartWhenTheStateFlaps(t *testing.T) {
	s := newTestService(t)
	s.clock.Advance(time.Hour)
	east := report{name: "e1", dc: "east"}
	s.members(east)
	s.fake.status = stream.Status{Applied: 9, Ready: true, LastDirectRead: s.clock.Now()}
	assert.Equal(t, s.Connectivity().State, Connected)
	s.clock.Advance(4 * second)
	assert.Equal(t, s.Connectivity(), Connectivity{State: CutOff, Since: s.clock.Now().Add(-2 * second)})
	assert.Assert(t, s.MayStart())

	// A heartbeat sent by the peer is not an answer, so it proves nothing about the log.
	s.recordHeartbeat(peer.Status{Sender: peer.Sender{Instance: "e1", Incarnation: 1}, DataCentre: "east", Applied: 9})
	assert.Equal(t, s.Connectivity().State, CutOff)
	s.clock.Advance(second)
	assert.Assert(t, !s.MayStart())

	east.ago, east.applied = 1900*time.Millisecond, 9
	s.recordReport(east)
	assert.Equal(t, s.Connectivity().State, Outage)
	s.clock.Advance(second)
	assert.Equal(t, s.Connectivity().State, CutOff)
	assert.Assert(t, s.MayStart())
	s.clock.Advance(2100 * time.Millisecond)
	assert.Assert(t, !s.MayStart(), "the outage was last proved 5 s ago, so the grace period has ended")
}

// Guards against an interruption of the reads, for example by a pause of the process, that goes unnoticed because the
// connectivity state was not evaluated meanwhile.
func TestConnectedSinceTheLastInterruption(t *testing.T) {
	s := newTestService(t)
	s.clock.Advance(time.Hour)
	s.fake.status = stream.Status{Applied: 9, Ready: true, LastDirectRead: s.clock.Now()}
	began := s.Connectivity().Since
	s.clock.Advance(time.Minute)
	s.fake.status.LastDirectRead, s.fake.status.FreshSince = s.clock.Now(), s.clock.Now()
	assert.Equal(t, s.Connectivity(), Connectivity{State: Connected, Since: began.Add(time.Minute)})
}

// Guards against an outage that seems proved because the members are not known yet, or because those in a restored
// state have not been applied yet.
func TestOutageNeedsTheMembersOfTheState(t *testing.T) {
	s := newTestService(t)
	s.fake.status = stream.Status{Applied: 9, Restored: model.NoOffset, Ready: true}
	assert.Equal(t, s.Connectivity().State, CutOff)
	s.members()
	assert.Equal(t, s.Connectivity().State, Outage)
	s.fake.status.Restored = 9
	assert.Equal(t, s.Connectivity().State, CutOff)
	s.applyUpdate(stream.Update{Offset: 9})
	assert.Equal(t, s.Connectivity().State, Outage)
}

// Guards against mistaking a partition for an outage because the instances on the other side were recorded as left.
// They are alive and still on the list, they join again, and changes can be made through them.
func TestOutageNeedsListedDataCentres(t *testing.T) {
	s := newTestService(t)
	s.members()
	s.fake.status = stream.Status{Applied: 9, Ready: true, Restored: model.NoOffset}
	assert.Equal(t, s.Connectivity().State, Outage)
	s.setListed([]ports.Instance{
		{ID: "s1", Role: ports.RoleEntry, DataCentre: "south", Address: "s1", Presence: ports.PresenceLive},
	})
	assert.Equal(t, s.Connectivity().State, CutOff)
	s.setDataCentres([]decl.DataCentre{{Name: "south", Service: decl.Lost}})
	assert.Equal(t, s.Connectivity().State, Outage)
	s.setDataCentres(nil)
	s.setListed(nil)
	assert.Equal(t, s.Connectivity().State, Outage)
}

// Guards against an instance that works with an old state although it never had the newest one.
func TestInstanceThatWasNeverCurrentHasNoGrace(t *testing.T) {
	s := newTestService(t)
	s.members(report{name: "e1", dc: "east"})
	s.fake.status = stream.Status{Applied: 9, Ready: true}
	assert.Assert(t, !s.MayStart() && !s.MayRenew() && !s.MayCheckKeys() && !s.MayPull())
}
