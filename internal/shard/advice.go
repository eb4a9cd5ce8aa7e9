package shard

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

const (
	// maxNamed is the most workers that one call may name.
	maxNamed = 100
	// minNamed is the least number of workers named in a first call, so that one that may run the stage is among them.
	minNamed = 8
	// perWorkerShare bounds the time that naming workers adds to a call, as a share of the call's fixed time.
	perWorkerShare = 0.6
	// nameMargin is how many times the slots needed the workers named should probably have: other stages take room while
	// the call is under way.
	nameMargin = 2
	// fullSpread is how many times the room of its tasks the workers should hold, empty, that are known to be allowed to run
	// a stage, before it stops asking about workers without room.
	fullSpread = 2
	// fullSlots is the share of a slot that a worker without room counts for.
	fullSlots = 0.5
	// firstGoodShare is the assumed share of workers that may run a stage, until answers tell.
	firstGoodShare = 0.4
	// retryAsk is the pause after a call for advice that failed.
	retryAsk = 20 * time.Millisecond
	// renewAhead is how long beyond a call a ticket should be valid: shorter ones are renewed with it.
	renewAhead = 500 * time.Millisecond
	// askRest is the pause of a stage between calls, as a multiple of the service's time for the last one, so that a stage
	// that waits for room doesn't keep the service from others.
	askRest = 4
	// reserveSlack is added to the time of a call while which room is kept for the stage.
	reserveSlack = 500 * time.Millisecond
)

// Ask is a call for advice that may be sent now.
type Ask struct {
	Question agent.Question
	// Cost is the service's time for the call.
	Cost    time.Duration
	Urgency Urgency
	stage   *stage
}

// Urgency orders stages: work that can still meet its objective before late work, then owed work, by priority and by
// objective.
type Urgency struct {
	hopeless  bool
	surplus   bool
	priority  int
	objective time.Duration
}

// Compare returns a negative number if u goes first.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(compareBool(u.hopeless, v.hopeless), compareBool(u.surplus, v.surplus), cmp.Compare(u.priority, v.priority),
		cmp.Compare(u.objective, v.objective))
}

func (st *stage) urgency(now time.Duration) Urgency {
	return Urgency{st.hopeless(now), st.job.surplus, st.job.queue.Priority, st.job.objective}
}

// ask sends for advice that can help n waiting tasks; it reports whether a call is under way.
func (s *Shard) ask(st *stage, n int, now time.Duration) bool {
	if st.job.queue.Advice == nil {
		return false
	}
	if st.asking || now < st.askAfter {
		return true
	}
	st.askAfter = 0
	if named := s.renewals(st, n, now); len(named) > 0 {
		s.sendAsk(st, named, now)
		return true
	}
	if named := s.unknown(st, n, now); len(named) > 0 {
		s.sendAsk(st, named, now)
		return true
	}
	return false
}

// renewals returns workers that may run the stage and whose tickets have lapsed or will lapse during the call, if some of
// these have room now, and keeps that room. Work that isn't all-at-once gets tickets for workers without room as well, so
// that it needn't call again for each task that ends there.
func (s *Shard) renewals(st *stage, n int, now time.Duration) []candidate {
	list := s.candidates(st, now, false)
	if st.spec.Gang && len(s.choose(st, list, n)) < n {
		return nil
	}
	used, total := 0, 0
	lapsed := false
	for _, c := range list {
		if total >= n+n/2+1 {
			break
		}
		used++
		total += c.slots
		lapsed = lapsed || st.lapses(c.worker, now+s.ticketNeeds())
	}
	if !lapsed {
		return nil
	}
	limit := s.nameLimit(st)
	others := list[used:]
	if st.spec.Gang {
		others = nil
	} else {
		others = append(slices.Clone(others), s.goodWithoutRoom(st, list, now)...)
	}
	soon := now + s.cost(st, used) + s.ticketNeeds() + renewAhead
	var named []candidate
	for _, c := range append(slices.Clone(list[:used]), others...) {
		if len(named) < limit && st.lapses(c.worker, soon) {
			named = append(named, c)
		}
	}
	s.reserve(st, list[:used], len(named), n, now)
	return named
}

// lapses reports whether the stage's ticket for the worker lapses before the given time.
func (st *stage) lapses(w *worker, at time.Duration) bool { return at >= st.verdicts[w.id].expires }

// goodWithoutRoom returns the workers that may run the stage and aren't in the list.
func (s *Shard) goodWithoutRoom(st *stage, list []candidate, now time.Duration) []candidate {
	listed := make(map[*worker]bool, len(list))
	for _, c := range list {
		listed[c.worker] = true
	}
	var out []candidate
	for _, w := range s.goodWorkers(st, now) {
		if !listed[w] {
			out = append(out, candidate{worker: w})
		}
	}
	return out
}

// cost is the service's time for a call that names n workers.
func (s *Shard) cost(st *stage, n int) time.Duration {
	return st.job.queue.Advice.Decide + time.Duration(n)*st.job.queue.Advice.PerWorker
}

