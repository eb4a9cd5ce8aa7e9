package member

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/stream"
)

// Guards against a hash with which keys move between instances that both stay.
func TestRankIsStableWhenAnInstanceLeaves(t *testing.T) {
	instances := []model.InstanceID{"a", "b", "c", "d", "e"}
	owned := make(map[model.InstanceID]int)
	for i := range 1000 {
		key := fmt.Sprint(i)
		rank := Rank(key, instances)
		owner, ok := Owner(key, instances)
		assert.Assert(t, ok && owner == rank[0])
		owned[owner]++
		var without []model.InstanceID
		for _, id := range rank {
			if id != "c" {
				without = append(without, id)
			}
		}
		assert.DeepEqual(t, Rank(key, []model.InstanceID{"e", "d", "b", "a"}), without)
	}
	for id, n := range owned {
		assert.Assert(t, n > 120, "%s owns %d of 1000 keys", id, n)
	}
}

// Guards against a placer that is dead, leaving, not recorded, or in another data centre.
func TestPlacerIsALiveRecordedMember(t *testing.T) {
	s := newTestService(t)
	s.clock.Advance(time.Hour)
	_, ok := s.Placer("north")
	assert.Assert(t, !ok, "this instance is not recorded yet")
	neighbour := report{name: "n2", dc: "north", ago: 1}
	far := report{name: "s1", dc: "south", ago: 1}
	s.members(neighbour, far)
	s.recordReport(neighbour)
	s.recordReport(far)
	got, _ := s.Placer("south")
	assert.Equal(t, got, model.InstanceID("s1"))
	want, _ := Owner(placerDuty+"north", []model.InstanceID{"n1", "n2"})
	got, _ = s.Placer("north")
	assert.Equal(t, got, want)
	s.clock.Advance(2 * second)
	got, _ = s.Placer("north")
	assert.Equal(t, got, model.InstanceID("n1"), "the neighbour is dead")
	_, ok = s.Placer("south")
	assert.Assert(t, !ok)
	s.recordReport(neighbour)
	s.Leave()
	got, _ = s.Placer("north")
	assert.Equal(t, got, model.InstanceID("n2"), "this instance is leaving")
}

// Guards against electing a process that cannot apply records, or one that a newer process has replaced.
func TestElectionNeedsAReadyMemberOfTheRecordedIncarnation(t *testing.T) {
	s := newTestService(t)
	s.clock.Advance(time.Hour)
	s.members(report{name: "n2", dc: "north"})
	status := peer.Status{Sender: peer.Sender{Instance: "n2", Incarnation: 1}, DataCentre: "north", Ready: true}
	live := func(want int) {
		t.Helper()
		s.recordAnswer("n2", s.clock.Now(), peer.HeartbeatAnswer{Status: status})
		assert.Assert(t, is.Len(s.Live(), want))
		s.clock.Advance(second)
	}
	live(2)
	status.Ready = false
	live(1)
	status.Ready, status.Incarnation = true, 2
	live(1)
	s.fake.status.HaltReason = "test"
	s.Connectivity()
	live(0)
}

// Guards against an answer that seems newer than it is after a pause of this process: its age counts from the start of
// the call.
func TestLivenessCountsFromTheStartOfTheCall(t *testing.T) {
	s := newTestService(t)
	s.clock.Advance(time.Hour)
	neighbour := report{name: "n2", dc: "north", ago: 2 * second}
	s.members(neighbour)
	s.recordReport(neighbour)
	assert.Assert(t, is.Len(s.Live(), 1))
}

// Guards against removing members that are alive, or that only this instance cannot reach.
func TestDeadMembers(t *testing.T) {
	type miss struct {
		count int
		since time.Duration
	}
	tests := []struct {
		name   string
		miss   miss
		listed bool
		// list is set if the platform's instance list could be read at all.
		list bool
		// other is the age of the last answer of another member; zero means that it never answered.
		other time.Duration
		want  int
	}{
		{"alive", miss{}, true, true, second, 0},
		{"dead and not on the list", miss{1, 3 * second}, false, true, second, 1},
		{"dead, not on the list and no other member heard", miss{1, 3 * second}, false, true, 0, 1},
		{"dead for 3 s but on the list", miss{4, 3 * second}, true, true, second, 0},
		{"dead for 3 s and the list cannot be read", miss{4, 3 * second}, false, false, second, 0},
		{"dead for 10 s although on the list", miss{5, 10 * second}, true, true, second, 1},
		{"dead for 10 s and no other member heard", miss{5, 10 * second}, true, true, 0, 0},
		{"after a pause of this process", miss{1, time.Minute}, true, true, second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestService(t)
			s.clock.Advance(time.Hour)
			dead := report{name: "n2", dc: "north", ago: time.Hour}
			other := report{name: "n3", dc: "north", ago: test.other}
			if test.miss.count == 0 {
				dead.ago = second
			}
			s.members(dead, other)
			s.recordReport(dead)
			s.recordReport(other)
			if test.list {
				s.listReadAt.Store(s.clock.Now().UnixNano())
				instances := []ports.Instance{
					{ID: "n3", Role: ports.RoleEntry, DataCentre: "north", Address: "n3", Presence: ports.PresenceLive},
				}
				if test.listed {
					instances = append(instances, ports.Instance{
						ID: "n2", Role: ports.RoleEntry, DataCentre: "north", Address: "n2", Presence: ports.PresenceLive,
					})
				}
				s.setListed(instances)
			}
			for range test.miss.count {
				s.recordMiss("n2", s.clock.Now().Add(-test.miss.since))
			}
			if got := s.deadMembers(); len(got) != test.want || (test.want == 1 && got[0].Instance != "n2") {
				t.Fatalf("got %v, want %d members", got, test.want)
			}
		})
	}
}

