package shard

import (
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
	limit, share := s.workerLimit(st), s.permittedShare(st.job.queue.Name)
	if s.adviceBudget.scarce() {
		return s.fewestUnadvised(st, n, share, limit, now)
	}
	if st.spec.Gang {
		// A gang reserves capacity until it suffices, so each worker counts with the slots that it has when empty.
		missing := max(gangCapacityFactor*n-s.eligibleSlots(st, n, now), n)
		return s.emptiestUnadvised(st, n, float64(missing)/share, limit, now)
	}
	if len(st.answers) == 0 {
		if list := s.fullestUnadvised(st, n, slotMargin*float64(n)/share, limit, now); len(list) > 0 {
			return list
		}
	}
	// The first call didn't yield enough slots. Ask about as many workers as possible, since most of a call's service time
	// is independent of their number.
	list := s.emptiestUnadvised(st, n, math.Inf(1), limit, now)
	if len(list) > 0 && list[0].slots <= 0 && s.eligibleSlots(st, n, now) >= stageCapacityFactor*n {
		return nil
	}
	return list
}

// unadvised returns a worker as a candidate for n tasks of the stage, or false if there is advice about it or it doesn't
// meet the stage's constraints. The worker may have no free capacity.
func (s *Shard) unadvised(st *stage, w *worker, n int, now time.Duration) (candidate, bool) {
	if _, known := st.answers[w.id]; known || !s.meetsConstraints(st, w, now) {
		return candidate{}, false
	}
	free := w.freeFor(st)
	return candidate{worker: w, slots: st.limitPerWorker(w, st.fits(free, n)), freeCapacity: free}, true
}

// fullestUnadvised returns the fullest workers in which a task fits and that have the slots needed in sum, at least
// minWorkersPerCall and at most limit workers. If no such workers have the slots, it returns emptier ones. Workers with
// capacity reserved for other stages come last.
func (s *Shard) fullestUnadvised(st *stage, n int, needed float64, limit int, now time.Duration) []candidate {
	var list, reserved []candidate
	total := 0.0
	for _, w := range s.workersByFreeCores() {
		if w.freeCores < st.demand().Cores {
			continue
		}
		c, ok := s.unadvised(st, w, n, now)
		if !ok || c.slots <= 0 {
			continue
		}
		if w.reservedForOther(st) {
			reserved = append(reserved, c)
			continue
		}
		list, total = append(list, c), total+float64(c.slots)
		if len(list) > limit {
			total -= float64(list[0].slots)
			list = list[1:]
		}
		if len(list) >= min(minWorkersPerCall, limit) && total >= needed {
			return list
		}
	}
	return append(list, reserved[:min(len(reserved), limit-len(list))]...)
}

// emptiestUnadvised returns the emptiest workers, those without room for a task last, that have the slots needed in sum,
// at least minWorkersPerCall and at most limit workers. The slots of a gang are those of empty workers.
func (s *Shard) emptiestUnadvised(st *stage, n int, needed float64, limit int, now time.Duration) []candidate {
	var list, reserved, full []candidate
	total := 0.0
	for _, w := range slices.Backward(s.workersByFreeCores()) {
		c, ok := s.unadvised(st, w, n, now)
		switch {
		case !ok:
			continue
		case c.slots <= 0:
			full = append(full, c)
			continue
		case !st.spec.Gang && w.reservedForOther(st):
			reserved = append(reserved, c)
			continue
		case st.spec.Gang:
			c.slots = st.limitPerWorker(w, st.fits(w.entry.Capacity, n))
		}
		list, total = append(list, c), total+float64(c.slots)
		if len(list) == limit || (len(list) >= minWorkersPerCall && total >= needed) {
			return list
		}
	}
	return firstWithSlots(slices.Concat(list, reserved, full), needed, limit)
}

// fewestUnadvised returns the fewest workers with free capacity that are likely to yield n slots together with the eligible
// workers, at least minWorkersPerCall and at most limit workers, or nil if a gang still wouldn't fit with all of them.
func (s *Shard) fewestUnadvised(st *stage, n int, share float64, limit int, now time.Duration) []candidate {
	expected, possible := expectedSlots{}, 0
	for _, c := range s.candidates(st, now, false) {
		expected, possible = expected.with(c.slots, 1), possible+c.slots
	}
	var list []candidate
	for _, w := range slices.Backward(s.workersByFreeCores()) {
		if len(list) == limit || (len(list) >= minWorkersPerCall && expected.suffices(n)) {
			break
		}
		if c, ok := s.unadvised(st, w, n, now); ok && c.slots > 0 && (st.spec.Gang || !w.reservedForOther(st)) {
			list = append(list, c)
			expected, possible = expected.with(c.slots, share), possible+c.slots
		}
	}
	if st.spec.Gang && possible < n {
		return nil
	}
	return list
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
