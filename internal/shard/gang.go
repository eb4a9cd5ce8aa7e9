package shard

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

const (
	// gangCapacityFactor is how many times a gang should fit on its eligible workers if these were empty, so that
	// enough of them become free at about the same time.
	gangCapacityFactor = 3
	// moreAdviceDelay is how long a gang waits for capacity on its eligible workers before it asks for advice about
	// others.
	moreAdviceDelay = 1500 * time.Millisecond
	// gangReservationTime is how long capacity is reserved for a gang before its workers are chosen again.
	gangReservationTime = 200 * time.Millisecond
	// gangReadyShare is the share of a gang's slots that must be free before its tickets are renewed. The rest is
	// expected to become free during the advice call.
	gangReadyShare = 0.85
	// maxGangReservedShare bounds the share of a pool's capacity that is reserved for gangs.
	maxGangReservedShare = 0.12
)

// prepareGang handles a gang whose n tasks can't be started now: it asks for advice, preempts other runs, or reserves
// capacity until the gang fits.
func (s *Shard) prepareGang(st *stage, n int, now time.Duration) {
	advised := st.job.queue.Advice != nil
	st.waitsFor = waitAdvice
	if st.advicePending || now < st.nextAdviceAt {
		return
	}
	st.nextAdviceAt = 0
	eligibleSlots := s.eligibleSlots(st, n, now)
	if advised {
		if workers := s.ticketsToRenew(st, n, now); len(workers) > 0 {
			s.addAdviceRequest(st, workers, now)
			return
		}
		if s.needsMoreWorkers(st, n, now) {
			if workers := s.unadvisedWorkers(st, n, now); len(workers) > 0 {
				s.addAdviceRequest(st, workers, now)
				return
			}
		}
	}
	if eligibleSlots < n {
		st.waitsFor = waitWorker
		return
	}
	st.waitsFor = waitCapacity
	s.preempt(st, n, now)
	s.reserveForGang(st, n, now)
	if advised {
		if workers := s.reservedTicketsToRenew(st, n, now); len(workers) > 0 {
			s.addAdviceRequest(st, workers, now)
		}
	}
}

// needsMoreWorkers reports whether a gang of n tasks should ask for advice about further workers. While advice is scarce, it
// asks only if it lacks free capacity on its eligible workers, but at once, before the tickets that it has expire.
func (s *Shard) needsMoreWorkers(st *stage, n int, now time.Duration) bool {
	if s.adviceBudget.scarce() {
		return len(fillSlots(s.candidates(st, now, false), n)) < n
	}
	return s.eligibleSlots(st, n, now) < gangCapacityFactor*n || now-st.advisedAt > moreAdviceDelay
}

// eligibleSlots returns how many of n tasks would fit on each eligible worker if it were empty, summed over the
// workers.
func (s *Shard) eligibleSlots(st *stage, n int, now time.Duration) int {
	total := 0
	for _, w := range s.eligibleWorkers(st, now) {
		total += st.limitPerWorker(w, st.fits(w.entry.Capacity, n))
	}
	return total
}

// limitPerWorker limits n further tasks of the stage on a worker to the maximum that the submitter set.
func (st *stage) limitPerWorker(w *worker, n int) int {
	if st.spec.MaxPerWorker > 0 {
		return min(n, st.spec.MaxPerWorker-st.runsOn(w))
	}
	return n
}

// reserveForGang reserves capacity for a gang of n tasks on the workers where the least capacity has to become free.
// Work that isn't more urgent no longer starts there, so the free capacity grows until the gang fits.
func (s *Shard) reserveForGang(st *stage, n int, now time.Duration) {
	if len(st.reserved) > 0 || st.spec.Scavenger {
		return
	}
	type option struct {
		worker *worker
		// lack is the share of the worker's capacity that still has to become free.
		lack float64
	}
	var options []option
	for _, w := range s.eligibleWorkers(st, now) {
		slotCount, free := st.limitPerWorker(w, st.fits(w.reservableCapacity(st), n)), w.freeFor(st)
		for k := 1; k <= slotCount; k++ {
			options = append(options, option{w, st.demand().Times(k).Minus(free).DominantShare(w.entry.Capacity)})
		}
	}
	if len(options) < n {
		return
	}
	// One gang may always reserve capacity, whatever its size and however late it is; otherwise a large gang might
	// never start.
	if others, including := s.gangReservedShare(st, n); others > 0 &&
		(including > maxGangReservedShare || st.missesObjective(now) || st.job.overShare) {
		return
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.lack, b.lack), cmp.Compare(a.worker.id, b.worker.id))
	})
	st.reservedUntil = now + gangReservationTime
	for _, chosen := range options[:n] {
		st.reserve(chosen.worker, 1)
	}
}

// gangReservedShare returns the share of the pool's cores that is reserved for other gangs, and that share with n tasks
// of the stage added.
func (s *Shard) gangReservedShare(st *stage, n int) (others, including float64) {
	reserved, total := model.MilliCores(0), model.MilliCores(0)
	for _, w := range s.workersByID {
		if w.entry.Pool != st.job.queue.Pool {
			continue
		}
		total += w.entry.Capacity.Cores
		for other, amount := range w.reservations {
			if other != st && other.spec.Gang {
				reserved += amount.Cores
			}
		}
	}
	total = max(total, 1)
	return float64(reserved) / float64(total), float64(reserved+st.demand().Times(n).Cores) / float64(total)
}

// reservedTicketsToRenew returns the workers with capacity reserved for the gang whose tickets need to be renewed. It
// returns nil until gangReadyShare of the n slots are free.
func (s *Shard) reservedTicketsToRenew(st *stage, n int, now time.Duration) []candidate {
	freeSlots := 0
	var expiring []candidate
	for w, amount := range st.reserved {
		reservedSlots := st.fits(amount, n)
		freeSlots += min(reservedSlots, st.fits(w.freeFor(st), n))
		if st.expiresBy(w, now+s.minTicketValidity()+ticketRenewMargin) {
			expiring = append(expiring, candidate{worker: w, slots: reservedSlots})
		}
	}
	if float64(freeSlots) < gangReadyShare*float64(n) {
		return nil
	}
	slices.SortFunc(expiring, func(a, b candidate) int { return cmp.Compare(a.worker.id, b.worker.id) })
	return expiring[:min(len(expiring), maxWorkersPerCall)]
}
