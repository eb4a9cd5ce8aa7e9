package shard

import (
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
)

// unconfirmedRun is a run that must have ended because of elapsed time; its worker may still report that it failed. Once the
// worker's lease has expired, such a report no longer counts as an attempt for the platform, even if it is acknowledged.
type unconfirmedRun struct {
	index  int
	run    int
	worker *worker
}

// goneReason is what proves that a run is gone whose end no worker has reported.
type goneReason string

const (
	goneLease       goneReason = "lease-expired"
	goneGang        goneReason = "gang-broken"
	goneNotListed   goneReason = "not-listed"
	goneIncarnation goneReason = "worker-restarted"
)

// endUnreported ends a run whose end no worker has reported. The event's value is the time since the worker's last report.
func (s *Shard) endUnreported(a *attempt, reason goneReason, outcome agent.RunOutcome, now time.Duration) {
	s.emit("run-gone", string(a.stage.job.spec.ID), a.ref().String(), a.worker, string(reason),
		(now - a.worker.lastReportAt).Milliseconds())
	s.endRun(a, outcome, "", now)
}

// presumeEnded ends a run that must have ended because of elapsed time.
func (s *Shard) presumeEnded(a *attempt, reason goneReason, outcome agent.RunOutcome, now time.Duration) {
	a.stage.unconfirmed = append(a.stage.unconfirmed, unconfirmedRun{a.index, a.run, a.worker})
	a.worker.hasUnconfirmed = true
	s.endUnreported(a, reason, outcome, now)
}

// clearUnconfirmed removes the unconfirmed runs of a worker that has reported all its ended runs.
func (s *Shard) clearUnconfirmed(w *worker) {
	if !w.hasUnconfirmed {
		return
	}
	w.hasUnconfirmed = false
	for _, st := range s.activeStages {
		if len(st.unconfirmed) > 0 {
			st.unconfirmed = slices.DeleteFunc(st.unconfirmed, func(r unconfirmedRun) bool { return r.worker == w })
			st.retry = true
		}
	}
}

// mayStart reports whether a task may be started. It may not while the start of an earlier run may arrive, or if its failures, together with those that unreachable workers
// may yet report, could reach the number that the queue allows.
func (st *stage) mayStart(index int, now time.Duration) bool {
	if now < st.tasks[index].notBefore {
		return false
	}
	st.unconfirmed = slices.DeleteFunc(st.unconfirmed, func(r unconfirmedRun) bool { return now > max(r.worker.leaseEnd, r.worker.unreportedLeaseEnd) })
	if len(st.unconfirmed) == 0 || st.spec.Service || st.spec.Speculative {
		return true
	}
	failed := make(map[int]bool)
	for i := range st.tasks {
		if i != index && !st.spec.Gang {
			continue
		}
		for _, run := range st.tasks[i].failedRuns {
			failed[run] = true
		}
	}
	for _, r := range st.unconfirmed {
		if r.index == index || st.spec.Gang {
			failed[r.run] = true
		}
	}
	return len(failed) < max(st.job.queue.Attempts, 1)
}
