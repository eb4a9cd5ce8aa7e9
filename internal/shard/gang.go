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
	gangSpread = 3
	// askMore is how long a gang waits for room on the workers that it knows before it asks about further ones.
	askMore = 1500 * time.Millisecond
	// claimTime is how long room is kept for a gang before the choice of workers is made again.
	claimTime = 200 * time.Millisecond
	// claimReady is the share of a gang's room that has to be free before its tickets are renewed: the rest becomes free
	// while the call for advice is under way.
	claimReady = 0.85
	// claimShare bounds the share of a pool's capacity that is kept for gangs that collect room.
	claimShare = 0.12
)

// gather sees to what a gang of n tasks lacks that can't be started now: advice, or room that is kept for it until it
// suffices.
func (s *Shard) gather(st *stage, n int, now time.Duration) {
	advised := st.job.queue.Advice != nil
	st.waitsFor = waitAdvice
	if st.asking || now < st.askAfter {
		return
	}
	st.askAfter = 0
	if advised {
		if named := s.renewals(st, n, now); len(named) > 0 {
			s.sendAsk(st, named, now)
			return
		}
		if s.goodSlots(st, n, now) < gangSpread*n || now-st.advisedAt > askMore {
			if named := s.unknown(st, n, now); len(named) > 0 {
				s.sendAsk(st, named, now)
				return
			}
		}
	}
	st.waitsFor = waitRoom
	s.preempt(st, n, now)
	s.claim(st, n, now)
	if advised {
		if named := s.almostFree(st, n, now); len(named) > 0 {
			s.sendAsk(st, named, now)
		}
	}
}

// goodSlots returns how many tasks of the stage the empty workers could hold that may run it.
func (s *Shard) goodSlots(st *stage, n int, now time.Duration) int {
	total := 0
	for _, w := range s.goodWorkers(st, now) {
		total += st.atMost(w, slots(w.entry.Capacity, st.spec.Size, n))
	}
	return total
}

// atMost bounds the tasks of the stage on a worker by the submitter's limit.
func (st *stage) atMost(w *worker, n int) int {
	if st.spec.MaxPerWorker > 0 {
		return min(n, st.spec.MaxPerWorker-st.runsOn(w))
	}
	return n
}

// claim keeps room for a gang of n tasks on the workers where the least has to end for it. Work that isn't more urgent
// no longer starts there, so the room grows until the gang fits.
func (s *Shard) claim(st *stage, n int, now time.Duration) {
	if len(st.reserved) > 0 || st.spec.Scavenger {
		return
	}
	type place struct {
		worker *worker
		// lack is the share of the worker's capacity that has to become free.
		lack float64
	}
	var places []place
	for _, w := range s.goodWorkers(st, now) {
		fits, free := st.atMost(w, slots(w.claimable(st), st.spec.Size, n)), w.free(st)
		for k := 1; k <= fits; k++ {
			places = append(places, place{w, st.spec.Size.Times(k).Minus(free).DominantShare(w.entry.Capacity)})
		}
	}
	if len(places) < n {
		return
	}
	// One gang may always collect room, however wide or late it is.
	if others, all := s.claimedShare(st, n); others > 0 && (all > claimShare || st.hopeless(now) || st.job.surplus) {
		return
	}
	slices.SortStableFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.lack, b.lack), cmp.Compare(a.worker.id, b.worker.id))
	})
	st.reservedUntil = now + claimTime
	for _, p := range places[:n] {
		st.reserve(p.worker, 1)
	}
}

// claimedShare returns the share of the cores of the stage's pool that is kept for other gangs, and the share that would be
// with n tasks of the stage.
func (s *Shard) claimedShare(st *stage, n int) (others, with float64) {
	kept, all := model.MilliCores(0), model.MilliCores(0)
	for _, w := range s.byID {
		if w.entry.Pool != st.job.queue.Pool {
			continue
		}
		all += w.entry.Capacity.Cores
		for other, room := range w.reservations {
			if other != st && other.spec.Gang {
				kept += room.Cores
			}
		}
	}
	all = max(all, 1)
	return float64(kept) / float64(all), float64(kept+st.spec.Size.Times(n).Cores) / float64(all)
}

// almostFree returns the workers with lapsed tickets among those whose room is kept, once most of it is free.
func (s *Shard) almostFree(st *stage, n int, now time.Duration) []candidate {
	free := 0
	var lapsed []candidate
	for w, room := range st.reserved {
		kept := slots(room, st.spec.Size, n)
		free += min(kept, slots(w.free(st), st.spec.Size, n))
		if st.lapses(w, now+s.ticketNeeds()+renewAhead) {
			lapsed = append(lapsed, candidate{worker: w, slots: kept})
		}
	}
	if float64(free) < claimReady*float64(n) {
		return nil
	}
	slices.SortFunc(lapsed, func(a, b candidate) int { return cmp.Compare(a.worker.id, b.worker.id) })
	return lapsed[:min(len(lapsed), maxNamed)]
}
