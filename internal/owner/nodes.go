package owner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peers"
)

const (
	// minReportInterval is the minimum interval between a node's reports to the owner; three reports fit into memberTTL.
	minReportInterval = 400 * time.Millisecond
	// reportIntervalPerNode times the number of nodes is the report interval of large deployments, so that an owner gets at
	// most 100 reports per second.
	reportIntervalPerNode = 10 * time.Millisecond
	// maxMissedReports is how many reports in a row a node may miss before it counts as gone.
	maxMissedReports = 3
	// maxCandidates bounds the nodes that may become owner. The store distributes the partitions of a topic over the
	// members of a group and doesn't list members without a partition; topics have many more partitions than this.
	maxCandidates = 8
	// minStrengthRatio is the fraction of the strongest node's strength below which a node doesn't own jobs while others
	// can.
	minStrengthRatio = 0.5
	// handoverDelay is how long a much stronger node must have reported before a weak owner hands over.
	handoverDelay = 2 * time.Second
)

// nodeTable holds the nodes that report to the owner and chooses the candidates among them.
type nodeTable struct {
	self peers.NodeInfo

	mu    sync.Mutex
	nodes map[Member]*nodeRecord
}

// nodeRecord is what the owner knows of another node.
type nodeRecord struct {
	peers.NodeInfo
	// reported tells whether the node itself has reported; if not, it was a member of the group when the ownership began.
	reported bool
	since    time.Time
	last     time.Time
}

func newNodeTable(self peers.NodeInfo, members []Member, now time.Time) *nodeTable {
	nt := &nodeTable{self: self, nodes: make(map[Member]*nodeRecord)}
	for _, m := range members {
		if m != memberOf(self) {
			nt.nodes[m] = &nodeRecord{
				NodeInfo: peers.NodeInfo{Node: m.Node, Address: m.Address, BootID: m.BootID}, since: now, last: now,
			}
		}
	}
	return nt
}

func memberOf(p peers.NodeInfo) Member {
	return Member{Node: p.Node, Address: p.Address, BootID: p.BootID}
}

// report records that a node is alive and returns the answer to its report.
func (nt *nodeTable) report(info peers.NodeInfo, now time.Time) peers.ReportReply {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	nt.expire(now)
	known := nt.nodes[memberOf(info)]
	if known == nil || !known.reported {
		known = &nodeRecord{reported: true, since: now}
		nt.nodes[memberOf(info)] = known
	}
	known.NodeInfo, known.last = info, now
	return peers.ReportReply{
		Candidate: slices.Contains(nt.candidates(), memberOf(info)), ReportInterval: model.Duration(nt.reportInterval()),
	}
}

// reportInterval returns the interval at which each node has to report; the lock is held.
func (nt *nodeTable) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(len(nt.nodes))*reportIntervalPerNode)
}

// expire removes nodes that no longer report; the lock is held.
func (nt *nodeTable) expire(now time.Time) {
	limit := maxMissedReports * nt.reportInterval()
	for m, n := range nt.nodes {
		if now.Sub(n.last) > limit {
			delete(nt.nodes, m)
		}
	}
}

// members returns this node and the others that are alive, in a fixed order.
func (nt *nodeTable) members(now time.Time) []Member {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	nt.expire(now)
	list := make([]Member, 0, len(nt.nodes)+1)
	list = append(list, memberOf(nt.self))
	for m := range nt.nodes {
		list = append(list, m)
	}
	slices.SortFunc(list, func(x, y Member) int { return cmp.Compare(x.String(), y.String()) })
	return list
}

// candidates returns the nodes that may become owner: the strongest ones, taken in turn from each data centre; the lock is
// held.
func (nt *nodeTable) candidates() []Member {
	list := []peers.NodeInfo{nt.self}
	for _, n := range nt.nodes {
		if n.reported {
			list = append(list, n.NodeInfo)
		}
	}
	slices.SortFunc(list, func(x, y peers.NodeInfo) int {
		return cmp.Or(cmp.Compare(y.Strength, x.Strength), cmp.Compare(x.Node, y.Node), cmp.Compare(x.BootID, y.BootID))
	})
	strongest := list[0].Strength
	nextRank := make(map[model.DataCentreID]int)
	type ranking struct {
		member Member
		rank   int
	}
	var strong []ranking
	for _, p := range list {
		if p.Strength >= minStrengthRatio*strongest {
			strong = append(strong, ranking{memberOf(p), nextRank[p.DataCentre]})
			nextRank[p.DataCentre]++
		}
	}
	slices.SortStableFunc(strong, func(x, y ranking) int { return cmp.Compare(x.rank, y.rank) })
	chosen := make([]Member, 0, maxCandidates)
	for _, s := range strong[:min(maxCandidates, len(strong))] {
		chosen = append(chosen, s.member)
	}
	return chosen
}

// shouldHandOver reports whether a much stronger node has reported for long enough to take over.
func (nt *nodeTable) shouldHandOver(now time.Time) bool {
	nt.mu.Lock()
	defer nt.mu.Unlock()
	nt.expire(now)
	for _, n := range nt.nodes {
		if n.reported && now.Sub(n.since) >= handoverDelay && nt.self.Strength < minStrengthRatio*n.Strength {
			return true
		}
	}
	return false
}
