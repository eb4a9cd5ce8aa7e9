package shard

import (
	"cmp"
	"math"
	"time"
)

const (
	// scarceAfter is the time that the nodes need for the waiting advice calls from which on advice is scarce: calls then name
	// only as many workers as a stage needs.
	scarceAfter = time.Second
	// overdueAfter is how long a stage waits for advice before it may be asked for in the order of age.
	overdueAfter = 3 * time.Second
	// overdueShare is the share of the service time that goes to the stages that have waited longest, whatever their urgency.
	overdueShare = 0.25
	// maxOverdueCredit bounds the service time that overdue stages can save up.
	maxOverdueCredit = 2 * time.Second
	// sufficientDeviations is by how many standard deviations the expected slots of a call should exceed those needed.
	sufficientDeviations = 1.65
)

// AdviceNodes tells what the nodes that make advice calls can do now.
type AdviceNodes struct {
	// Count is the number of nodes that can be called; each gives a second of service time per second.
	Count int
	// LongestCall is the longest service time of a call that a node can take now, or zero if none can take a call.
	LongestCall time.Duration
}

// adviceRequest is a stage that waits for an advice call.
type adviceRequest struct {
	stage *stage
	// since is when the stage began to wait.
	since time.Duration
	// serviceTime is the expected service time of the call.
	serviceTime time.Duration
	// workers are the workers to name, as chosen at chosenAt.
	workers  []candidate
	chosenAt time.Duration
}

// adviceBudget settles which of the waiting stages is asked for next. The most urgent one is, except that overdueShare of the
// service time goes to the stage that has waited longest. A stage therefore waits at most
//
//	overdueAfter + (W + 2C) / (overdueShare * nodes)
//
// where W is the service time of the calls for stages that began to wait before it, C is that of the longest call, and nodes
// is the number of nodes that can take its call.
type adviceBudget struct {
	// nodes is the number of nodes that could be called last, or zero before any could.
	nodes int
	// backlog is the service time of the calls that wait.
	backlog time.Duration
	// credit is the service time that overdue stages may use.
	credit time.Duration
}

func (b adviceBudget) withNodes(n int) adviceBudget {
	if n > 0 {
		b.nodes = n
	}
	return b
}

func (b adviceBudget) withBacklog(requests []adviceRequest) adviceBudget {
	b.backlog = 0
	for _, r := range requests {
		b.backlog += r.serviceTime
	}
	return b
}

// withServed accounts for a call for a stage that is overdue or not.
func (b adviceBudget) withServed(serviceTime time.Duration, overdue bool) adviceBudget {
	b.credit = min(b.credit+time.Duration(overdueShare*float64(serviceTime)), maxOverdueCredit)
	if overdue {
		b.credit -= serviceTime
	}
	return b
}

// drainTime returns how long the nodes need for the calls that wait.
func (b adviceBudget) drainTime() time.Duration {
	if b.nodes == 0 {
		return 0
	}
	return b.backlog / time.Duration(b.nodes)
}

func (b adviceBudget) scarce() bool { return b.drainTime() >= scarceAfter }

// next returns the index of the request to serve next and whether it is served because it is overdue, or -1 if no node can
// take any of them.
func (b adviceBudget) next(requests []adviceRequest, longest, now time.Duration) (index int, overdue bool) {
	urgent, oldest := -1, -1
	var best adviceOrder
	for i, r := range requests {
		if r.serviceTime > longest {
			continue
		}
		if oldest < 0 || r.since < requests[oldest].since {
			oldest = i
		}
		if order := r.order(now); urgent < 0 || order.compare(best) < 0 {
			urgent, best = i, order
		}
	}
	if oldest >= 0 && now-requests[oldest].since > overdueAfter && b.credit >= 0 {
		return oldest, true
	}
	return urgent, false
}

// adviceOrder is the order of stages that wait for advice: within a class of urgency, those that hold valid tickets come first,
// so that these don't expire before the stage has all it needs. For the same reason such a stage doesn't count as late.
type adviceOrder struct {
	urgency      Urgency
	holdsTickets bool
}

func (r adviceRequest) order(now time.Duration) adviceOrder {
	urgency, holdsTickets := r.stage.urgency(now), r.stage.ticketsValidUntil > now+r.serviceTime
	urgency.missesObjective = urgency.missesObjective && !holdsTickets
	return adviceOrder{urgency, holdsTickets}
}

func (o adviceOrder) compare(other adviceOrder) int {
	return cmp.Or(o.urgency.compareClass(other.urgency), compareBool(!o.holdsTickets, !other.holdsTickets),
		cmp.Compare(o.urgency.objective, other.urgency.objective))
}

// expectedSlots is the number of slots that a call is expected to yield on workers each of which is permitted with the same
// probability.
type expectedSlots struct{ mean, variance float64 }

// with adds a worker that has the given slots and is permitted with the given probability.
func (e expectedSlots) with(slots int, permitted float64) expectedSlots {
	n := float64(slots)
	return expectedSlots{e.mean + permitted*n, e.variance + permitted*(1-permitted)*n*n}
}

// suffices reports whether the call is likely to yield n slots.
func (e expectedSlots) suffices(n int) bool {
	return e.mean-sufficientDeviations*math.Sqrt(e.variance) >= float64(n)
}
