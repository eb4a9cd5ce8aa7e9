package shard

import "time"

// MarkCommitted notes that a commit and all before it are recorded.
func (s *Shard) MarkCommitted(batch uint64) {
	s.committed = max(s.committed, batch)
	s.commitLag, s.commitAt = s.clock-s.commitAt, 0
	s.replan = true
}

// lag is how long a decision made now probably takes to be recorded.
func (s *Shard) lag() time.Duration {
	if s.commitAt == 0 {
		return s.commitLag
	}
	return max(s.commitLag, s.clock-s.commitAt)
}

// stalled reports whether nothing can be recorded at the moment.
func (s *Shard) stalled() bool { return s.commitAt > 0 && s.clock-s.commitAt > stalledAfter }

// ticketNeeds is the least validity of a ticket with which a start is decided.
func (s *Shard) ticketNeeds() time.Duration { return ticketMargin + s.lag()*3/2 }

// TakeCommit returns what has changed since the last call, or nothing while that may wait for more; only one commit may
// be under way at a time.
func (s *Shard) TakeCommit(now time.Duration) Commit {
	c := Commit{Number: s.next}
	if !s.urgent && now-s.dirtySince < commitDelay {
		return c
	}
	s.urgent = false
	for _, j := range s.dirty {
		j.dirty = false
		c.Progress = append(c.Progress, JobProgress{ID: string(j.spec.ID), Progress: j.progress()})
	}
	s.takeDropped(&c, now)
	for len(s.finals) > 0 && now-s.finals[0].finalAt > s.cfg.Retention {
		id := s.finals[0].spec.ID
		c.Expired = append(c.Expired, string(id))
		delete(s.jobs, id)
		delete(s.cancelled, id)
		s.finals = s.finals[1:]
	}
	s.dirty = nil
	if !c.Empty() {
		s.next++
		s.commitAt = s.clock
	}
	return c
}

// takeDropped adds the submissions that need no longer be kept, gathered over a while.
func (s *Shard) takeDropped(c *Commit, now time.Duration) {
	if now-s.droppedAt < dropDelay {
		return
	}
	s.droppedAt = now
	kept := s.dropped[:0]
	for _, id := range s.dropped {
		// The submission tells a later owner the size of runs that may still be present.
		if j := s.jobs[id]; j != nil && (j.finalBatch > s.committed || j.hasRuns()) {
			kept = append(kept, id)
			continue
		}
		c.Dropped = append(c.Dropped, string(id))
	}
	s.dropped = kept
}

// CommitDue reports whether there is something to record now.
func (s *Shard) CommitDue(now time.Duration) bool {
	return s.urgent || (len(s.dirty) > 0 && now-s.dirtySince >= commitDelay) ||
		(len(s.dropped) > 0 && now-s.droppedAt >= dropDelay)
}
