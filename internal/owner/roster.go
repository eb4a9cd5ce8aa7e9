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
	// reportEvery is the interval between the reports of a node to the owner: three fit into the time to live of a member.
	reportEvery = 400 * time.Millisecond
	// reportShare is added to the interval for each node, so that an owner takes at most 100 reports a second.
	reportShare = 10 * time.Millisecond
	// missedReports is how many reports of a node in a row may be missing before it counts as gone.
	missedReports = 3
	// maxCandidates is how many nodes may become owner. The store deals the partitions of a topic to the members of a
	// group, and a member without any isn't listed; topics have many more partitions.
	maxCandidates = 8
	// muchWeaker is the share of the strongest node's strength below which a node doesn't own jobs while others can.
	muchWeaker = 0.5
	// handOverAfter is how long a much stronger node has to report before a weak owner hands over to it.
	handOverAfter = 2 * time.Second
)

// roster holds the nodes that report to an owner, and picks those that may succeed it.
type roster struct {
	self peers.NodeInfo

	mu    sync.Mutex
	nodes map[Member]*present
}

// present is what an owner knows of another node.
type present struct {
	peers.NodeInfo
	// reported tells that the node itself has reported; others were members of the group when the ownership began.
	reported bool
	since    time.Time
	last     time.Time
}

func newRoster(self peers.NodeInfo, members []Member, now time.Time) *roster {
	r := &roster{self: self, nodes: make(map[Member]*present)}
	for _, m := range members {
		if m != memberOf(self) {
			r.nodes[m] = &present{NodeInfo: peers.NodeInfo{Node: m.Node, Address: m.Address, BootID: m.BootID}, since: now, last: now}
		}
	}
	return r
}

func memberOf(p peers.NodeInfo) Member {
	return Member{Node: p.Node, Address: p.Address, BootID: p.BootID}
}

// report notes that a node is there and returns what is expected of it.
func (r *roster) report(p peers.NodeInfo, now time.Time) peers.ReportReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	known := r.nodes[memberOf(p)]
	if known == nil || !known.reported {
		known = &present{reported: true, since: now}
		r.nodes[memberOf(p)] = known
	}
	known.NodeInfo, known.last = p, now
	return peers.ReportReply{Candidate: slices.Contains(r.candidates(), memberOf(p)), ReportInterval: model.Duration(r.every())}
}

// every is the interval between reports; the lock is held.
func (r *roster) every() time.Duration {
	return max(reportEvery, time.Duration(len(r.nodes))*reportShare)
}

// expire drops nodes that no longer report; the lock is held.
func (r *roster) expire(now time.Time) {
	limit := missedReports * r.every()
	for m, p := range r.nodes {
		if now.Sub(p.last) > limit {
			delete(r.nodes, m)
		}
	}
}

// members returns this node and the others that are there, in the same order each time.
func (r *roster) members(now time.Time) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	list := make([]Member, 0, len(r.nodes)+1)
	list = append(list, memberOf(r.self))
	for m := range r.nodes {
		list = append(list, m)
	}
	slices.SortFunc(list, func(x, y Member) int { return cmp.Compare(x.String(), y.String()) })
	return list
}

// candidates returns the nodes that may succeed: the strongest, in turn from each data centre; the lock is held.
func (r *roster) candidates() []Member {
	list := []peers.NodeInfo{r.self}
	for _, p := range r.nodes {
		if p.reported {
			list = append(list, p.NodeInfo)
		}
	}
	slices.SortFunc(list, func(x, y peers.NodeInfo) int {
		return cmp.Or(cmp.Compare(y.Strength, x.Strength), cmp.Compare(x.Node, y.Node), cmp.Compare(x.BootID, y.BootID))
	})
	strongest := list[0].Strength
	ranked := make(map[model.DataCentreID]int)
	type ranking struct {
		member Member
		rank   int
	}
	var strong []ranking
	for _, p := range list {
		if p.Strength >= muchWeaker*strongest {
			strong = append(strong, ranking{memberOf(p), ranked[p.DataCentre]})
			ranked[p.DataCentre]++
		}
	}
	slices.SortStableFunc(strong, func(x, y ranking) int { return cmp.Compare(x.rank, y.rank) })
	chosen := make([]Member, 0, maxCandidates)
	for _, s := range strong[:min(maxCandidates, len(strong))] {
		chosen = append(chosen, s.member)
	}
	return chosen
}

// outranked reports whether a much stronger node has reported long enough to take over.
func (r *roster) outranked(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for _, p := range r.nodes {
		if p.reported && now.Sub(p.since) >= handOverAfter && r.self.Strength < muchWeaker*p.Strength {
			return true
		}
	}
	return false
}
