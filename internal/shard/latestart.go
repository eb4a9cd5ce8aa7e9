package shard

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// waitForLateStart keeps the task from starting until a start that may reach a worker's next incarnation has arrived or is lost.
func (t *task) waitForLateStart(until, now time.Duration, worker model.WorkerID) {
	if until <= now {
		return
	}
	if t.notBefore > now && t.lateStartOn != worker {
		worker = ""
	}
	t.notBefore, t.lateStartOn = max(t.notBefore, until), worker
}

// mayStart reports whether the start of an earlier run of the task can neither arrive any more nor have brought a run to a worker
// that has not reported since.
func (s *Shard) mayStart(st *stage, index int, now time.Duration) bool {
	t := &st.tasks[index]
	if now < t.notBefore || t.notBefore == 0 {
		return t.notBefore == 0
	}
	w := s.workers[t.lateStartOn]
	return (w != nil && w.lastReportAt >= t.notBefore) || now >= s.longestLeaseEnd(t.notBefore)
}

// nextLateStart returns when to look again at the tasks that wait for late starts, or zero if there are none.
func (s *Shard) nextLateStart(st *stage, now time.Duration) time.Duration {
	next := time.Duration(0)
	for i := range st.tasks {
		if t := &st.tasks[i]; !t.done && len(t.attempts) == 0 && !s.mayStart(st, i, now) {
			at := max(t.notBefore, now+lateRetryDelay)
			if next == 0 || at < next {
				next = at
			}
		}
	}
	return next
}

// settled reports whether no start of the run is on its way, and none will be sent any more.
func (a *attempt) settled(now time.Duration) bool {
	mayBeSent := a.phase == phaseBound && a.visibleSince < 0
	return !mayBeSent && !a.startPending && now >= a.startInFlightUntil
}

// endedRunsSettled reports whether no start of an ended run of the task is on its way, or may have brought a run to a worker that has not
// reported since.
func (s *Shard) endedRunsSettled(st *stage, index int, now time.Duration) bool {
	return st.tasks[index].startsOfEnded == 0 && s.mayStart(st, index, now)
}

// noteLateStarts adds to the record of a task which of its starts may still arrive. With a ticket a start is void for the next
// incarnation of its worker, so that nothing has to be known of it.
func (s *Shard) noteLateStarts(tp *work.TaskProgress, st *stage, now time.Duration) {
	if st.job.queue.Advice != nil {
		return
	}
	t := &st.tasks[tp.Index]
	tp.Settled = s.endedRunsSettled(st, tp.Index, now)
	if !tp.Settled && t.startsOfEnded == 0 {
		tp.LateStartOn = t.lateStartOn
	}
	for i, a := range t.attempts {
		tp.Bindings[i].Settled = a.settled(now)
	}
}

// unsettledTask is a task of a queue without advice whose record says that a start may still arrive.
type unsettledTask struct {
	stage *stage
	index int
	// checkAt is when to look again.
	checkAt time.Duration
}

// recordSettled has a task recorded once no start of it is on its way, so that the next owner doesn't wait for one.
func (s *Shard) recordSettled(st *stage, index int, checkAt time.Duration) {
	if st.job.queue.Advice == nil {
		s.unsettled = append(s.unsettled, unsettledTask{st, index, checkAt})
	}
}

// checkUnsettled has the tasks recorded of which no start is on its way any more.
func (s *Shard) checkUnsettled(now time.Duration) {
	unsettled := func(a *attempt) bool { return !a.settled(now) }
	s.unsettled = slices.DeleteFunc(s.unsettled, func(u unsettledTask) bool {
		t := &u.stage.tasks[u.index]
		switch {
		case now < u.checkAt:
			return false
		case u.stage.job.final != "" || t.done:
			return true
		case !s.endedRunsSettled(u.stage, u.index, now) || slices.ContainsFunc(t.attempts, unsettled):
			return false
		}
		s.markTaskDirty(u.stage, u.index)
		return true
	})
}