// Guards against an instance that keeps calling silent peers in another data centre while others there respond.
func TestHeartbeatTargets(t *testing.T) {
	s := newTestService(t)
	s.clock.Advance(time.Hour)
	all := make([]report, 0, 9)
	for i := range 3 {
		all = append(all, report{name: model.InstanceID(fmt.Sprintf("n%d", i+2)), dc: "north"})
	}
	for i := range 6 {
		all = append(all, report{name: model.InstanceID(fmt.Sprintf("s%d", i)), dc: "south"})
	}
	s.members(all...)
	count := func(round int) (north, south int, tried map[model.InstanceID]bool) {
		tried = make(map[model.InstanceID]bool)
		for _, recipient := range s.heartbeatTargets(round, 2) {
			if recipient.instance[0] == 'n' {
				north++
				continue
			}
			south++
			tried[recipient.instance] = true
		}
		return north, south, tried
	}
	seen := make(map[model.InstanceID]bool)
	for round := range 3 {
		north, south, tried := count(round)
		assert.Assert(t, north == 3 && south == 2, "%d and %d", north, south)
		for id := range tried {
			seen[id] = true
		}
	}
	assert.Equal(t, len(seen), 6, "not every silent peer was tried in turn")
	s.recordReport(report{name: "s3", dc: "south", ago: 1})
	s.recordReport(report{name: "s5", dc: "south", ago: 1})
	for round := range 5 {
		_, south, tried := count(round)
		assert.Assert(t, south == 2 && tried["s3"] && tried["s5"], "%v", tried)
	}
}

// Guards against a new instance that finds no peers before it has read the log, and against a table that grows without
// limit.
func TestDiscoveryFromTheListAndFromHeartbeats(t *testing.T) {
	s := newTestService(t)
	s.clock.Advance(time.Hour)
	s.setListed([]ports.Instance{
		{ID: "n1", Role: ports.RoleEntry, DataCentre: "north", Address: "n1", Presence: ports.PresenceLive},
		{ID: "n2", Role: ports.RoleEntry, DataCentre: "north", Address: "n2", Presence: ports.PresenceLive},
		{ID: "w1", Role: ports.RoleWorker, DataCentre: "north", Address: "w1", Presence: ports.PresenceLive},
	})
	assert.Assert(t, is.Len(s.heartbeatTargets(0, 2), 1))
	for i := range 2000 {
		s.recordHeartbeat(peer.Status{
			Sender: peer.Sender{Instance: model.InstanceID(fmt.Sprint(i))}, DataCentre: "north", PeerAddress: "x",
		})
	}
	assert.Equal(t, len(s.heartbeatTargets(0, 2)), s.Table.cfg.PeerLimit)
	s.clock.Advance(time.Minute)
	s.setListed(nil)
	assert.Equal(t, len(s.heartbeatTargets(0, 2)), 0)
}

// Guards against an instance that joins twice, or that continues after a newer incarnation has replaced it.
func TestJoined(t *testing.T) {
	s := newTestService(t)
	joined, err := s.joined()
	assert.Assert(t, err == nil && !joined)
	s.members()
	joined, err = s.joined()
	assert.Assert(t, err == nil && joined)
	s.setMembers(nil, 2)
	joined, err = s.joined()
	assert.Assert(t, err == nil && !joined, "a removed instance must join again")
	s.Table.cfg.Self.Incarnation = 0
	s.members()
	_, err = s.joined()
	assert.ErrorIs(t, err, ErrReplaced)
}

func TestRecordLeft(t *testing.T) {
	s := newTestService(t)
	s.members()
	s.fake.status = stream.Status{LastDirectRead: s.clock.Now()}
	assert.NilError(t, s.RecordLeft(t.Context()))
	assert.DeepEqual(t, s.fake.ops, []record.Op{record.MemberLeft{Instance: "n1", Incarnation: 1}})
	assert.Assert(t, is.Len(s.Live(), 0))
	joined, err := s.joined()
	assert.Assert(t, err == nil && joined, "a leaving instance does not join again")
}
