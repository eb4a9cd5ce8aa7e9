package route

import (
	"container/list"
	"time"

	"arbutuswing.example/internal/model"
)

// waiter is a request that waits for a slot.
type waiter struct {
	team     model.TeamID
	deadline time.Time
	exclude  model.EndpointID
	// granted receives the endpoint; its capacity is 1, so that a grant never blocks.
	granted chan *backend
	element *list.Element
}

// teamQueue holds one team's waiting requests in arrival order.
type teamQueue struct {
	waiting list.List
	// virtualTime is the number of slots granted to the team divided by its share.
	virtualTime float64
}

// fairQueue distributes slots among the teams in proportion to their shares, by virtual time.
type fairQueue struct {
	teams map[model.TeamID]*teamQueue
	// virtualTime is that of the last team served; a team that was idle starts from it, so that it gets no credit for
	// the idle time.
	virtualTime float64
	size        int
}

func newFairQueue() *fairQueue { return &fairQueue{teams: make(map[model.TeamID]*teamQueue)} }

func (q *fairQueue) push(w *waiter) {
	team, ok := q.teams[w.team]
	if !ok {
		team = &teamQueue{}
		q.teams[w.team] = team
	}
	if team.waiting.Len() == 0 {
		team.virtualTime = max(team.virtualTime, q.virtualTime)
	}
	w.element = team.waiting.PushBack(w)
	q.size++
}

// remove takes a waiter out of the queue; it does nothing if the waiter is not in the queue.
func (q *fairQueue) remove(w *waiter) {
	if w.element == nil {
		return
	}
	q.teams[w.team].waiting.Remove(w.element)
	w.element = nil
	q.size--
}

// peek returns the waiter to be served next, or nil; waiters whose deadline has passed are dropped.
func (q *fairQueue) peek(now time.Time) *waiter {
	var best *teamQueue
	for _, team := range q.teams {
		q.dropExpired(team, now)
		if team.waiting.Len() > 0 && (best == nil || team.virtualTime < best.virtualTime) {
			best = team
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting.Front().Value.(*waiter)
}

// dropExpired removes waiters whose deadline has passed; their callers are notified by their own timers.
func (q *fairQueue) dropExpired(team *teamQueue, now time.Time) {
	for e := team.waiting.Front(); e != nil; e = team.waiting.Front() {
		w := e.Value.(*waiter)
		if now.Before(w.deadline) {
			return
		}
		q.remove(w)
	}
}

// charge removes the waiter and charges one slot to its team.
func (q *fairQueue) charge(w *waiter, share float64) {
	q.remove(w)
	team := q.teams[w.team]
	q.virtualTime = team.virtualTime
	team.virtualTime += 1 / max(share, minShare)
}

// minShare keeps a team without a declared share from waiting for ever.
const minShare = 0.01
