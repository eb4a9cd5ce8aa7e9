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

// fakeJournal holds the status of the stream.
type fakeJournal struct {
	status stream.Status
	ops    []record.Op
}

func (f *fakeJournal) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	f.ops = append(f.ops, ops...)
	return make([]error, len(ops)), nil
}

func (f *fakeJournal) Status() stream.Status           { return f.status }
func (f *fakeJournal) Subscribe() *stream.Subscription { return nil }

// told is what a peer answered to the last heartbeat.
type told struct {
	name model.InstanceID
	dc   model.DataCentreID
	// ago is the age of the answer; zero stands for none ever.
	ago     time.Duration
	log     bool
	applied model.Offset
	// current is the age of the peer's last newest state at its answer; zero stands for never.
	current time.Duration
}

const second = time.Second

// rig is a service of instance n1 in the data centre north, whose peers are told by hand.
type rig struct {
	*Service
	clock   *clockwork.FakeClock
	journal *fakeJournal
}

func newRig(t *testing.T) *rig {
	t.Helper()
	clock := clockwork.NewFakeClock()
	table, err := NewTable(TableConfig{Clock: clock, Self: Self{
		Sender: peer.Sender{Instance: "n1", Incarnation: 1}, DataCentre: "north",
	}})
	assert.NilError(t, err)
	journal := &fakeJournal{}
	service, err := New(Config{Clock: clock, Table: table, Journal: journal, Caller: noCaller{}, Lister: noLister{}})
	assert.NilError(t, err)
	return &rig{Service: service, clock: clock, journal: journal}
}

type noCaller struct{}

func (noCaller) Beat(context.Context, string, peer.Status) (peer.BeatAnswer, error) {
	return peer.BeatAnswer{}, peer.ErrUnreachable
}
func (noCaller) Retain([]string) {}

type noLister struct{}

func (noLister) List(context.Context) ([]ports.Instance, error) { return nil, ports.ErrUnavailable }

func (r *rig) members(members ...told) {
	r.journal.status.Ready = true
	r.Connectivity()
	all := make([]state.Member, 0, len(members)+1)
	all = append(all, state.Member{Instance: "n1", Incarnation: 1, DataCentre: "north"})
	for _, m := range members {
		all = append(all, state.Member{
			Instance: m.name, Incarnation: 1, DataCentre: m.dc, PeerAddress: string(m.name),
		})
	}
	r.take(stream.Update{Offset: 1, Events: []state.Event{state.MembersChanged{Offset: 1, Members: all}}})
}

func (r *rig) tell(t told) {
	if t.ago == 0 {
		return
	}
	status := peer.Status{
		Sender: peer.Sender{Instance: t.name, Incarnation: 1}, DataCentre: t.dc, Applied: t.applied, LogAnswers: t.log,
		CurrentAge: peer.NeverCurrent, Ready: true,
	}
	if t.current != 0 {
		status.CurrentAge = t.current
	}
	r.noteAnswer(t.name, r.clock.Now().Add(-t.ago), peer.BeatAnswer{Status: status})
}

