package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peers"
)

func presence(name string, dc model.DataCentreID, strength float64) peers.NodeInfo {
	return peers.NodeInfo{Node: name, Address: name, BootID: "1", DataCentre: dc, Strength: strength}
}

// TestCandidates guards against weak nodes that may own jobs while strong ones are there, against candidates that all
// share a data centre, and against more candidates than the store lists.
func TestCandidates(t *testing.T) {
	many := make([]peers.NodeInfo, 0, 30)
	for i := range 30 {
		many = append(many, presence(fmt.Sprintf("n%02d", i), model.DataCentreID(fmt.Sprintf("dc%d", i%3)), 0.4))
	}
	tests := []struct {
		name  string
		self  peers.NodeInfo
		nodes []peers.NodeInfo
		want  []string
	}{
		{"alone", presence("a", "x", 0.1), nil, []string{"a"}},
		{"equal", presence("a", "x", 1), []peers.NodeInfo{presence("b", "x", 1), presence("c", "y", 0.9)}, []string{"a", "c", "b"}},
		{"weak self", presence("a", "x", 0.2), []peers.NodeInfo{presence("b", "x", 0.8), presence("c", "y", 0.5)}, []string{"b", "c"}},
		{"weak others", presence("a", "x", 0.8), []peers.NodeInfo{presence("b", "x", 0.2), presence("c", "y", 0.2)}, []string{"a"}},
		{"many", many[0], many[1:], []string{"n00", "n01", "n02", "n03", "n04", "n05", "n06", "n07"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			r := newRoster(test.self, nil, now)
			for _, p := range test.nodes {
				r.report(p, now)
			}
			got := []string{}
			for _, m := range r.candidates() {
				got = append(got, m.Node)
			}
			assert.DeepEqual(t, got, test.want)
			for _, p := range test.nodes {
				assert.Equal(t, r.report(p, now).Candidate, slices.Contains(test.want, p.Node), p.Node)
			}
		})
	}
}

// TestRosterExpires guards against calls that go to nodes that no longer report, and against handing over to one that
// has only just come.
func TestRosterExpires(t *testing.T) {
	begun := time.Now()
	gone := Member{"gone", "gone", "1"}
	r := newRoster(presence("a", "x", 0.2), []Member{gone, {"a", "a", "1"}}, begun)
	strong := presence("b", "y", 0.8)
	assert.Equal(t, len(r.members(begun)), 2)
	for at := time.Duration(0); at < handOverAfter; at += reportEvery {
		r.report(strong, begun.Add(at))
		assert.Assert(t, !r.outranked(begun.Add(at)))
	}
	now := begun.Add(handOverAfter)
	r.report(strong, now)
	assert.Assert(t, r.outranked(now))
	assert.DeepEqual(t, r.members(now), []Member{{"a", "a", "1"}, {"b", "b", "1"}})
	late := now.Add(missedReports*reportEvery + time.Millisecond)
	assert.Assert(t, !r.outranked(late))
	assert.DeepEqual(t, r.members(late), []Member{{"a", "a", "1"}})
}
