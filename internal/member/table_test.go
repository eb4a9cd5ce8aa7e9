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

// Guards against a hash that moves keys between instances that both stay.
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
	r := newRig(t)
	r.clock.Advance(time.Hour)
	_, ok := r.Placer("north")
	assert.Assert(t, !ok, "this instance is not recorded yet")
	neighbour := told{name: "n2", dc: "north", ago: 1}
	far := told{name: "s1", dc: "south", ago: 1}
	r.members(neighbour, far)
	r.tell(neighbour)
	r.tell(far)
	got, _ := r.Placer("south")
	assert.Equal(t, got, model.InstanceID("s1"))
	want, _ := Owner(placerDuty+"north", []model.InstanceID{"n1", "n2"})
	got, _ = r.Placer("north")
	assert.Equal(t, got, want)
	r.clock.Advance(2 * second)
	got, _ = r.Placer("north")
	assert.Equal(t, got, model.InstanceID("n1"), "the neighbour is dead")
	_, ok = r.Placer("south")
	assert.Assert(t, !ok)
	r.tell(neighbour)
	r.Leave()
	got, _ = r.Placer("north")
	assert.Equal(t, got, model.InstanceID("n2"), "this instance leaves")
}

// Guards against a duty that stays with a process that cannot fold, or with one that a newer process has replaced.
func TestDutiesNeedAReadyMemberOfTheRecordedIncarnation(t *testing.T) {
	r := newRig(t)
	r.clock.Advance(time.Hour)
	r.members(told{name: "n2", dc: "north"})
	status := peer.Status{Sender: peer.Sender{Instance: "n2", Incarnation: 1}, DataCentre: "north", Ready: true}
	live := func(want int) {
		t.Helper()
		r.noteAnswer("n2", r.clock.Now(), peer.BeatAnswer{Status: status})
		assert.Assert(t, is.Len(r.Live(), want))
		r.clock.Advance(second)
	}
	live(2)
	status.Ready = false
	live(1)
	status.Ready, status.Incarnation = true, 2
	live(1)
	r.journal.status.HaltReason = "test"
	r.Connectivity()
	live(0)
}

// Guards against a cut of an answer's age by a pause of this process: the answer counts from the start of the call.
func TestLivenessCountsFromTheStartOfTheCall(t *testing.T) {
	r := newRig(t)
	r.clock.Advance(time.Hour)
	neighbour := told{name: "n2", dc: "north", ago: 2 * second}
	r.members(neighbour)
	r.tell(neighbour)
	assert.Assert(t, is.Len(r.Live(), 1))
}

// Guards against the removal of members that live, or that only this instance cannot hear.
func TestGone(t *testing.T) {
	type miss struct {
		count int
		since time.Duration
	}
	tests := []struct {
		name   string
		miss   miss
		listed bool
		// list tells whether the platform's list answered at all.
		list  bool
		other time.Duration
		want  int
	}{
		{"alive", miss{}, true, true, second, 0},
		{"dead and not on the list", miss{1, 3 * second}, false, true, second, 1},
		{"dead, not on the list and nobody else heard", miss{1, 3 * second}, false, true, 0, 1},
		{"dead for 3 s but on the list", miss{4, 3 * second}, true, true, second, 0},
		{"dead for 3 s and the list is out", miss{4, 3 * second}, false, false, second, 0},
		{"dead for 10 s though on the list", miss{5, 10 * second}, true, true, second, 1},
		{"dead for 10 s and nobody else heard", miss{5, 10 * second}, true, true, 0, 0},
		{"after a pause of this process", miss{1, time.Minute}, true, true, second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.clock.Advance(time.Hour)
			dead := told{name: "n2", dc: "north", ago: time.Hour}
			other := told{name: "n3", dc: "north", ago: test.other}
			if test.miss.count == 0 {
				dead.ago = second
			}
			r.members(dead, other)
			r.tell(dead)
			r.tell(other)
			if test.list {
				r.listed.Store(r.clock.Now().UnixNano())
				instances := []ports.Instance{
					{ID: "n3", Role: ports.RoleEntry, DataCentre: "north", Address: "n3", Presence: ports.PresenceLive},
				}
				if test.listed {
					instances = append(instances, ports.Instance{
						ID: "n2", Role: ports.RoleEntry, DataCentre: "north", Address: "n2", Presence: ports.PresenceLive,
					})
				}
				r.setListed(instances)
			}
			for range test.miss.count {
				r.noteMiss("n2", r.clock.Now().Add(-test.miss.since))
			}
			if got := r.gone(); len(got) != test.want || (test.want == 1 && got[0].Instance != "n2") {
				t.Fatalf("got %v, want %d members", got, test.want)
			}
		})
	}
}

