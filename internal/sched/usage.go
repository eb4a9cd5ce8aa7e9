package sched

import (
	"cmp"
	"slices"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// limitUsage has patient work give way while the attempts on a worker use more memory than it has, and takes what the
// others use above their reservations out of the book. Processors above a reservation are throttled when commands are
// made.
func (p *Placer) applyMemoryUsage(s *workerState) {
	p.evictForMemory(s)
	if excess := s.memoryExcess(); excess != s.excess {
		s.excess = excess
		p.updateBook(s)
	}
}

// memoryExcess returns the memory that the running attempts use above their reservations, without those that give way.
func (s *workerState) memoryExcess() model.Mebibytes {
	var excess model.Mebibytes
	for id, t := range s.tasks {
		a := s.bound[id]
		if t.Phase == ports.PhaseRunning && a != nil && a.evictReason == evictNone && !a.stopping {
			excess += max(t.Usage.Peak.Memory-a.reservation.Memory, 0)
		}
	}
	return excess
}

func (p *Placer) evictForMemory(s *workerState) {
	used := model.Resources{}
	var patient []*attempt
	for id, t := range s.tasks {
		if t.Phase != ports.PhaseRunning {
			continue
		}
		a := s.bound[id]
		if a == nil {
			used = used.Plus(t.Usage.Peak)
			continue
		}
		if a.evictReason != evictNone || a.stopping {
			continue
		}
		used.Memory += max(t.Usage.Peak.Memory, a.reservation.Memory)
		if p.isPreemptiblePatient(a) {
			patient = append(patient, a)
		}
	}
	if used.Memory <= s.capacity.Memory {
		return
	}
	slices.SortFunc(patient, func(a, b *attempt) int { return p.compareForEviction(s, a, b) })
	for _, a := range patient {
		if used.Memory <= s.capacity.Memory {
			return
		}
		used.Memory -= max(s.tasks[a.id].Usage.Peak.Memory, a.reservation.Memory)
		p.evict(a, evictUsage)
	}
}

// byExcess orders attempts that use more than they reserved before the others, and each group by the progress lost.
func (p *Placer) compareForEviction(s *workerState, a, b *attempt) int {
	ra, rb := s.tasks[a.id], s.tasks[b.id]
	rank := func(t ports.TaskReport, a *attempt) int {
		if t.Usage.Peak.Memory > a.reservation.Memory {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(ra, a), rank(rb, b)), cmp.Compare(a.lostProgress(ra), b.lostProgress(rb)), cmp.Compare(a.seq, b.seq))
}

// throttle returns the fraction that brings an attempt back to its reserved processors, if it used more and isn't
// limited yet. Usage lags, so the limit stays.
func throttleFraction(a *attempt, t ports.TaskReport) (float64, bool) {
	if t.Throttle > 0 && t.Throttle < 1 || a.reservation.Cores <= 0 || t.Usage.Peak.Cores <= a.reservation.Cores {
		return 0, false
	}
	return float64(a.reservation.Cores) / float64(t.Usage.Peak.Cores), true
}
