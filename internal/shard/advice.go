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
	// adviceRetryDelay is the pause after a failed advice call.
	adviceRetryDelay = 20 * time.Millisecond
	// ticketRenewMargin is how long a ticket should remain valid after an advice call returns. Tickets with less time
	// left are renewed in the same call.
	ticketRenewMargin = 500 * time.Millisecond
	// advicePauseFactor times the service time of a stage's last advice call is the pause before its next call, so that
	// a stage that waits for capacity doesn't keep the advice service from serving others.
	advicePauseFactor = 4
	// reservationMargin is added to the service time of an advice call to bound how long capacity stays reserved for
	// the stage.
	reservationMargin = 500 * time.Millisecond
)

// AdviceCall is a call to the placement advice service that may be sent now.
type AdviceCall struct {
	Request agent.AdviceRequest
	// ServiceTime is how long the advice service is expected to take to process the call.
	ServiceTime time.Duration
	Urgency     Urgency
	stage       *stage
}

// Urgency is the scheduling order of stages: stages that can still meet their objective come before late ones, then
// work within its team's share before work above it, then lower priority values, then earlier objectives.
type Urgency struct {
	missesObjective bool
	overShare       bool
	priority        int
	objective       time.Duration
}

// Compare returns a negative number if u is more urgent than v, a positive one if v is, and zero if they are equal.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(compareBool(u.missesObjective, v.missesObjective), compareBool(u.overShare, v.overShare),
		cmp.Compare(u.priority, v.priority), cmp.Compare(u.objective, v.objective))
}

func (st *stage) urgency(now time.Duration) Urgency {
	return Urgency{st.missesObjective(now), st.job.overShare, st.job.queue.Priority, st.job.objective}
}

// requestAdvice queues an advice call that can help to place n waiting tasks. It reports whether the stage has to wait
// for advice: a call is in progress or queued, or the pause since the last one is not over.
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

// ticketsToRenew returns eligible workers whose tickets have expired or would expire during an advice call. It returns
// nil if the tickets of the workers that are preferred for the n tasks are valid, or if a gang doesn't fit. Otherwise it
// reserves capacity on the preferred workers. For stages that aren't gangs it also returns workers without free capacity,
// so that the stage needs no further call each time a task ends there.
func (s *Shard) ticketsToRenew(st *stage, n int, now time.Duration) []candidate {
	list := s.candidates(st, now, false)
	if st.spec.Gang && len(s.chooseWorkers(st, list, n)) < n {
		return nil
	}
	preferred, total := 0, 0
	expired := false
	for _, c := range list {
		if total >= n+n/2+1 {
			break
		}
		preferred++
		total += c.slots
		expired = expired || st.expiresBy(c.worker, now+s.minTicketValidity())
	}
	if !expired {
		return nil
	}
	limit := s.workerLimit(st)
	others := list[preferred:]
	if st.spec.Gang {
		others = nil
	} else {
		others = append(slices.Clone(others), s.eligibleWithoutCapacity(st, list, now)...)
	}
	renewBefore := now + s.adviceTime(st, preferred) + s.minTicketValidity() + ticketRenewMargin
	var workers []candidate
	for _, c := range append(slices.Clone(list[:preferred]), others...) {
		if len(workers) < limit && st.expiresBy(c.worker, renewBefore) {
			workers = append(workers, c)
		}
	}
	s.reserveDuringCall(st, list[:preferred], len(workers), n, now)
	return workers
}

// expiresBy reports whether the stage's ticket for the worker has expired at the given time, or there is none.
func (st *stage) expiresBy(w *worker, at time.Duration) bool { return at >= st.answers[w.id].expires }

// eligibleWithoutCapacity returns the eligible workers that are not in the list.
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

// adviceTime returns the expected service time of a call about n workers.
func (s *Shard) adviceTime(st *stage, n int) time.Duration {
	return st.job.queue.Advice.BaseTime + time.Duration(n)*st.job.queue.Advice.TimePerWorker
}

// reserveDuringCall reserves capacity for n tasks on the workers until the advice call has returned with new tickets.
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
	serviceTime := s.adviceTime(st, len(ids))
	s.adviceCalls = append(s.adviceCalls, AdviceCall{
		Request: agent.AdviceRequest{
			Stage:   work.StageRef{Job: st.job.spec.ID, Occurrence: st.occurrence, Stage: st.index},
			Workers: ids,
		},
		ServiceTime: serviceTime, Urgency: st.urgency(now), stage: st,
	})
}

// takeAdviceCalls returns the advice calls queued since the last time and clears the queue.
func (s *Shard) takeAdviceCalls() []AdviceCall {
	calls := s.adviceCalls
	s.adviceCalls = nil
	return calls
}

// ApplyAdvice applies the answer to an advice call, or its error.
func (s *Shard) ApplyAdvice(call AdviceCall, advice agent.Advice, err error, now time.Duration) {
	st := call.stage
	st.advicePending = false
	if !st.job.open() {
		return
	}
	st.nextAdviceAt = 0
	if !st.spec.Gang {
		st.nextAdviceAt = now + advicePauseFactor*call.ServiceTime
	}
	st.retry, s.replan = true, true
	st.advisedAt = now
	if err != nil {
		s.releaseReservation(st)
		st.nextAdviceAt = now + adviceRetryDelay
		s.emit("advice-failed", string(st.job.spec.ID), "", nil, err.Error(), int64(len(call.Request.Workers)))
		return
	}
	st.reservedUntil = now + ticketMargin
	permitted := 0
	for _, id := range call.Request.Workers {
		ticket, ok := advice.Tickets[id]
		if ok {
			permitted++
			if w := s.workers[id]; w != nil {
				w.permittedFor[st] = true
			}
		}
		st.answers[id] = workerAdvice{permitted: ok, ticket: ticket, expires: now + advice.Valid.Std()}
	}
	queue := st.job.queue.Name
	share := float64(permitted) / float64(max(1, len(call.Request.Workers)))
	if len(call.Request.Workers) >= minWorkersPerCall {
		s.permittedShares[queue] = 0.9*s.permittedShare(queue) + 0.1*share
	}
	s.emit("advised", string(st.job.spec.ID), "", nil,
		st.job.queue.Name+" named "+strconv.Itoa(len(call.Request.Workers)), int64(permitted))
}