// Guards against an instance that keeps asking peers of another data centre that do not answer, while others there do.
func TestTargets(t *testing.T) {
	r := newRig(t)
	r.clock.Advance(time.Hour)
	all := make([]told, 0, 9)
	for i := range 3 {
		all = append(all, told{name: model.InstanceID(fmt.Sprintf("n%d", i+2)), dc: "north"})
	}
	for i := range 6 {
		all = append(all, told{name: model.InstanceID(fmt.Sprintf("s%d", i)), dc: "south"})
	}
	r.members(all...)
	count := func(turn int) (north, south int, tried map[model.InstanceID]bool) {
		tried = make(map[model.InstanceID]bool)
		for _, to := range r.targets(turn, 2) {
			if to.instance[0] == 'n' {
				north++
				continue
			}
			south++
			tried[to.instance] = true
		}
		return north, south, tried
	}
	seen := make(map[model.InstanceID]bool)
	for turn := range 3 {
		north, south, tried := count(turn)
		assert.Assert(t, north == 3 && south == 2, "%d and %d", north, south)
		for id := range tried {
			seen[id] = true
		}
	}
	assert.Equal(t, len(seen), 6, "every silent peer is tried in turn")
	r.tell(told{name: "s3", dc: "south", ago: 1})
	r.tell(told{name: "s5", dc: "south", ago: 1})
	for turn := range 5 {
		_, south, tried := count(turn)
		assert.Assert(t, south == 2 && tried["s3"] && tried["s5"], "%v", tried)
	}
}

// Guards against a new instance that finds no peers before it has read the log, and against unbounded growth.
func TestDiscoveryFromTheListAndFromHeartbeats(t *testing.T) {
	r := newRig(t)
	r.clock.Advance(time.Hour)
	r.setListed([]ports.Instance{
		{ID: "n1", Role: ports.RoleEntry, DataCentre: "north", Address: "n1", Presence: ports.PresenceLive},
		{ID: "n2", Role: ports.RoleEntry, DataCentre: "north", Address: "n2", Presence: ports.PresenceLive},
		{ID: "w1", Role: ports.RoleWorker, DataCentre: "north", Address: "w1", Presence: ports.PresenceLive},
	})
	assert.Assert(t, is.Len(r.targets(0, 2), 1))
	for i := range 2000 {
		r.noteBeat(peer.Status{
			Sender: peer.Sender{Instance: model.InstanceID(fmt.Sprint(i))}, DataCentre: "north", PeerAddress: "x",
		})
	}
	assert.Equal(t, len(r.targets(0, 2)), r.Table.cfg.PeerLimit)
	r.clock.Advance(time.Minute)
	r.setListed(nil)
	assert.Equal(t, len(r.targets(0, 2)), 0)
}

// Guards against an instance that joins twice, or goes on after a newer incarnation has replaced it.
func TestJoined(t *testing.T) {
	r := newRig(t)
	joined, err := r.joined()
	assert.Assert(t, err == nil && !joined)
	r.members()
	joined, err = r.joined()
	assert.Assert(t, err == nil && joined)
	r.setMembers(nil, 2)
	joined, err = r.joined()
	assert.Assert(t, err == nil && !joined, "it was removed and joins again")
	r.Table.cfg.Self.Incarnation = 0
	r.members()
	_, err = r.joined()
	assert.ErrorIs(t, err, ErrReplaced)
}

func TestRecordLeft(t *testing.T) {
	r := newRig(t)
	r.members()
	r.journal.status = stream.Status{LastDirectRead: r.clock.Now()}
	assert.NilError(t, r.RecordLeft(t.Context()))
	assert.DeepEqual(t, r.journal.ops, []record.Op{record.MemberLeft{Instance: "n1", Incarnation: 1}})
	assert.Assert(t, is.Len(r.Live(), 0))
	joined, err := r.joined()
	assert.Assert(t, err == nil && joined, "a leaving instance does not join again")
}
