package once

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/model"
)

var errUnreachable = errors.New("unreachable")

// testCluster runs several members in one process; calls to members that crashed fail.
type testCluster struct {
	clock       *clockwork.FakeClock
	alive       map[Member]*Service
	memberships []Membership
	// applied is the number of memberships that each member has applied.
	applied map[Member]int
	// dropAnswers loses the answers to claims after the claims took effect.
	dropAnswers bool
}

func newTestCluster() *testCluster {
	return &testCluster{
		clock: clockwork.NewFakeClock(), alive: make(map[Member]*Service), applied: make(map[Member]int),
	}
}

func (f *testCluster) Claim(_ context.Context, to Member, req ClaimRequest) (Status, error) {
	s, ok := f.alive[to]
	if !ok {
		return "", errUnreachable
	}
	status := s.Decide(req)
	if f.dropAnswers {
		return "", errUnreachable
	}
	return status, nil
}

func (f *testCluster) Settle(_ context.Context, to Member, req SettleRequest) error {
	s, ok := f.alive[to]
	if !ok {
		return errUnreachable
	}
	s.Finish(req)
	return nil
}

func (f *testCluster) Handoff(_ context.Context, from, self Member, offset model.Offset) (Handoff, error) {
	s, ok := f.alive[from]
	if !ok {
		return Handoff{}, errUnreachable
	}
	return s.Handoff(self, offset)
}

// recordMembership appends a membership to the simulated log.
func (f *testCluster) recordMembership(members []Member) {
	f.memberships = append(f.memberships, Membership{Offset: model.Offset(len(f.memberships)), Members: members})
}

func (f *testCluster) recordedMembers() []Member {
	if len(f.memberships) == 0 {
		return nil
	}
	return f.memberships[len(f.memberships)-1].Members
}

func (f *testCluster) join(name string, incarnation model.Incarnation) Member {
	m := Member{Instance: model.InstanceID(name), Incarnation: incarnation}
	s, err := New(Config{Self: m, Peers: f, Clock: f.clock})
	if err != nil {
		panic(err)
	}
	f.alive[m] = s
	f.applied[m] = len(f.memberships)
	var members []Member
	for _, member := range f.recordedMembers() {
		if member.Instance != m.Instance {
			members = append(members, member)
		}
	}
	f.recordMembership(append(members, m))
	return m
}

func (f *testCluster) leave(m Member) {
	var rest []Member
	for _, member := range f.recordedMembers() {
		if member != m {
			rest = append(rest, member)
		}
	}
	f.recordMembership(rest)
}

// catchUp applies all recorded memberships that the member has not applied yet.
func (f *testCluster) catchUp(m Member) {
	for f.applied[m] < len(f.memberships) {
		n := f.applied[m]
		f.alive[m].ApplyMembership(f.memberships[n], n == 0)
		f.applied[m]++
	}
}

func (f *testCluster) collectHandoffs(m Member) {
	f.alive[m].CollectHandoffs(context.Background())
}

func (f *testCluster) liveMembers() []Member {
	var out []Member
	for _, m := range f.recordedMembers() {
		if _, ok := f.alive[m]; ok {
			out = append(out, m)
		}
	}
	return out
}

// TestAtMostOnceUnderMembershipChanges guards against granting a request ID twice while members join, crash and leave,
// answers are lost, and members lag behind the log.
func TestAtMostOnceUnderMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestCluster()
		next := model.Incarnation(1)
		first := f.join("a", next)
		f.catchUp(first)
		granted := make(map[string]int)
		firstClaimed := make(map[string]time.Time)
		live := func(t *rapid.T) Member { return rapid.SampledFrom(f.liveMembers()).Draw(t, "member") }
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				if len(f.alive) >= 5 {
					t.Skip("enough members")
				}
				next++
				m := f.join(fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "name")), next)
				f.catchUp(m)
			},
			"crash": func(t *rapid.T) {
				if len(f.liveMembers()) < 2 {
					t.Skip("last member")
				}
				m := live(t)
				delete(f.alive, m)
				f.leave(m)
			},
			"read": func(t *rapid.T) { f.catchUp(live(t)) },
			"collect": func(t *rapid.T) {
				f.collectHandoffs(live(t))
			},
			"wait": func(t *rapid.T) {
				f.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
				for _, m := range f.liveMembers() {
					f.catchUp(m) // a member that lags behind the log stops deciding after freshnessMargin
					f.alive[m].table.expire(f.clock.Now())
				}
			},
			"claim": func(t *rapid.T) {
				m := live(t)
				id := fmt.Sprintf("id-%d", rapid.IntRange(0, 9).Draw(t, "id"))
				if at, ok := firstClaimed[id]; ok && f.clock.Since(at) > DefaultRetention {
					t.Skip("callers do not retry an ID after its retention time")
				}
				if _, ok := firstClaimed[id]; !ok {
					firstClaimed[id] = f.clock.Now()
				}
				f.dropAnswers = rapid.Bool().Draw(t, "answer lost")
				claim, err := f.claimFrom(m, id)
				f.dropAnswers = false
				if err != nil {
					return
				}
				granted[id]++
				if granted[id] > 1 {
					t.Fatalf("%s granted %d times", id, granted[id])
				}
				if rapid.Bool().Draw(t, "not run") {
					claim.Settle(context.Background(), false, false)
					granted[id]--
					return
				}
				claim.Settle(context.Background(), true, rapid.Bool().Draw(t, "answered"))
			},
		})
	})
}

