package shard

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/terms"
)

// maxLostShare bounds the work lost by preempting runs for a stage, as a share of the stage's own work.
const maxLostShare = 0.25

// preempt stops less urgent runs that save checkpoints, so that n tasks of the stage fit, unless too much work would be
// lost.
func (s *Shard) preempt(st *stage, n int, now time.Duration) {
	if st.missesObjective(now) || st.job.overShare || st.spec.Scavenger || len(st.reserved) > 0 {
		return
	}
	if now-st.preemptTriedAt < preemptRetryDelay || !s.hasLessUrgentQueue(st) {
		return
	}
	st.preemptTriedAt = now
	type plan struct {
		worker  *worker
		victims []*attempt
		slots   int
		loss    float64
	}
	var plans []plan
	total := 0
	for _, w := range s.eligibleWorkers(st, now) {
		p, free := plan{worker: w}, w.freeFor(st)
		for _, a := range s.preemptibleRuns(st, w, now) {
			if st.fits(free, n) >= n {
				break
			}
			p.victims = append(p.victims, a)
			p.loss += s.lostWork(a, now)
			free = free.Plus(a.size())
		}
		p.slots = st.limitPerWorker(w, st.fits(free, n))
		if p.slots > 0 {
			plans = append(plans, p)
			total += p.slots
		}
	}
	if total == 0 || (st.spec.Gang && total < n) {
		return
	}
	slices.SortStableFunc(plans, func(a, b plan) int {
		return cmp.Compare(a.loss*float64(b.slots), b.loss*float64(a.slots))
	})
	loss, found, limit := 0.0, 0, maxLostShare*float64(st.spec.Size.Cores)*st.spec.RunTime.Std().Seconds()
	for _, p := range plans {
		if found < n {
			found += p.slots
			loss += p.loss
		}
	}
	if loss > limit*float64(min(n, found)) {
		return
	}
	st.reservedUntil = now + s.cfg.KillGrace + 2*ticketMargin
	for _, p := range plans {
		if n <= 0 {
			break
		}
		count := min(n, p.slots)
		n -= count
		st.reserve(p.worker, count)
		for _, a := range p.victims {
			s.emit("run-preempted", string(a.stage.job.spec.ID), a.ref().String(), p.worker, string(st.job.spec.ID), int64(a.run))
			s.stopRun(a, now)
		}
	}
}

// hasLessUrgentQueue reports whether any queue is less urgent than the stage's.
func (s *Shard) hasLessUrgentQueue(st *stage) bool {
	return slices.ContainsFunc(s.configuration.Queues, func(q terms.Queue) bool { return q.Priority > st.job.queue.Priority })
}

// lostWork returns the work lost by stopping a run, in milli-core-seconds: the time since its last checkpoint, to stop
// it and to restore it, multiplied by its cores.
func (s *Shard) lostWork(a *attempt, now time.Duration) float64 {
	lost := now - a.savedAt + s.cfg.KillGrace + s.cfg.RestoreTime
	return lost.Seconds() * float64(a.stage.spec.Size.Cores)
}

// preemptibleRuns returns the runs on a worker that may be preempted for the stage, those that lose the least work
// first.
func (s *Shard) preemptibleRuns(st *stage, w *worker, now time.Duration) []*attempt {
	list := sortedAttempts(w, func(a *attempt) bool { return preemptible(st, a) })
	slices.SortStableFunc(list, func(a, b *attempt) int { return cmp.Compare(s.lostWork(a, now), s.lostWork(b, now)) })
	return list
}

// preemptible reports whether a run may be preempted for the stage: it has started, saves checkpoints, belongs to
// neither a gang nor a service, and is less urgent.
func preemptible(st *stage, a *attempt) bool {
	return a.phase == phaseStarted && a.stage.spec.Checkpoints && !a.stage.spec.Gang && !a.stage.spec.Service &&
		a.stage.job.queue.Priority > st.job.queue.Priority
}
