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

func nodeInfo(name string, dc model.DataCentreID, strength float64) peers.NodeInfo {
	return peers.NodeInfo{Node: name, Address: name, BootID: "1", DataCentre: dc, Strength: strength}
}

// TestCandidates guards against weak candidates while strong nodes exist, against candidates that are all in one data
// centre, and against more candidates than the store lists.
func TestCandidates(t *testing.T) {
	many := make([]peers.NodeInfo, 0, 30)
	for i := range 30 {
		many = append(many, nodeInfo(fmt.Sprintf("n%02d", i), model.DataCentreID(fmt.Sprintf("dc%d", i%3)), 0.4))
	}
	tests := []struct {
		name  string
		self  peers.NodeInfo
		nodes []peers.NodeInfo
		want  []string
	}{
		{"alone", nodeInfo("a", "x", 0.1), nil, []string{"a"}},
		{"equal", nodeInfo("a", "x", 1), []peers.NodeInfo{nodeInfo("b", "x", 1), nodeInfo("c", "y", 0.9)}, []string{"a", "c", "b"}},
		{"weak self", nodeInfo("a", "x", 0.2), []peers.NodeInfo{nodeInfo("b", "x", 0.8), nodeInfo("c", "y", 0.5)}, []string{"b", "c"}},
		{"weak others", nodeInfo("a", "x", 0.8), []peers.NodeInfo{nodeInfo("b", "x", 0.2), nodeInfo("c", "y", 0.2)}, []string{"a"}},
		{"many", many[0], many[1:], []string{"n00", "n01", "n02", "n03", "n04", "n05", "n06", "n07"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			nt := newNodeTable(test.self, nil, now)
			for _, p := range test.nodes {
				nt.report(p, now)
			}
			got := []string{}
			for _, m := range nt.candidates() {
				got = append(got, m.Node)
			}
			assert.DeepEqual(t, got, test.want)
			for _, p := range test.nodes {
				assert.Equal(t, nt.report(p, now).Candidate, slices.Contains(test.want, p.Node), p.Node)
			}
		})
	}
}

// TestSilentNodesAreRemoved guards against calls to nodes that no longer report, and against handing over to a node that
// has only just started to report.
func TestSilentNodesAreRemoved(t *testing.T) {
	begun := time.Now()
	gone := Member{"gone", "gone", "1"}
	nt := newNodeTable(nodeInfo("a", "x", 0.2), []Member{gone, {"a", "a", "1"}}, begun)
	strong := nodeInfo("b", "y", 0.8)
	assert.Equal(t, len(nt.members(begun)), 2)
	for at := time.Duration(0); at < handoverDelay; at += minReportInterval {
		nt.report(strong, begun.Add(at))
		assert.Assert(t, !nt.shouldHandOver(begun.Add(at)))
	}
	now := begun.Add(handoverDelay)
	nt.report(strong, now)
	assert.Assert(t, nt.shouldHandOver(now))
	assert.DeepEqual(t, nt.members(now), []Member{{"a", "a", "1"}, {"b", "b", "1"}})
	late := now.Add(maxMissedReports*minReportInterval + time.Millisecond)
	assert.Assert(t, !nt.shouldHandOver(late))
	assert.DeepEqual(t, nt.members(late), []Member{{"a", "a", "1"}})
}
