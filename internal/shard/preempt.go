package shard

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// preempt stops runs of less urgent work that saves its progress, so that n tasks of the stage fit.
func (s *Shard) preempt(st *stage, n int, now time.Duration) {
	if st.hopeless(now) || st.job.surplus || st.spec.Scavenger || len(st.reserved) > 0 {
		return
	}
	type plan struct {
		worker  *worker
		victims []*attempt
		slots   int
	}
	var plans []plan
	total := 0
	for _, w := range s.goodWorkers(st, now) {
		p, free := plan{worker: w}, w.free(st)
		for _, a := range sortedAttempts(w) {
			if slots(free, st.spec.Size, n) >= n {
				break
			}
			if victim(st, a) {
				p.victims = append(p.victims, a)
				free = free.Plus(a.size())
			}
		}
		p.slots = slots(free, st.spec.Size, n)
		if st.spec.MaxPerWorker > 0 {
			p.slots = min(p.slots, st.spec.MaxPerWorker-st.runsOn(w))
		}
		if p.slots > 0 {
			plans = append(plans, p)
			total += p.slots
		}
	}
	if total == 0 || (st.spec.Gang && total < n) {
		return
	}
	slices.SortStableFunc(plans, func(a, b plan) int {
		return cmp.Compare(len(a.victims)*b.slots, len(b.victims)*a.slots)
	})
	st.reserved = make(map[*worker]model.Resources)
	st.reservedUntil = now + s.cfg.KillGrace + 2*ticketMargin
	for _, p := range plans {
		if n <= 0 {
			break
		}
		take := min(n, p.slots)
		n -= take
		p.worker.reservations[st] = st.spec.Size.Times(take)
		st.reserved[p.worker] = st.spec.Size.Times(take)
		for _, a := range p.victims {
			s.event("run-preempted", string(a.stage.job.spec.ID), a.ref().String(), p.worker, string(st.job.spec.ID), int64(a.run))
			s.stop(a, now)
		}
	}
}

// victim reports whether a run may be stopped for the stage: it is less urgent and loses little.
func victim(st *stage, a *attempt) bool {
	return a.phase == phaseStarted && a.stage.spec.Checkpoints && !a.stage.spec.Gang && !a.stage.spec.Service &&
		a.stage.job.queue.Priority > st.job.queue.Priority
}
