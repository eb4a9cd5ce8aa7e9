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
	// freeShare is the share of a worker's capacity that is expected to be free when a call is sized.
	freeShare = 0.35
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
		s.reserve(st, named, n, now)
		s.sendAsk(st, named)
		return true
	}
	if named := s.unknown(st, n, now); len(named) > 0 {
		s.sendAsk(st, named)
		return true
	}
	return false
}

// renewals returns workers that may run the stage and have room now, but whose tickets have lapsed.
func (s *Shard) renewals(st *stage, n int, now time.Duration) []candidate {
	list := s.candidates(st, now, false)
	if st.spec.Gang && len(s.choose(st, list, n)) < n {
		return nil
	}
	var lapsed []candidate
	total := 0
	for _, c := range list {
		if total >= n+n/2+1 {
			break
		}
		total += c.slots
		if now+ticketMargin >= st.verdicts[c.worker.id].expires {
			lapsed = append(lapsed, c)
		}
	}
	return lapsed
}

// unknown returns workers that nothing is known about, those with the most room first; those without room only while
// too few workers are known that may run the stage.
func (s *Shard) unknown(st *stage, n int, now time.Duration) []candidate {
	var list []candidate
	room := false
	for _, w := range s.byID {
		if _, known := st.verdicts[w.id]; known || !s.allowed(st, w, now) {
			continue
		}
		free := w.free(st)
		c := candidate{w, slots(free, st.spec.Size, n), free, ""}
		room = room || c.slots > 0
		list = append(list, c)
	}
	perWorker := slots(model.Resources{Cores: 64_000, Memory: 1 << 30, Accelerators: 1 << 30}, st.spec.Size, n)
	if len(list) > 0 {
		perWorker = slots(list[0].worker.entry.Capacity, st.spec.Size, n)
	}
	workers := max(1, int(float64(n)/max(1, float64(perWorker)*freeShare)+0.999))
	if !room && len(s.goodWorkers(st, now)) >= workers+2 {
		return nil
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(b.free.Cores, a.free.Cores), cmp.Compare(a.worker.id, b.worker.id))
	})
	advice := st.job.queue.Advice
	named := max(minNamed, int(float64(workers+1)/s.goodShare(st.job.queue.Name)))
	if advice.PerWorker > 0 {
		named = min(named, max(minNamed, int(perWorkerShare*float64(advice.Decide)/float64(advice.PerWorker))))
	}
	return list[:min(named, maxNamed, len(list))]
}

func (s *Shard) goodShare(queue string) float64 {
	if share, ok := s.goodShares[queue]; ok {
		return max(share, 0.1)
	}
	return firstGoodShare
}

// reserve keeps room on the named workers until the tickets have come.
func (s *Shard) reserve(st *stage, named []candidate, n int, now time.Duration) {
	advice := st.job.queue.Advice
	s.release(st)
	st.reserved = make(map[*worker]model.Resources)
	st.reservedUntil = now + advice.Decide + time.Duration(len(named))*advice.PerWorker + reserveSlack
	for _, c := range named {
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