// Guards against a wrong connectivity state, above all against a partition that passes as an outage.
func TestConnectivity(t *testing.T) {
	east := told{name: "e1", dc: "east", ago: second, applied: 9}
	south := told{name: "s1", dc: "south", ago: second, applied: 9}
	tests := []struct {
		name    string
		direct  time.Duration
		relayed time.Duration
		halted  bool
		unready bool
		peers   []told
		out     map[model.DataCentreID]decl.Service
		want    State
	}{
		{name: "log read", direct: second, relayed: time.Hour, peers: []told{east, south}, want: Connected},
		{name: "log read long ago", direct: 2 * second, relayed: time.Hour, peers: []told{{name: "e1", dc: "east"}}, want: CutOff},
		{name: "read through a peer", direct: time.Hour, relayed: second, peers: []told{east, south}, want: Relayed},
		{name: "halted in spite of reads", direct: second, halted: true, peers: []told{east, south}, want: CutOff},
		{name: "nobody has the log", direct: time.Hour, peers: []told{east, south}, want: Outage},
		{name: "no state yet", direct: time.Hour, unready: true, peers: []told{east, south}, want: CutOff},
		{name: "one data centre does not answer", direct: time.Hour, peers: []told{east, {name: "s1", dc: "south"}}, want: CutOff},
		{
			name: "one data centre answered long ago", direct: time.Hour,
			peers: []told{east, {name: "s1", dc: "south", ago: 2 * second, applied: 9}}, want: CutOff,
		},
		{
			name: "one of two instances answers for its data centre", direct: time.Hour,
			peers: []told{east, south, {name: "s2", dc: "south"}}, want: Outage,
		},
		{
			name: "a peer has the log but it does not come through", direct: time.Hour,
			peers: []told{east, {name: "s1", dc: "south", ago: second, log: true, applied: 9}}, want: CutOff,
		},
		{
			name: "a neighbour has the log but it does not come through", direct: time.Hour,
			peers: []told{east, south, {name: "n2", dc: "north", ago: second, log: true, applied: 9}}, want: CutOff,
		},
		{
			name: "a peer has folded more, so the last state is not the one here", direct: time.Hour,
			peers: []told{east, {name: "s1", dc: "south", ago: second, applied: 10}}, want: CutOff,
		},
		{
			name: "a peer that is gone now had folded more", direct: time.Hour,
			peers: []told{east, south, {name: "e2", dc: "east", ago: time.Minute, applied: 10}}, want: CutOff,
		},
		{
			name: "a data centre that is out of service still has members", direct: time.Hour,
			peers: []told{east, {name: "s1", dc: "south"}},
			out:   map[model.DataCentreID]decl.Service{"south": decl.OutOfService}, want: CutOff,
		},
		{
			name: "a lost data centre need not answer", direct: time.Hour,
			peers: []told{east, {name: "s1", dc: "south"}},
			out:   map[model.DataCentreID]decl.Service{"south": decl.Lost}, want: Outage,
		},
		{
			name: "a data centre in service has no members left", direct: time.Hour, peers: []told{east},
			out: map[model.DataCentreID]decl.Service{"south": decl.InService}, want: CutOff,
		},
		{
			name: "a data centre out of service without members", direct: time.Hour, peers: []told{east},
			out: map[model.DataCentreID]decl.Service{"south": decl.OutOfService}, want: Outage,
		},
		{name: "the only instance", direct: time.Hour, want: Outage},
		{
			name: "the only data centre, neighbour silent", direct: time.Hour,
			peers: []told{{name: "n2", dc: "north"}}, want: CutOff,
		},
		{
			name: "the only data centre, neighbour answers", direct: time.Hour,
			peers: []told{{name: "n2", dc: "north", ago: second, applied: 9}}, want: Outage,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.clock.Advance(24 * time.Hour)
			now := r.clock.Now()
			r.journal.status = stream.Status{Applied: 9, Ready: !test.unready, LastDirectRead: now.Add(-test.direct)}
			if test.relayed != 0 {
				r.journal.status.LastRelayedRead = now.Add(-test.relayed)
			}
			if test.halted {
				r.journal.status.HaltReason = "test"
			}
			r.members(test.peers...)
			r.journal.status.Ready = !test.unready
			for _, p := range test.peers {
				r.tell(p)
			}
			var declared []decl.DataCentre
			for dc, service := range test.out {
				declared = append(declared, decl.DataCentre{Name: dc, Service: service})
			}
			r.setDataCentres(declared)
			assert.Equal(t, r.Connectivity().State, test.want)
		})
	}
}

