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
	// granted receives the backend; it has room for one so that granting never blocks.
	granted chan *backend
	element *list.Element
}

// teamQueue holds one team's waiting requests in arrival order.
type teamQueue struct {
	waiting list.List
	// served is the team's virtual time: requests served divided by share.
	served float64
}

// fairQueue hands out slots across teams in proportion to their shares.
type fairQueue struct {
	teams map[model.TeamID]*teamQueue
	// now is the virtual time of the last grant; a team that was idle starts from it and gains no credit.
	now  float64
	size int
}

func newFairQueue() *fairQueue { return &fairQueue{teams: make(map[model.TeamID]*teamQueue)} }

func (q *fairQueue) push(w *waiter) {
	team, ok := q.teams[w.team]
	if !ok {
		team = &teamQueue{}
		q.teams[w.team] = team
	}
	if team.waiting.Len() == 0 {
		team.served = max(team.served, q.now)
	}
	w.element = team.waiting.PushBack(w)
	q.size++
}

// remove takes out a waiter; one that has left the queue already is passed over.
func (q *fairQueue) remove(w *waiter) {
	if w.element == nil {
		return
	}
	q.teams[w.team].waiting.Remove(w.element)
	w.element = nil
	q.size--
}

// peek returns the next waiter whose deadline has not passed.
func (q *fairQueue) peek(now time.Time) *waiter {
	var best *teamQueue
	for _, team := range q.teams {
		q.dropExpired(team, now)
		if team.waiting.Len() > 0 && (best == nil || team.served < best.served) {
			best = team
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting.Front().Value.(*waiter)
}

// dropExpired removes waiters whose own timer ends their wait.
func (q *fairQueue) dropExpired(team *teamQueue, now time.Time) {
	for e := team.waiting.Front(); e != nil; e = team.waiting.Front() {
		w := e.Value.(*waiter)
		if now.Before(w.deadline) {
			return
		}
		q.remove(w)
	}
}

// charge takes the waiter out and accounts for one served request of its team.
func (q *fairQueue) charge(w *waiter, share float64) {
	q.remove(w)
	team := q.teams[w.team]
	q.now = team.served
	team.served += 1 / max(share, minShare)
}

// minShare keeps a team without a declared share from waiting for ever.
const minShare = 0.01
