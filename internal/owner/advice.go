package owner

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/shard"
	"arbutuswing.example/internal/work"
)

const (
	// longCall is the service time from which on a call may not use all nodes, so that short calls find a free node.
	longCall = 150 * time.Millisecond
	// minShortCallNodes and shortCallNodeDivisor define how many nodes are reserved for short calls: one of each
	// shortCallNodeDivisor nodes, but at least minShortCallNodes, and always less than half of them. Short calls are frequent
	// but take little service time.
	minShortCallNodes    = 2
	shortCallNodeDivisor = 8
	// shortCallMemory is how long nodes stay reserved after the last short call.
	shortCallMemory = time.Second
	// callTimeoutMargin is added to the expected duration of a call to give its timeout. A node that hasn't answered by then
	// is unreachable or down.
	callTimeoutMargin = 250 * time.Millisecond
	// failedNodePause is how long a node gets no calls after one has failed there.
	failedNodePause = 2 * time.Second
	// maxQueuedLoad is the highest load of a node with a call under way at which another call may be sent to it, so that the
	// service isn't idle between the calls.
	maxQueuedLoad = 40 * time.Millisecond
	// maxCallsPerNode bounds the calls under way at one node; the others wait at the owner until any node can take them.
	maxCallsPerNode = 2
)

// adviceDispatcher distributes advice calls over the nodes, because the service handles one call of each node at a time.
type adviceDispatcher struct {
	ownership *ownership

	mu sync.Mutex
	// load is the total service time of the calls under way at each node, and calls is their number.
	load         map[Member]time.Duration
	calls        map[Member]int
	blockedUntil map[Member]time.Time
	// lastShortCall is when a short call was last sent.
	lastShortCall time.Time
}

func newAdviceDispatcher(ow *ownership) *adviceDispatcher {
	return &adviceDispatcher{
		ownership: ow, load: make(map[Member]time.Duration), calls: make(map[Member]int),
		blockedUntil: make(map[Member]time.Time),
	}
}

// underWay returns how many calls are under way.
func (a *adviceDispatcher) underWay() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	underWay := 0
	for _, n := range a.calls {
		underWay += n
	}
	return underWay
}

// dispatch sends the calls that the nodes can take now; the ownership's lock is held.
func (a *adviceDispatcher) dispatch(ctx context.Context, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	nodes := a.availableNodes()
	for {
		call, ok := a.ownership.shard.NextAdviceCall(
			shard.AdviceNodes{Count: len(nodes), LongestCall: a.longestCall(nodes)}, now)
		if !ok {
			return
		}
		node, _ := a.pickNode(nodes, call.ServiceTime)
		a.begin(node, call.ServiceTime)
		go a.runCall(ctx, node, call, a.load[node])
	}
}

// longestCall returns the longest service time of a call that a node can take now, or zero if none can take a call.
func (a *adviceDispatcher) longestCall(nodes []Member) time.Duration {
	if _, ok := a.pickNode(nodes, longCall); ok {
		return math.MaxInt64
	}
	if _, ok := a.pickNode(nodes, 0); ok {
		return longCall - 1
	}
	return 0
}

// availableNodes returns the nodes that may be called, in a fixed order.
func (a *adviceDispatcher) availableNodes() []Member {
	now := time.Now()
	return slices.DeleteFunc(a.ownership.nodes.members(now), func(m Member) bool { return now.Before(a.blockedUntil[m]) })
}

// pickNode returns the node with the least load that can take a call of the given service time, or false if there is none.
func (a *adviceDispatcher) pickNode(nodes []Member, serviceTime time.Duration) (Member, bool) {
	if serviceTime >= longCall {
		nodes = nodes[a.reservedNodes(len(nodes)):]
	}
	var best Member
	found := false
	for _, node := range nodes {
		if a.calls[node] > 0 && (a.load[node] > maxQueuedLoad || a.calls[node] >= maxCallsPerNode) {
			continue
		}
		if !found || a.load[node] < a.load[best] {
			best, found = node, true
		}
	}
	return best, found
}

// reservedNodes returns how many of n nodes are reserved for short calls.
func (a *adviceDispatcher) reservedNodes(n int) int {
	if n == 0 || time.Since(a.lastShortCall) > shortCallMemory {
		return 0
	}
	return min(max(minShortCallNodes, n/shortCallNodeDivisor), (n-1)/2)
}

// begin notes that a call is sent through a node.
func (a *adviceDispatcher) begin(node Member, serviceTime time.Duration) {
	a.load[node] += serviceTime
	a.calls[node]++
	if serviceTime < longCall {
		a.lastShortCall = time.Now()
	}
}

// end notes that a call through a node has ended.
func (a *adviceDispatcher) end(node Member, serviceTime time.Duration) {
	a.load[node] -= serviceTime
	a.calls[node]--
}

// runCall makes a call through a node and applies the answer; load is the node's load including this call.
func (a *adviceDispatcher) runCall(ctx context.Context, node Member, call shard.AdviceCall, load time.Duration) {
	ow := a.ownership
	req := call.Request
	req.Timeout = model.Duration(load + callTimeoutMargin)
	about := work.TaskRef{Job: req.Stage.Job, Occurrence: req.Stage.Occurrence, Stage: req.Stage.Stage}
	ow.step(Step{Name: "ask advice", Task: about})
	advice, err := a.call(ctx, node, req)
	ow.step(Step{Name: "apply advice", Task: about})
	a.mu.Lock()
	a.end(node, call.ServiceTime)
	if err != nil && ctx.Err() == nil {
		a.blockedUntil[node] = time.Now().Add(failedNodePause)
	}
	a.mu.Unlock()
	ow.mu.Lock()
	ow.shard.ApplyAdvice(call, advice, err, ow.now())
	ow.mu.Unlock()
	ow.signalDecide()
}

func (a *adviceDispatcher) call(ctx context.Context, node Member, req agent.AdviceRequest) (agent.Advice, error) {
	if node == memberOf(a.ownership.cfg.Self) {
		return a.ownership.cfg.Advisor.Advise(ctx, req)
	}
	return a.ownership.cfg.Peers.Advise(ctx, node.Address, req)
}
