package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/shard"
)

const (
	// longAsk is the service's time from which on a call may only take some of the nodes, so that short calls find a
	// node without one.
	longAsk = 150 * time.Millisecond
	// shortOnlyNodes and shortOnlyPart are how many nodes at least, and which part of them, are kept for short calls: these
	// come often but take little of the service's time.
	shortOnlyNodes = 2
	shortOnlyPart  = 8
	// askSlack is added to the time that a call should take: a node that doesn't answer by then is cut off or down.
	askSlack = 250 * time.Millisecond
	// nodePenalty is how long a node that failed a call gets no other.
	nodePenalty = 2 * time.Second
	// behindAsk is the service's time of a call behind which another one may wait at a node, so that the service is not
	// idle between them.
	behindAsk = 40 * time.Millisecond
	// nodeCalls is the most calls under way at one node; the others wait here, where any node can take them.
	nodeCalls = 2
)

// asks spreads calls for advice over the nodes: the service handles one call of each node at a time.
type asks struct {
	tenure *tenure

	mu      sync.Mutex
	waiting []shard.Ask
	// load is the service's time of the calls under way at each node, and calls their number.
	load    map[Member]time.Duration
	calls   map[Member]int
	blocked map[Member]time.Time
}

func newAsks(t *tenure) *asks {
	return &asks{tenure: t, load: make(map[Member]time.Duration), calls: make(map[Member]int), blocked: make(map[Member]time.Time)}
}

// waitingCalls returns how many calls wait for a node and how many are under way.
func (a *asks) waitingCalls() (waiting, underWay int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.calls {
		underWay += n
	}
	return len(a.waiting), underWay
}

// add takes calls in and sends what a node can take now, the most urgent first.
func (a *asks) add(ctx context.Context, more []shard.Ask) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(more) > 0 {
		a.waiting = append(a.waiting, more...)
		slices.SortStableFunc(a.waiting, func(x, y shard.Ask) int {
			return x.Urgency.Compare(y.Urgency)
		})
	}
	if len(a.waiting) == 0 {
		return
	}
	nodes := a.nodes()
	kept := a.waiting[:0]
	for _, ask := range a.waiting {
		node, ok := a.pick(nodes, ask.Cost)
		if !ok {
			kept = append(kept, ask)
			continue
		}
		a.load[node] += ask.Cost
		a.calls[node]++
		go a.runAsk(ctx, node, ask, a.load[node])
	}
	a.waiting = kept
}

// nodes returns the nodes that may be asked, in the same order each time.
func (a *asks) nodes() []Member {
	now := time.Now()
	return slices.DeleteFunc(a.tenure.roster.members(now), func(m Member) bool { return now.Before(a.blocked[m]) })
}

func (a *asks) pick(nodes []Member, cost time.Duration) (Member, bool) {
	if kept := max(shortOnlyNodes, len(nodes)/shortOnlyPart); cost >= longAsk && len(nodes) > kept {
		nodes = nodes[kept:]
	}
	var best Member
	found := false
	for _, node := range nodes {
		if a.calls[node] > 0 && (a.load[node] > behindAsk || a.calls[node] >= nodeCalls) {
			continue
		}
		if !found || a.load[node] < a.load[best] {
			best, found = node, true
		}
	}
	return best, found
}

func (a *asks) runAsk(ctx context.Context, node Member, ask shard.Ask, load time.Duration) {
	t := a.tenure
	q := ask.Question
	q.Timeout = model.Duration(load + askSlack)
	advice, err := a.call(ctx, node, q)
	a.mu.Lock()
	a.load[node] -= ask.Cost
	a.calls[node]--
	if err != nil && ctx.Err() == nil {
		a.blocked[node] = time.Now().Add(nodePenalty)
	}
	a.mu.Unlock()
	t.mu.Lock()
	t.shard.Advised(ask, advice, err, t.now())
	t.mu.Unlock()
	t.kick()
}

func (a *asks) call(ctx context.Context, node Member, q agent.AdviceRequest) (agent.Advice, error) {
	if node == memberOf(a.tenure.cfg.Self) {
		return a.tenure.cfg.Advisor.Advise(ctx, q)
	}
	return a.tenure.cfg.Peers.Advise(ctx, node.Address, q)
}
