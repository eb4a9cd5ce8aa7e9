package shard

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

const (
	// gangSpread is how many times the room of a gang the workers should hold, empty, that are known to be allowed to run it,
	// so that enough of them become free at about the same time.
	gangCapacityFactor = 3
	// askMore is how long a gang waits for room on the workers that it knows before it asks about further ones.
	moreAdviceDelay = 1500 * time.Millisecond
	// claimTime is how long room is kept for a gang before the choice of workers is made again.
	gangReservationTime = 200 * time.Millisecond
	// claimReady is the share of a gang's room that has to be free before its tickets are renewed: the rest becomes free
	// while the call for advice is under way.
	gangReadyShare = 0.85
	// claimShare bounds the share of a pool's capacity that is kept for gangs that collect room.
	maxGangReservedShare = 0.12
)

// gather sees to what a gang of n tasks lacks that can't be started now: advice, or room that is kept for it until it
// suffices.
func (s *Shard) prepareGang(st *stage, n int, now time.Duration) {
	advised := st.job.queue.Advice != nil
	st.waitsFor = waitAdvice
	if st.advicePending || now < st.nextAdviceAt {
		return
	}
	st.nextAdviceAt = 0
	if advised {
		if workers := s.ticketsToRenew(st, n, now); len(workers) > 0 {
			s.addAdviceCall(st, workers, now)
			return
		}
		if s.eligibleSlots(st, n, now) < gangCapacityFactor*n || now-st.advisedAt > moreAdviceDelay {
			if workers := s.unadvisedWorkers(st, n, now); len(workers) > 0 {
				s.addAdviceCall(st, workers, now)
				return
			}
		}
	}
	st.waitsFor = waitCapacity
	s.preempt(st, n, now)
	s.reserveForGang(st, n, now)
	if advised {
		if workers := s.nearlyFreeWorkers(st, n, now); len(workers) > 0 {
			s.addAdviceCall(st, workers, now)
		}
	}
}

// goodSlots returns how many tasks of the stage the empty workers could hold that may run it.
func (s *Shard) eligibleSlots(st *stage, n int, now time.Duration) int {
	total := 0
	for _, w := range s.eligibleWorkers(st, now) {
		total += st.limitPerWorker(w, slots(w.entry.Capacity, st.spec.Size, n))
	}
	return total
}

// atMost bounds the tasks of the stage on a worker by the submitter's limit.
func (st *stage) limitPerWorker(w *worker, n int) int {
	if st.spec.MaxPerWorker > 0 {
		return min(n, st.spec.MaxPerWorker-st.runsOn(w))
	}
	return n
}

// claim keeps room for a gang of n tasks on the workers where the least has to end for it. Work that isn't more urgent
// no longer starts there, so the room grows until the gang fits.
func (s *Shard) reserveForGang(st *stage, n int, now time.Duration) {
	if len(st.reserved) > 0 || st.spec.Scavenger {
		return
	}
	type option struct {
		worker *worker
		// lack is the share of the worker's capacity that has to become free.
		lack float64
	}
	var options []option
	for _, w := range s.eligibleWorkers(st, now) {
		slotCount, free := st.limitPerWorker(w, slots(w.reservableCapacity(st), st.spec.Size, n)), w.freeFor(st)
		for k := 1; k <= slotCount; k++ {
			options = append(options, option{w, st.spec.Size.Times(k).Minus(free).Dominant(w.entry.Capacity)})
		}
	}
	if len(options) < n {
		return
	}
	// One gang may always collect room, however wide or late it is.
	if others, including := s.gangReservedShare(st, n); others > 0 &&
		(including > maxGangReservedShare || st.missesObjective(now) || st.job.overShare) {
		return
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.lack, b.lack), cmp.Compare(a.worker.id, b.worker.id))
	})
	st.reservedUntil = now + gangReservationTime
	for _, p := range options[:n] {
		st.reserve(p.worker, 1)
	}
}

// claimedShare returns the share of the cores of the stage's pool that is kept for other gangs, and the share that would be
// with n tasks of the stage.
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
	return float64(reserved) / float64(total), float64(reserved+st.spec.Size.Times(n).Cores) / float64(total)
}

// almostFree returns the workers with lapsed tickets among those whose room is kept, once most of it is free.
func (s *Shard) nearlyFreeWorkers(st *stage, n int, now time.Duration) []candidate {
	freeSlots := 0
	var expiring []candidate
	for w, amount := range st.reserved {
		reservedSlots := slots(amount, st.spec.Size, n)
		freeSlots += min(reservedSlots, slots(w.freeFor(st), st.spec.Size, n))
		if st.lapsesBy(w, now+s.minTicketValidity()+ticketRenewMargin) {
			expiring = append(expiring, candidate{worker: w, slots: reservedSlots})
		}
	}
	if float64(freeSlots) < gangReadyShare*float64(n) {
		return nil
	}
	slices.SortFunc(expiring, func(a, b candidate) int { return cmp.Compare(a.worker.id, b.worker.id) })
	return expiring[:min(len(expiring), maxWorkersPerCall)]
}
