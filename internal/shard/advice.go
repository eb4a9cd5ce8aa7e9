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
	// maxChoiceAge is how long a stage may wait for its call before the workers to name are chosen again.
	maxChoiceAge = 20 * time.Millisecond
	// renewalDivisor gives the slots, as a fraction of the tasks, that a renewal covers beyond the tasks, because other stages
	// take capacity during the call; scarceRenewalDivisor replaces it while advice is scarce.
	renewalDivisor       = 2
	scarceRenewalDivisor = 8
	// reservationMargin is added to the service time of an advice call to bound how long capacity stays reserved for
	// the stage.
	reservationMargin = 500 * time.Millisecond
)

// AdviceCall is a call to the placement advice service that may be sent now.
type AdviceCall struct {
	Request agent.AdviceRequest
	// ServiceTime is how long the advice service is expected to take to process the call.
	ServiceTime time.Duration
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
	return cmp.Or(u.compareClass(v), cmp.Compare(u.objective, v.objective))
}

// compareClass compares without the objectives.
func (u Urgency) compareClass(v Urgency) int {
	return cmp.Or(compareBool(u.missesObjective, v.missesObjective), compareBool(u.overShare, v.overShare),
		cmp.Compare(u.priority, v.priority))
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
		s.addAdviceRequest(st, workers, now)
		return true
	}
	if workers := s.unadvisedWorkers(st, n, now); len(workers) > 0 {
		s.addAdviceRequest(st, workers, now)
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
		if total >= n+n/s.renewalDivisor()+1 {
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
	if st.spec.Gang || s.adviceBudget.scarce() {
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

// renewalDivisor returns the divisor of the tasks that gives the spare slots of a renewal.
func (s *Shard) renewalDivisor() int {
	if s.adviceBudget.scarce() {
		return scarceRenewalDivisor
	}
	return renewalDivisor
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

// addAdviceRequest lets a stage wait for an advice call about the workers.
func (s *Shard) addAdviceRequest(st *stage, workers []candidate, now time.Duration) {
	st.advicePending = true
	s.adviceRequests = append(s.adviceRequests, adviceRequest{
		stage: st, since: now, serviceTime: s.adviceTime(st, len(workers)), workers: workers, chosenAt: now,
	})
	s.adviceBudget = s.adviceBudget.withBacklog(s.adviceRequests)
}

// NextAdviceCall returns the advice call to send next, or false if no node can take one that waits. The caller must pass the
// answer back with ApplyAdvice.
func (s *Shard) NextAdviceCall(nodes AdviceNodes, now time.Duration) (AdviceCall, bool) {
	s.adviceBudget = s.adviceBudget.withNodes(nodes.Count)
	for len(s.adviceRequests) > 0 && !s.stopped {
		i, overdue := s.adviceBudget.next(s.adviceRequests, nodes.LongestCall, now)
		if i < 0 {
			break
		}
		r := &s.adviceRequests[i]
		if now-r.chosenAt > maxChoiceAge {
			r.workers, r.chosenAt = s.chooseAgain(r.stage, now), now
			r.serviceTime = s.adviceTime(r.stage, len(r.workers))
		}
		if len(r.workers) > 0 && r.serviceTime > nodes.LongestCall {
			continue
		}
		chosen := *r
		s.adviceRequests = slices.Delete(s.adviceRequests, i, i+1)
		s.adviceBudget = s.adviceBudget.withBacklog(s.adviceRequests)
		if len(chosen.workers) == 0 {
			chosen.stage.advicePending = false
			chosen.stage.retry, s.replan = true, true
			continue
		}
		s.adviceBudget = s.adviceBudget.withServed(chosen.serviceTime, overdue)
		chosen.stage.adviceSent = true
		return chosen.call(), true
	}
	return AdviceCall{}, false
}

func (r adviceRequest) call() AdviceCall {
	ids := make([]model.WorkerID, len(r.workers))
	for i, c := range r.workers {
		ids[i] = c.worker.id
	}
	return AdviceCall{
		Request: agent.AdviceRequest{
			Stage:   work.StageRef{Job: r.stage.job.spec.ID, Occurrence: r.stage.occurrence, Stage: r.stage.index},
			Workers: ids,
		},
		ServiceTime: r.serviceTime, stage: r.stage,
	}
}

// chooseAgain returns the workers to name for a stage that has waited for its call, or nil if a call is of no use any more.
func (s *Shard) chooseAgain(st *stage, now time.Duration) []candidate {
	n := s.startableTasks(st, now)
	if n == 0 {
		return nil
	}
	if workers := s.ticketsToRenew(st, n, now); len(workers) > 0 {
		return workers
	}
	if st.spec.Gang && !s.needsMoreWorkers(st, n, now) {
		return s.reservedTicketsToRenew(st, n, now)
	}
	return s.unadvisedWorkers(st, n, now)
}

// startableTasks returns how many tasks of the stage may be started once there is advice and capacity.
func (s *Shard) startableTasks(st *stage, now time.Duration) int {
	if !st.job.open() || st.job.queue.Advice == nil {
		return 0
	}
	waiting := slices.DeleteFunc(st.waitingTasks(), func(index int) bool { return !s.mayStart(st, index, now) })
	allowed := s.teamLimitSlots(st, len(waiting))
	if st.spec.Gang && (len(waiting) < st.spec.Count || allowed < len(waiting)) {
		return 0
	}
	return allowed
}

// dropAdviceRequests removes the requests of a job that has become final.
func (s *Shard) dropAdviceRequests(j *job) {
	s.adviceRequests = slices.DeleteFunc(s.adviceRequests, func(r adviceRequest) bool { return r.stage.job == j })
	s.adviceBudget = s.adviceBudget.withBacklog(s.adviceRequests)
}

// ApplyAdvice applies the answer to an advice call, or its error.
func (s *Shard) ApplyAdvice(call AdviceCall, advice agent.Advice, err error, now time.Duration) {
	st := call.stage
	st.advicePending, st.adviceSent = false, false
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
	permitted, asked, newlyPermitted := 0, 0, 0
	for _, id := range call.Request.Workers {
		ticket, ok := advice.Tickets[id]
		if _, renewed := st.answers[id]; !renewed {
			asked++
			if ok {
				newlyPermitted++
			}
		}
		if ok {
			permitted++
			st.ticketsValidUntil = now + advice.Valid.Std()
			if w := s.workers[id]; w != nil {
				w.permittedFor[st] = true
			}
		}
		st.answers[id] = workerAdvice{
			permitted: ok, ticket: ticket, expires: now + advice.Valid.Std(),
			validUntil: now + onSlowestClock(advice.Valid.Std()) + leaseExpiryMargin,
		}
	}
	queue := st.job.queue.Name
	if asked >= minWorkersPerCall {
		s.permittedShares[queue] = 0.9*s.permittedShare(queue) + 0.1*float64(newlyPermitted)/float64(asked)
	}
	s.emit("advised", string(st.job.spec.ID), "", nil,
		st.job.queue.Name+" named "+strconv.Itoa(len(call.Request.Workers)), int64(permitted))
}
