package shard

import "time"

// MarkCommitted notes that a commit and all before it are recorded.
func (s *Shard) MarkCommitted(batch uint64) {
	s.lastCommitted = max(s.lastCommitted, batch)
	s.commitLatency, s.commitStart = s.lastTick-s.commitStart, 0
	s.replan = true
}

// lag is how long a decision made now probably takes to be recorded.
func (s *Shard) expectedLatency() time.Duration {
	if s.commitStart == 0 {
		return s.commitLatency
	}
	return max(s.commitLatency, s.lastTick-s.commitStart)
}

// stalled reports whether nothing can be recorded at the moment.
func (s *Shard) stalled() bool { return s.commitStart > 0 && s.lastTick-s.commitStart > maxCommitTime }

// ticketNeeds is the least validity of a ticket with which a start is decided.
func (s *Shard) minTicketValidity() time.Duration { return ticketMargin + s.expectedLatency()*3/2 }

// TakeCommit returns what has changed since the last call, or nothing while that may wait for more; only one commit may
// be under way at a time.
func (s *Shard) TakeCommit(now time.Duration) Commit {
	c := Commit{Number: s.nextCommit}
	if !s.commitUrgent && now-s.dirtySince < commitDelay {
		return c
	}
	s.commitUrgent = false
	for _, j := range s.dirtyJobs {
		j.dirty = false
		c.Progress = append(c.Progress, JobProgress{ID: string(j.spec.ID), Progress: j.progress()})
	}
	s.takeDroppable(&c, now)
	for len(s.finalJobs) > 0 && now-s.finalJobs[0].finalAt > s.cfg.Retention {
		id := s.finalJobs[0].spec.ID
		c.Expired = append(c.Expired, string(id))
		delete(s.jobs, id)
		delete(s.cancelled, id)
		s.finalJobs = s.finalJobs[1:]
	}
	s.dirtyJobs = nil
	if !c.Empty() {
		s.nextCommit++
		s.commitStart = s.lastTick
	}
	return c
}

// takeDropped adds the submissions that need no longer be kept, gathered over a while.
func (s *Shard) takeDroppable(c *Commit, now time.Duration) {
	if now-s.lastDropAt < dropDelay {
		return
	}
	s.lastDropAt = now
	kept := s.droppable[:0]
	for _, id := range s.droppable {
		// The submission tells a later owner the size of runs that may still be present.
		if j := s.jobs[id]; j != nil && (j.finalCommit > s.lastCommitted || j.hasRuns()) {
			kept = append(kept, id)
			continue
		}
		c.Dropped = append(c.Dropped, string(id))
	}
	s.droppable = kept
}

// CommitDue reports whether there is something to record now.
func (s *Shard) CommitDue(now time.Duration) bool {
	return s.commitUrgent || (len(s.dirtyJobs) > 0 && now-s.dirtySince >= commitDelay) ||
		(len(s.droppable) > 0 && now-s.lastDropAt >= dropDelay)
}
