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
	// maxNamed is the most workers that one call may name.
	maxNamed = 100
	// minNamed is the least number of workers named in a first call, so that one that may run the stage is among them.
	minNamed = 8
	// perWorkerShare bounds the time that naming workers adds to a call, as a share of the call's fixed time.
	perWorkerShare = 0.6
	// nameMargin is how many times the slots needed the workers named should probably have: other stages take room while
	// the call is under way.
	nameMargin = 2
	// fullSlots is the share of a slot that a worker without room counts for.
	fullSlots = 0.5
	// firstGoodShare is the assumed share of workers that may run a stage, until answers tell.
	firstGoodShare = 0.4
	// retryAsk is the pause after a call for advice that failed.
	retryAsk = 20 * time.Millisecond
	// reserveSlack is added to the time of a call while which room is kept for the stage.
	reserveSlack = 500 * time.Millisecond
)

// Ask is a call for advice that may be sent now.
type Ask struct {
	Question agent.Question
	// Cost is the service's time for the call.
	Cost time.Duration
	// Urgency orders calls; lower goes first.
	Urgency int
	stage   *stage
}

// ask sends for advice that can help n waiting tasks; it reports whether a call is under way.
func (s *Shard) ask(st *stage, n int, now time.Duration) bool {
	if st.job.queue.Advice == nil {
		return false
	}
	if st.asking {
		return true
	}
	if now < st.askAfter {
		return false
	}
	if named := s.renewals(st, n, now); len(named) > 0 {
		s.sendAsk(st, named)
		return true
	}
	if named := s.unknown(st, n, now); len(named) > 0 {
		s.sendAsk(st, named)
		return true
	}
	return false
}

// renewals returns workers that may run the stage and have room now, but whose tickets have lapsed, and keeps the room.
func (s *Shard) renewals(st *stage, n int, now time.Duration) []candidate {
	list := s.candidates(st, now, false)
	if st.spec.Gang && len(s.choose(st, list, n)) < n {
		return nil
	}
	var used, lapsed []candidate
	total := 0
	for _, c := range list {
		if total >= n+n/2+1 {
			break
		}
		total += c.slots
		used = append(used, c)
		if now+ticketMargin >= st.verdicts[c.worker.id].expires {
			lapsed = append(lapsed, c)
		}
	}
	lapsed = lapsed[:min(len(lapsed), maxNamed)]
	if len(lapsed) > 0 {
		s.reserve(st, used, len(lapsed), n, now)
	}
	return lapsed
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
	byRoom := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(b.free.Cores, a.free.Cores), cmp.Compare(a.worker.id, b.worker.id))
	}
	limit := s.nameLimit(st)
	needed := nameMargin * float64(n) / s.goodShare(st.job.queue.Name)
	switch {
	case len(roomy) == 0 || st.spec.Gang:
		if len(roomy) == 0 && s.goodSlots(st, n, now) >= 2*n {
			return nil
		}
		slices.SortFunc(roomy, byRoom)
		slices.SortFunc(full, byRoom)
		return enough(append(roomy, full...), needed, limit)
	default:
		slices.SortFunc(roomy, func(a, b candidate) int {
			return cmp.Or(compareBool(a.worker.claimed(st), b.worker.claimed(st)), cmp.Compare(a.free.Cores, b.free.Cores), cmp.Compare(a.worker.id, b.worker.id))
		})
		for len(roomy) > limit && slotsOf(roomy[:limit]) < needed {
			roomy = roomy[1:]
		}
		return enough(roomy, needed, limit)
	}
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
	advice := st.job.queue.Advice
	s.release(st)
	st.reserved = make(map[*worker]model.Resources)
	st.reservedUntil = now + advice.Decide + time.Duration(named)*advice.PerWorker + reserveSlack
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

func (s *Shard) sendAsk(st *stage, named []candidate) {
	advice := st.job.queue.Advice
	st.asking = true
	ids := make([]model.WorkerID, len(named))
	for i, c := range named {
		ids[i] = c.worker.id
	}
	cost := advice.Decide + time.Duration(len(ids))*advice.PerWorker
	s.asks = append(s.asks, Ask{
		Question: agent.Question{
			Stage:   work.StageRef{Job: st.job.spec.ID, Occurrence: st.occurrence, Stage: st.index},
			Workers: ids,
		},
		Cost: cost, Urgency: st.job.queue.Priority, stage: st,
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
	s.replan = true
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
