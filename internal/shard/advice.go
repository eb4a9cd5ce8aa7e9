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
	adviceRetryDelay = 20 * time.Millisecond
	// renewAhead is how long beyond a call a ticket should be valid: shorter ones are renewed with it.
	ticketRenewMargin = 500 * time.Millisecond
	// askRest is the pause of a stage between calls, as a multiple of the service's time for the last one, so that a stage
	// that waits for room doesn't keep the service from others.
	advicePauseFactor = 4
	// reserveSlack is added to the time of a call while which room is kept for the stage.
	reservationMargin = 500 * time.Millisecond
)

// AdviceCall is a call for advice that may be sent now.
type AdviceCall struct {
	Question agent.Question
	// ServiceTime is the service's time for the call.
	ServiceTime time.Duration
	Urgency     Urgency
	stage       *stage
}

// Urgency orders stages: work that can still meet its objective before late work, then owed work, by priority and by
// objective.
type Urgency struct {
	missesObjective bool
	overShare       bool
	priority        int
	objective       time.Duration
}

// Compare returns a negative number if u goes first.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(compareBool(u.missesObjective, v.missesObjective), compareBool(u.overShare, v.overShare),
		cmp.Compare(u.priority, v.priority), cmp.Compare(u.objective, v.objective))
}

func (st *stage) urgency(now time.Duration) Urgency {
	return Urgency{st.missesObjective(now), st.job.overShare, st.job.queue.Priority, st.job.objective}
}

// ask sends for advice that can help n waiting tasks; it reports whether a call is under way.
func (s *Shard) requestAdvice(st *stage, n int, now time.Duration) bool {
	if st.job.queue.Advice == nil {
		return false
	}
	if st.advicePending || now < st.nextAdviceAt {
		return true
	}
	st.nextAdviceAt = 0
	if workers := s.ticketsToRenew(st, n, now); len(workers) > 0 {
		s.addAdviceCall(st, workers, now)
		return true
	}
	if workers := s.unadvisedWorkers(st, n, now); len(workers) > 0 {
		s.addAdviceCall(st, workers, now)
		return true
	}
	return false
}

// renewals returns workers that may run the stage and whose tickets have lapsed or will lapse during the call, if some of
// these have room now, and keeps that room. Work that isn't all-at-once gets tickets for workers without room as well, so
// that it needn't call again for each task that ends there.
func (s *Shard) ticketsToRenew(st *stage, n int, now time.Duration) []candidate {
	list := s.candidates(st, now, false)
	if st.spec.Gang && len(s.chooseWorkers(st, list, n)) < n {
		return nil
	}
	used, total := 0, 0
	expired := false
	for _, c := range list {
		if total >= n+n/2+1 {
			break
		}
		used++
		total += c.slots
		expired = expired || st.lapsesBy(c.worker, now+s.minTicketValidity())
	}
	if !expired {
		return nil
	}
	limit := s.workerLimit(st)
	others := list[used:]
	if st.spec.Gang {
		others = nil
	} else {
		others = append(slices.Clone(others), s.eligibleWithoutCapacity(st, list, now)...)
	}
	renewBefore := now + s.adviceTime(st, used) + s.minTicketValidity() + ticketRenewMargin
	var workers []candidate
	for _, c := range append(slices.Clone(list[:used]), others...) {
		if len(workers) < limit && st.lapsesBy(c.worker, renewBefore) {
			workers = append(workers, c)
		}
	}
	s.reserveDuringCall(st, list[:used], len(workers), n, now)
	return workers
}

// lapses reports whether the stage's ticket for the worker lapses before the given time.
func (st *stage) lapsesBy(w *worker, at time.Duration) bool { return at >= st.answers[w.id].expires }

// goodWithoutRoom returns the workers that may run the stage and aren't in the list.
func (s *Shard) eligibleWithoutCapacity(st *stage, list []candidate, now time.Duration) []candidate {
	listed := make(map[*worker]bool, len(list))
	for _, c := range list {
		listed[c.worker] = true
	}
	var out []candidate
	for _, w := range s.eligibleWorkers(st, now) {
		if !listed[w] {
			out = append(out, candidate{worker: w})
		}
	}
	return out
}

// cost is the service's time for a call that names n workers.
func (s *Shard) adviceTime(st *stage, n int) time.Duration {
	return st.job.queue.Advice.Decide + time.Duration(n)*st.job.queue.Advice.PerWorker
}

// reserve keeps room for n tasks on the workers until the tickets for some of them have come.
func (s *Shard) reserveDuringCall(st *stage, list []candidate, callSize, n int, now time.Duration) {
	s.releaseReservation(st)
	st.reservedUntil = now + s.adviceTime(st, callSize) + reservationMargin
	for _, c := range list {
		if n <= 0 {
			return
		}
		count := min(c.slots, n)
		n -= count
		st.reserve(c.worker, count)
	}
}

func (s *Shard) addAdviceCall(st *stage, workers []candidate, now time.Duration) {
	st.advicePending = true
	ids := make([]model.WorkerID, len(workers))
	for i, c := range workers {
		ids[i] = c.worker.id
	}
	cost := s.adviceTime(st, len(ids))
	s.adviceCalls = append(s.adviceCalls, AdviceCall{
		Question: agent.Question{
			Stage:   work.StageRef{Job: st.job.spec.ID, Occurrence: st.occurrence, Stage: st.index},
			Workers: ids,
		},
		ServiceTime: cost, Urgency: st.urgency(now), stage: st,
	})
}

// takeAsks returns the calls for advice decided since the last call.
func (s *Shard) takeAdviceCalls() []AdviceCall {
	calls := s.adviceCalls
	s.adviceCalls = nil
	return calls
}

// ApplyAdvice applies the answer to a call for advice.
func (s *Shard) ApplyAdvice(call AdviceCall, advice agent.Advice, err error, now time.Duration) {
	st := call.stage
	st.advicePending = false
	st.nextAdviceAt = 0
	if !st.spec.Gang {
		st.nextAdviceAt = now + advicePauseFactor*call.ServiceTime
	}
	st.retry, s.replan = true, true
	st.advisedAt = now
	if err != nil {
		s.releaseReservation(st)
		st.nextAdviceAt = now + adviceRetryDelay
		s.emit("advice-failed", string(st.job.spec.ID), "", nil, err.Error(), int64(len(call.Question.Workers)))
		return
	}
	st.reservedUntil = now + ticketMargin
	permitted := 0
	for _, id := range call.Question.Workers {
		ticket, ok := advice.Tickets[id]
		if ok {
			permitted++
		}
		st.answers[id] = workerAdvice{permitted: ok, ticket: ticket, expires: now + advice.Valid.Std()}
	}
	queue := st.job.queue.Name
	share := float64(permitted) / float64(max(1, len(call.Question.Workers)))
	if len(call.Question.Workers) >= minWorkersPerCall {
		s.permittedShares[queue] = 0.9*s.permittedShare(queue) + 0.1*share
	}
	s.emit("advised", string(st.job.spec.ID), "", nil,
		st.job.queue.Name+" named "+strconv.Itoa(len(call.Question.Workers)), int64(permitted))
}