func (f *testCluster) claimFrom(m Member, id string) (*Claim, error) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no retry delays, because the fake clock does not advance by itself
	return f.alive[m].Claim(ctx, id)
}

// TestIssuedIDs guards against granting a claim for an issued ID twice, after its validity, or by another incarnation.
func TestIssuedIDs(t *testing.T) {
	f := newTestCluster()
	a, b := f.join("a", 1), f.join("b-with-dash", 2)
	f.catchUp(a)
	f.catchUp(b)
	id := f.alive[b].Issue()
	expired := f.alive[b].Issue()
	orphan := f.alive[b].Issue()
	forged := strings.Replace(expired, "aw1-2-", "aw1-9-", 1)

	claim, err := f.claimFrom(a, id)
	assert.NilError(t, err)
	_, err = f.claimFrom(b, id)
	assert.ErrorIs(t, err, ErrRunning)
	claim.Settle(context.Background(), true, true)
	_, err = f.claimFrom(a, id)
	assert.ErrorIs(t, err, ErrAnswered)
	_, err = f.claimFrom(a, forged)
	assert.ErrorIs(t, err, ErrUnknownOutcome)

	f.clock.Advance(DefaultValidity)
	f.alive[b].table.expire(f.clock.Now())
	for _, late := range []string{expired, id} {
		_, err = f.claimFrom(a, late)
		assert.ErrorIs(t, err, ErrUnknownOutcome)
	}

	delete(f.alive, b)
	f.leave(b)
	again := f.join("b-with-dash", 3)
	f.catchUp(a)
	f.catchUp(again)
	_, err = f.claimFrom(a, orphan)
	assert.ErrorIs(t, err, ErrUnknownOutcome)
}

// TestCrashedOwnerIsUnknown guards against a wrong status for an ID whose owner crashed after granting a claim for it.
func TestCrashedOwnerIsUnknown(t *testing.T) {
	f := newTestCluster()
	a, b := f.join("a", 1), f.join("b", 2)
	f.catchUp(a)
	f.catchUp(b)
	f.collectHandoffs(a)
	f.collectHandoffs(b)
	id := idOwnedBy(t, f.alive[a].history.current(), b)
	_, err := f.claimFrom(a, id)
	assert.NilError(t, err)

	delete(f.alive, b)
	_, err = f.claimFrom(a, id)
	assert.ErrorIs(t, err, ErrUnknownOutcome)
	f.leave(b)
	f.catchUp(a)
	_, err = f.claimFrom(a, id)
	assert.ErrorIs(t, err, ErrUnknownOutcome)
	f.clock.Advance(DefaultRetention + freshnessMargin)
	_, err = f.claimFrom(a, idOwnedBy(t, f.memberships[1], b))
	assert.NilError(t, err)
}

// TestTableIsBounded guards against unbounded memory use. A full table answers that the request did not run, which is
// true.
func TestTableIsBounded(t *testing.T) {
	self := Member{Instance: "a", Incarnation: 1}
	s, err := New(Config{Self: self, Peers: newTestCluster(), Capacity: 1})
	assert.NilError(t, err)
	s.ApplyMembership(Membership{Offset: 0, Members: []Member{self}}, true)
	_, err = s.Claim(context.Background(), "x")
	assert.NilError(t, err)
	_, err = s.Claim(context.Background(), "y")
	assert.ErrorIs(t, err, ErrRefused)
}

// idOwnedBy returns a request ID that the member owns.
func idOwnedBy(t *testing.T, m Membership, owner Member) string {
	t.Helper()
	for i := range 1000 {
		id := fmt.Sprintf("own-%d", i)
		if got, _ := m.Owner(id); got == owner {
			return id
		}
	}
	t.Fatal("none of 1000 IDs is owned by the member")
	return ""
}
