package shard

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxNamed is the most workers that one call may name.
	maxWorkersPerCall = 100
	// minNamed is the least number of workers named in a first call, so that one that may run the stage is among them.
	minWorkersPerCall = 8
	// perWorkerShare bounds the time that naming workers adds to a call, as a share of the call's fixed time.
	maxPerWorkerShare = 0.6
	// nameMargin is how many times the slots needed the workers named should probably have: other stages take room while
	// the call is under way.
	slotMargin = 2
	// fullSpread is how many times the room of its tasks the workers should hold, empty, that are known to be allowed to run
	// a stage, before it stops asking about workers without room.
	stageCapacityFactor = 2
	// fullSlots is the share of a slot that a worker without room counts for.
	fullWorkerSlots = 0.5
	// firstGoodShare is the assumed share of workers that may run a stage, until answers tell.
	initialPermittedShare = 0.4
)

// unknown returns workers that nothing is known about, as many as probably suffice for n tasks: for a gang those with
// the most room, for others the fullest that have room, so that large holes stay. Workers without room are named only
// while too few are known that may run the stage.
func (s *Shard) unadvisedWorkers(st *stage, n int, now time.Duration) []candidate {
	var notFull, full []candidate
	for _, w := range s.workersByID {
		if _, known := st.answers[w.id]; known || !s.meetsConstraints(st, w, now) {
			continue
		}
		free := w.freeFor(st)
		c := candidate{worker: w, slots: st.limitPerWorker(w, slots(free, st.spec.Size, n)), freeCapacity: free}
		if c.slots > 0 {
			notFull = append(notFull, c)
		} else {
			full = append(full, c)
		}
	}
	limit := s.workerLimit(st)
	switch {
	case st.spec.Gang:
		// What counts is the room of empty workers, since a gang collects room.
		missing := max(gangCapacityFactor*n-s.eligibleSlots(st, n, now), n)
		for i := range notFull {
			notFull[i].slots = st.limitPerWorker(notFull[i].worker, slots(notFull[i].worker.entry.Capacity, st.spec.Size, n))
		}
		slices.SortFunc(notFull, compareByFree)
		slices.SortFunc(full, compareByFree)
		return firstWithSlots(append(notFull, full...), float64(missing)/s.permittedShare(st.job.queue.Name), limit)
	case len(notFull) == 0:
		if s.eligibleSlots(st, n, now) >= stageCapacityFactor*n {
			return nil
		}
		slices.SortFunc(full, compareByFree)
		return firstWithSlots(full, math.Inf(1), limit)
	}
	needed := slotMargin * float64(n) / s.permittedShare(st.job.queue.Name)
	if len(st.answers) > 0 {
		// The first call wasn't enough; most of the time of another one doesn't depend on the workers named.
		needed = math.Inf(1)
		slices.SortFunc(full, compareByFree)
	} else {
		full = nil
	}
	slices.SortFunc(notFull, func(a, b candidate) int {
		return cmp.Or(compareBool(a.worker.reservedForOther(st), b.worker.reservedForOther(st)), -compareByFree(a, b))
	})
	for len(notFull) > limit && totalSlots(notFull[:limit]) < needed &&
		totalSlots(notFull[:limit]) < totalSlots(notFull[len(notFull)-limit:]) {
		notFull = notFull[1:]
	}
	return firstWithSlots(append(notFull, full...), needed, limit)
}

// byFree puts the workers with the most free cores first.
func compareByFree(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.freeCapacity.Cores, a.freeCapacity.Cores), cmp.Compare(a.worker.id, b.worker.id))
}

// nameLimit bounds the workers that one call names.
func (s *Shard) workerLimit(st *stage) int {
	advice := st.job.queue.Advice
	if advice.PerWorker <= 0 || st.spec.Gang {
		return maxWorkersPerCall
	}
	return min(maxWorkersPerCall, max(minWorkersPerCall, int(maxPerWorkerShare*float64(advice.Decide)/float64(advice.PerWorker))))
}

func totalSlots(list []candidate) float64 {
	total := 0
	for _, c := range list {
		total += c.slots
	}
	return float64(total)
}

// enough returns the first of the list that together have the slots needed, at least minNamed and at most limit.
func firstWithSlots(list []candidate, needed float64, limit int) []candidate {
	total := 0.0
	for i, c := range list {
		if i == limit || (i >= minWorkersPerCall && total >= needed) {
			return list[:i]
		}
		total += max(float64(c.slots), fullWorkerSlots)
	}
	return list
}

func (s *Shard) permittedShare(queue string) float64 {
	if share, ok := s.permittedShares[queue]; ok {
		return max(share, 0.1)
	}
	return initialPermittedShare
}