// Guards against duties that a connectivity state does not allow; the columns are those of the design page.
func TestDuties(t *testing.T) {
	type duties struct{ append, pull, keys, start, renew, local bool }
	all := duties{append: true, pull: true, keys: true, start: true, renew: true}
	neighbour := told{name: "n2", dc: "north", ago: second, applied: 9}
	tests := []struct {
		name  string
		fresh time.Duration
		peers []told
		want  duties
	}{
		{"connected", second, []told{neighbour}, all},
		{"connected without neighbours", second, []told{{name: "n2", dc: "north"}}, all},
		{
			"outage", time.Hour,
			[]told{neighbour, {name: "e1", dc: "east", ago: second, applied: 9}},
			duties{keys: true, start: true, renew: true},
		},
		{
			"outage without neighbours", time.Hour,
			[]told{{name: "n2", dc: "north"}, {name: "e1", dc: "east", ago: second, applied: 9}},
			duties{keys: true, start: true},
		},
		{
			"cut off within the grace period", 5*second - 1,
			[]told{neighbour, {name: "e1", dc: "east"}},
			duties{pull: true, keys: true, start: true, renew: true, local: true},
		},
		{
			"cut off after the grace period", 5 * second,
			[]told{neighbour, {name: "e1", dc: "east"}},
			duties{renew: true, local: true},
		},
		{
			"cut off up to the isolation limit", 90*time.Minute + 2*second - 1,
			[]told{neighbour, {name: "e1", dc: "east"}},
			duties{renew: true, local: true},
		},
		{
			"cut off beyond the isolation limit", 90*time.Minute + 2*second,
			[]told{neighbour, {name: "e1", dc: "east"}},
			duties{local: true},
		},
		{
			"cut off without neighbours", 5 * second,
			[]told{{name: "n2", dc: "north"}, {name: "e1", dc: "east"}},
			duties{local: true},
		},
		{
			"cut off, but a neighbour was connected later", 10 * time.Hour,
			[]told{{name: "n2", dc: "north", ago: second, applied: 9, current: 2 * second}, {name: "e1", dc: "east"}},
			duties{pull: true, keys: true, start: true, renew: true, local: true},
		},
		{
			"cut off, and a neighbour with a newer state was connected later", 10 * time.Hour,
			[]told{{name: "n2", dc: "north", ago: second, applied: 10, current: 2 * second}, {name: "e1", dc: "east"}},
			duties{local: true},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.clock.Advance(24 * time.Hour)
			r.journal.status = stream.Status{Applied: 9, Ready: true, LastDirectRead: r.clock.Now().Add(-test.fresh)}
			r.members(test.peers...)
			for _, p := range test.peers {
				r.tell(p)
			}
			got := duties{
				r.MayAppend(), r.MayPull(), r.MayCheckKeys(), r.MayStart(), r.MayRenew(), r.LocalOnly(),
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// Guards against a grace period that starts again each time the state flaps between outage and cut-off, while the
// state itself grows older.
func TestGraceDoesNotRestartWhenTheStateFlaps(t *testing.T) {
	r := newRig(t)
	r.clock.Advance(time.Hour)
	east := told{name: "e1", dc: "east"}
	r.members(east)
	r.journal.status = stream.Status{Applied: 9, Ready: true, LastDirectRead: r.clock.Now()}
	assert.Equal(t, r.Connectivity().State, Connected)
	r.clock.Advance(4 * second)
	assert.Equal(t, r.Connectivity(), Connectivity{State: CutOff, Since: r.clock.Now().Add(-2 * second)})
	assert.Assert(t, r.MayStart())

	// A heartbeat from the peer is no answer, so it proves nothing about the log.
	r.noteBeat(peer.Status{Sender: peer.Sender{Instance: "e1", Incarnation: 1}, DataCentre: "east", Applied: 9})
	assert.Equal(t, r.Connectivity().State, CutOff)
	r.clock.Advance(second)
	assert.Assert(t, !r.MayStart())

	east.ago, east.applied = 1900*time.Millisecond, 9
	r.tell(east)
	assert.Equal(t, r.Connectivity().State, Outage)
	r.clock.Advance(second)
	assert.Equal(t, r.Connectivity().State, CutOff)
	assert.Assert(t, r.MayStart())
	r.clock.Advance(2100 * time.Millisecond)
	assert.Assert(t, !r.MayStart(), "the outage was proved 5 s ago")
}

// Guards against a break in the reads, as by a pause of the process, that goes unnoticed because nobody asked meanwhile.
func TestConnectedSinceTheLastBreak(t *testing.T) {
	r := newRig(t)
	r.clock.Advance(time.Hour)
	r.journal.status = stream.Status{Applied: 9, Ready: true, LastDirectRead: r.clock.Now()}
	began := r.Connectivity().Since
	r.clock.Advance(time.Minute)
	r.journal.status.LastDirectRead, r.journal.status.FreshSince = r.clock.Now(), r.clock.Now()
	assert.Equal(t, r.Connectivity(), Connectivity{State: Connected, Since: began.Add(time.Minute)})
}

// Guards against an outage that seems proved while the members are not known yet, or those of a restored state are not.
func TestOutageNeedsTheMembersOfTheFold(t *testing.T) {
	r := newRig(t)
	r.journal.status = stream.Status{Applied: 9, Restored: model.NoOffset, Ready: true}
	assert.Equal(t, r.Connectivity().State, CutOff)
	r.members()
	assert.Equal(t, r.Connectivity().State, Outage)
	r.journal.status.Restored = 9
	assert.Equal(t, r.Connectivity().State, CutOff)
	r.take(stream.Update{Offset: 9})
	assert.Equal(t, r.Connectivity().State, Outage)
}

// Guards against a partition that passes as an outage because the instances behind it were recorded as gone: the list
// still shows them, they live and join again, and changes can be made through them.
func TestOutageNeedsListedDataCentres(t *testing.T) {
	r := newRig(t)
	r.members()
	r.journal.status = stream.Status{Applied: 9, Ready: true, Restored: model.NoOffset}
	assert.Equal(t, r.Connectivity().State, Outage)
	r.setListed([]ports.Instance{
		{ID: "s1", Role: ports.RoleEntry, DataCentre: "south", Address: "s1", Presence: ports.PresenceLive},
	})
	assert.Equal(t, r.Connectivity().State, CutOff)
	r.setDataCentres([]decl.DataCentre{{Name: "south", Service: decl.Lost}})
	assert.Equal(t, r.Connectivity().State, Outage)
	r.setDataCentres(nil)
	r.setListed(nil)
	assert.Equal(t, r.Connectivity().State, Outage)
}

// Guards against an instance that never had the newest state and takes up duties on an old one.
func TestInstanceThatWasNeverCurrentHasNoGrace(t *testing.T) {
	r := newRig(t)
	r.members(told{name: "e1", dc: "east"})
	r.journal.status = stream.Status{Applied: 9, Ready: true}
	assert.Assert(t, !r.MayStart() && !r.MayRenew() && !r.MayCheckKeys() && !r.MayPull())
}