// unknown returns workers that nothing is known about, as many as probably suffice for n tasks: for a gang those with
// the most room, for others the fullest that have room, so that large holes stay. Workers without room are named only
// while too few are known that may run the stage.
func (s *Shard) unknown(st *stage, n int, now time.Duration) []candidate {
	var roomy, full []candidate
	for _, w := range s.byID {
		if _, known := st.verdicts[w.id]; known || !s.allowed(st, w, now) {
			continue
		}
		free := w.free(st)
		c := candidate{worker: w, slots: st.atMost(w, slots(free, st.spec.Size, n)), free: free}
		if c.slots > 0 {
			roomy = append(roomy, c)
		} else {
			full = append(full, c)
		}
	}
	limit := s.nameLimit(st)
	switch {
	case st.spec.Gang:
		// What counts is the room of empty workers, since a gang collects room.
		good := s.goodSlots(st, n, now)
		for i := range roomy {
			roomy[i].slots = st.atMost(roomy[i].worker, slots(roomy[i].worker.entry.Capacity, st.spec.Size, n))
		}
		slices.SortFunc(roomy, byFree)
		slices.SortFunc(full, byFree)
		return enough(append(roomy, full...), float64(gangSpread*n-good)/s.goodShare(st.job.queue.Name), limit)
	case len(roomy) == 0:
		if s.goodSlots(st, n, now) >= fullSpread*n {
			return nil
		}
		slices.SortFunc(full, byFree)
		return enough(full, math.Inf(1), limit)
	}
	needed := nameMargin * float64(n) / s.goodShare(st.job.queue.Name)
	if len(st.verdicts) > 0 {
		// The first call wasn't enough; most of the time of another one doesn't depend on the workers named.
		needed = math.Inf(1)
		slices.SortFunc(full, byFree)
	} else {
		full = nil
	}
	slices.SortFunc(roomy, func(a, b candidate) int {
		return cmp.Or(compareBool(a.worker.claimed(st), b.worker.claimed(st)), -byFree(a, b))
	})
	for len(roomy) > limit && slotsOf(roomy[:limit]) < needed && slotsOf(roomy[:limit]) < slotsOf(roomy[len(roomy)-limit:]) {
		roomy = roomy[1:]
	}
	return enough(append(roomy, full...), needed, limit)
}

// byFree puts the workers with the most free cores first.
func byFree(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.free.Cores, a.free.Cores), cmp.Compare(a.worker.id, b.worker.id))
}

// nameLimit bounds the workers that one call names.
func (s *Shard) nameLimit(st *stage) int {
	advice := st.job.queue.Advice
	if advice.PerWorker <= 0 || st.spec.Gang {
		return maxNamed
	}
	return min(maxNamed, max(minNamed, int(perWorkerShare*float64(advice.Decide)/float64(advice.PerWorker))))
}

func slotsOf(list []candidate) float64 {
	total := 0
	for _, c := range list {
		total += c.slots
	}
	return float64(total)
}

// enough returns the first of the list that together have the slots needed, at least minNamed and at most limit.
func enough(list []candidate, needed float64, limit int) []candidate {
	total := 0.0
	for i, c := range list {
		if i == limit || (i >= minNamed && total >= needed) {
			return list[:i]
		}
		total += max(float64(c.slots), fullSlots)
	}
	return list
}

func (s *Shard) goodShare(queue string) float64 {
	if share, ok := s.goodShares[queue]; ok {
		return max(share, 0.1)
	}
	return firstGoodShare
}

// reserve keeps room for n tasks on the workers until the tickets for some of them have come.
func (s *Shard) reserve(st *stage, list []candidate, named, n int, now time.Duration) {
	s.release(st)
	st.reserved = make(map[*worker]model.Resources)
	st.reservedUntil = now + s.cost(st, named) + reserveSlack
	for _, c := range list {
		if n <= 0 {
			return
		}
		take := min(c.slots, n)
		n -= take
		st.reserved[c.worker] = st.spec.Size.Times(take)
		c.worker.reservations[st] = st.spec.Size.Times(take)
	}
}

func (s *Shard) sendAsk(st *stage, named []candidate, now time.Duration) {
	st.asking = true
	ids := make([]model.WorkerID, len(named))
	for i, c := range named {
		ids[i] = c.worker.id
	}
	cost := s.cost(st, len(ids))
	s.asks = append(s.asks, Ask{
		Question: agent.Question{
			Stage:   work.StageRef{Job: st.job.spec.ID, Occurrence: st.occurrence, Stage: st.index},
			Workers: ids,
		},
		Cost: cost, Urgency: st.urgency(now), stage: st,
	})
}

// takeAsks returns the calls for advice decided since the last call.
func (s *Shard) takeAsks() []Ask {
	asks := s.asks
	s.asks = nil
	return asks
}

// Advised applies the answer to a call for advice.
func (s *Shard) Advised(ask Ask, advice agent.Advice, err error, now time.Duration) {
	st := ask.stage
	st.asking = false
	st.askAfter = 0
	if !st.spec.Gang {
		st.askAfter = now + askRest*ask.Cost
	}
	st.retry, s.replan = true, true
	if err != nil {
		s.release(st)
		st.askAfter = now + retryAsk
		s.event("advice-failed", string(st.job.spec.ID), "", nil, err.Error(), int64(len(ask.Question.Workers)))
		return
	}
	st.reservedUntil = now + ticketMargin
	good := 0
	for _, id := range ask.Question.Workers {
		ticket, ok := advice.Tickets[id]
		if ok {
			good++
		}
		st.verdicts[id] = verdict{good: ok, ticket: ticket, expires: now + advice.Valid.Std()}
	}
	queue := st.job.queue.Name
	share := float64(good) / float64(max(1, len(ask.Question.Workers)))
	if len(ask.Question.Workers) >= minNamed {
		s.goodShares[queue] = 0.9*s.goodShare(queue) + 0.1*share
	}
	s.event("advised", string(st.job.spec.ID), "", nil, st.job.queue.Name+" named "+strconv.Itoa(len(ask.Question.Workers)), int64(good))
}
