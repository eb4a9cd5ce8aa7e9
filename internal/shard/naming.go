package shard

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxNamed is the most workers that one call may name.
	maxNamed = 100
	// minNamed is the least number of workers named in a first call, so that one that may run the stage is among them.
	minNamed = 8
	// perWorkerShare bounds the time that naming workers adds to a call, as a share of the call's fixed time.
	perWorkerShare = 0.6
	// nameMargin is how many times the slots needed the workers named should probably have: other stages take room while
	// the call is under way.
	nameMargin = 2
	// fullSpread is how many times the room of its tasks the workers should hold, empty, that are known to be allowed to run
	// a stage, before it stops asking about workers without room.
	fullSpread = 2
	// fullSlots is the share of a slot that a worker without room counts for.
	fullSlots = 0.5
	// firstGoodShare is the assumed share of workers that may run a stage, until answers tell.
	firstGoodShare = 0.4
)

// unknown returns workers that nothing is known about, as many as probably suffice for n tasks: for a gang those with
// the most room, for others the fullest that have room, so that large holes stay. Workers without room are named only
// while too few are known that may run the stage.
func (s *Shard) unknown(st *stage, n int, now time.Duration) []candidate {
	var roomy, full []candidate
	for _, w := range s.byID {
		if _, known := st.verdicts[w.id]; known || !s.allowed(st, w, now) {
			continue
		}
		free := w.free(st)
		c := candidate{worker: w, slots: st.atMost(w, slots(free, st.spec.Size, n)), free: free}
		if c.slots > 0 {
			roomy = append(roomy, c)
		} else {
			full = append(full, c)
		}
	}
	limit := s.nameLimit(st)
	switch {
	case st.spec.Gang:
		// What counts is the room of empty workers, since a gang collects room.
		missing := max(gangSpread*n-s.goodSlots(st, n, now), n)
		for i := range roomy {
			roomy[i].slots = st.atMost(roomy[i].worker, slots(roomy[i].worker.entry.Capacity, st.spec.Size, n))
		}
		slices.SortFunc(roomy, byFree)
		slices.SortFunc(full, byFree)
		return enough(append(roomy, full...), float64(missing)/s.goodShare(st.job.queue.Name), limit)
	case len(roomy) == 0:
		if s.goodSlots(st, n, now) >= fullSpread*n {
			return nil
		}
		slices.SortFunc(full, byFree)
		return enough(full, math.Inf(1), limit)
	}
	needed := nameMargin * float64(n) / s.goodShare(st.job.queue.Name)
	if len(st.verdicts) > 0 {
		// The first call wasn't enough; most of the time of another one doesn't depend on the workers named.
		needed = math.Inf(1)
		slices.SortFunc(full, byFree)
	} else {
		full = nil
	}
	slices.SortFunc(roomy, func(a, b candidate) int {
		return cmp.Or(compareBool(a.worker.claimed(st), b.worker.claimed(st)), -byFree(a, b))
	})
	for len(roomy) > limit && slotsOf(roomy[:limit]) < needed && slotsOf(roomy[:limit]) < slotsOf(roomy[len(roomy)-limit:]) {
		roomy = roomy[1:]
	}
	return enough(append(roomy, full...), needed, limit)
}

// byFree puts the workers with the most free cores first.
func byFree(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.free.Cores, a.free.Cores), cmp.Compare(a.worker.id, b.worker.id))
}

// nameLimit bounds the workers that one call names.
func (s *Shard) nameLimit(st *stage) int {
	advice := st.job.queue.Advice
	if advice.TimePerWorker <= 0 || st.spec.Gang {
		return maxNamed
	}
	return min(maxNamed, max(minNamed, int(perWorkerShare*float64(advice.BaseTime)/float64(advice.TimePerWorker))))
}

func slotsOf(list []candidate) float64 {
	total := 0
	for _, c := range list {
		total += c.slots
	}
	return float64(total)
}

// enough returns the first of the list that together have the slots needed, at least minNamed and at most limit.
func enough(list []candidate, needed float64, limit int) []candidate {
	total := 0.0
	for i, c := range list {
		if i == limit || (i >= minNamed && total >= needed) {
			return list[:i]
		}
		total += max(float64(c.slots), fullSlots)
	}
	return list
}

func (s *Shard) goodShare(queue string) float64 {
	if share, ok := s.goodShares[queue]; ok {
		return max(share, 0.1)
	}
	return firstGoodShare
}
