package shard

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

const (
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
	Question agent.AdviceRequest
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

// reserve keeps room for n tasks on the workers until the tickets for some of them have come.
func (s *Shard) reserve(st *stage, list []candidate, named, n int, now time.Duration) {
	s.release(st)
	st.reservedUntil = now + s.cost(st, named) + reserveSlack
	for _, c := range list {
		if n <= 0 {
			return
		}
		take := min(c.slots, n)
		n -= take
		st.reserve(c.worker, take)
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
		Question: agent.AdviceRequest{
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
	st.advisedAt = now
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
