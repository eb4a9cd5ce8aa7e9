package shard

import "time"

// maxStartsUnderWay is the number of starts that may be decided and not yet answered before only the most urgent stages are
// placed, of which there may be as many again. Starts that are under way wait for the owner's processor, the store and the
// workers in the order in which they were decided; the rest waits in the order of urgency.
const maxStartsUnderWay = 256

// countStartsUnderWay returns the number of starts that were decided and have not been answered or given up.
func (s *Shard) countStartsUnderWay() int {
	n := 0
	for w := range s.toCommand {
		for _, a := range w.attempts {
			// A start without an answer may have to wait for long, and holds up no other.
			if a.phase == phaseBound && a.visibleSince < 0 && !a.startUnanswered {
				n++
			}
		}
	}
	return n
}

// startsAllowed returns how many tasks of the stage may be started now, in view of the starts that are under way. A gang may
// start as a whole if one of its tasks may.
func (s *Shard) startsAllowed(st *stage, now time.Duration) int {
	limit := maxStartsUnderWay
	if st.job.queue.Priority == s.configuration.TopPriority() && !st.missesObjective(now) {
		limit *= 2
	}
	allowed := max(limit-s.startsUnderWay, 0)
	if st.spec.Gang && allowed > 0 {
		return st.spec.Count
	}
	return allowed
}
