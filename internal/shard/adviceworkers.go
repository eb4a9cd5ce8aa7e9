package shard

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWorkersPerCall is the maximum number of workers in one advice call.
	maxWorkersPerCall = 100
	// minWorkersPerCall is the minimum number of workers in a call about workers without advice, if there are that
	// many, so that at least one of them is likely to be permitted. Smaller calls don't count in the average of
	// permitted shares.
	minWorkersPerCall = 8
	// maxPerWorkerShare bounds the service time that the workers in a call add, as a share of the call's fixed service
	// time.
	maxPerWorkerShare = 0.6
	// slotMargin is the factor by which a call's expected slots should exceed the slots needed, because other stages
	// take capacity while the call is in progress.
	slotMargin = 2
	// stageCapacityFactor is how many times a stage's waiting tasks should fit on its eligible workers if these were
	// empty. Below that, the stage also asks about workers without free capacity.
	stageCapacityFactor = 2
	// fullWorkerSlots is the number of slots that a worker without free capacity counts for.
	fullWorkerSlots = 0.5
	// initialPermittedShare is the assumed share of workers that the advice service permits, until a queue has had
	// answers.
	initialPermittedShare = 0.4
)

// unadvisedWorkers returns workers without advice for the stage, as many as are likely to suffice for n tasks: for a
// gang those with the most free capacity, for other stages those with the least free capacity in which a task fits, so
// that large free capacity remains for gangs. It includes workers without free capacity only while too few eligible
// workers are known.
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
		// A gang reserves capacity until it suffices, so each worker counts with the slots that it has when empty.
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
		// The first call didn't yield enough slots. Ask about as many workers as possible, since most of a call's
		// service time is independent of their number.
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

// compareByFree sorts the workers with the most free cores first.
func compareByFree(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.freeCapacity.Cores, a.freeCapacity.Cores), cmp.Compare(a.worker.id, b.worker.id))
}

// workerLimit returns the maximum number of workers in an advice call for the stage.
func (s *Shard) workerLimit(st *stage) int {
	advice := st.job.queue.Advice
	if advice.TimePerWorker <= 0 || st.spec.Gang {
		return maxWorkersPerCall
	}
	return min(maxWorkersPerCall,
		max(minWorkersPerCall, int(maxPerWorkerShare*float64(advice.BaseTime)/float64(advice.TimePerWorker))))
}

// totalSlots returns the number of slots of all candidates in the list.
func totalSlots(list []candidate) float64 {
	total := 0
	for _, c := range list {
		total += c.slots
	}
	return float64(total)
}

// firstWithSlots returns the shortest prefix of the list that has the slots needed, with at least minWorkersPerCall and
// at most limit workers.
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

// permittedShare returns the estimated share of workers that the advice service permits for the queue, at least 0.1
// once there were answers.
func (s *Shard) permittedShare(queue string) float64 {
	if share, ok := s.permittedShares[queue]; ok {
		return max(share, 0.1)
	}
	return initialPermittedShare
}
