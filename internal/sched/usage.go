package sched

import (
	"cmp"
	"slices"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// applyMemoryUsage evicts best-effort work while the attempts on a worker use more memory than it has, and reduces the
// worker's capacity in the book by what the others use above their reservations. Processor use above a reservation is
// throttled in Commands.
func (p *Placer) applyMemoryUsage(s *workerState) {
	p.evictForMemory(s)
	if excess := s.memoryExcess(); excess != s.excess {
		s.excess = excess
		p.updateBook(s)
	}
}

// memoryExcess returns the memory that running attempts use above their reservations, except attempts that are being
// stopped.
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

// evictForMemory evicts patient attempts until the remaining ones fit into the worker's memory.
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

// compareForEviction sorts attempts that use more memory than they reserved before the others, and each group by the
// progress that an eviction would lose.
func (p *Placer) compareForEviction(s *workerState, a, b *attempt) int {
	ra, rb := s.tasks[a.id], s.tasks[b.id]
	rank := func(t ports.TaskReport, a *attempt) int {
		if t.Usage.Peak.Memory > a.reservation.Memory {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(ra, a), rank(rb, b)), cmp.Compare(a.lostProgress(ra), b.lostProgress(rb)),
		cmp.Compare(a.seq, b.seq))
}

// throttleFraction returns the fraction that limits an attempt to its reserved processors, if it uses more and is not
// limited yet. Usage is reported late, so a limit is never lifted.
func throttleFraction(a *attempt, t ports.TaskReport) (float64, bool) {
	if t.Throttle > 0 && t.Throttle < 1 || a.reservation.Cores <= 0 || t.Usage.Peak.Cores <= a.reservation.Cores {
		return 0, false
	}
	return float64(a.reservation.Cores) / float64(t.Usage.Peak.Cores), true
}
