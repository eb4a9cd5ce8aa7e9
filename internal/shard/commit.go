package shard

import (
	"time"

	"arbutuswing.example/internal/model"
)

// MarkCommitted marks the commit with this number and all earlier ones as recorded.
func (s *Shard) MarkCommitted(number uint64) {
	s.lastCommitted = max(s.lastCommitted, number)
	s.commitLatency, s.commitStart = s.lastTick-s.commitStart, 0
	s.replan = true
}

// expectedLatency estimates how long a decision made now takes to be recorded.
func (s *Shard) expectedLatency() time.Duration {
	if s.commitStart == 0 {
		return s.commitLatency
	}
	return max(s.commitLatency, s.lastTick-s.commitStart)
}

// lagging reports whether commits lag: the one in progress has taken so long that no further starts should be decided.
func (s *Shard) lagging() bool { return s.commitStart > 0 && s.lastTick-s.commitStart > maxCommitTime }

// minTicketValidity returns the remaining validity that a ticket needs for a start to be decided.
func (s *Shard) minTicketValidity() time.Duration { return ticketMargin + s.expectedLatency()*3/2 }

// TakeCommit returns the changes since the last commit, or an empty commit if they can wait for further changes. Only
// one commit may be in progress at a time.
func (s *Shard) TakeCommit(now time.Duration) Commit {
	c := Commit{Number: s.nextCommit}
	if !s.commitUrgent && now-s.dirtySince < commitDelay {
		return c
	}
	s.commitUrgent = false
	for _, j := range s.dirtyJobs {
		j.dirty = false
		c.Progress = append(c.Progress, s.progressRecords(j, now)...)
	}
	s.takeDroppable(&c, now)
	// A submission that arrives again within the retention must find its job, however late it is read.
	for len(s.finalJobs) > 0 && s.inboxReadAt-s.finalJobs[0].finalAt > s.cfg.Retention && s.finalJobs[0].pendingDrops == 0 {
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

// lastChange returns the number of the commit that records the last change; without changes there may be no further commit.
func (s *Shard) lastChange() uint64 {
	if len(s.dirtyJobs) == 0 {
		return s.nextCommit - 1
	}
	return s.nextCommit
}

// NoteInboxRead notes that all submissions have been submitted that were stored by the given time.
func (s *Shard) NoteInboxRead(at time.Duration) { s.inboxReadAt = max(s.inboxReadAt, at) }

// dropSubmission requests the deletion of a final job's submission.
func (s *Shard) dropSubmission(j *job) {
	j.pendingDrops++
	s.droppable = append(s.droppable, j.spec.ID)
}

// MarkDropped marks the deletion of submissions that a commit returned as recorded.
func (s *Shard) MarkDropped(ids []string) {
	for _, id := range ids {
		if j := s.jobs[model.JobID(id)]; j != nil {
			j.pendingDrops--
		}
	}
}

// takeDroppable adds to the commit the final jobs whose submissions can be deleted, at most once per dropDelay.
func (s *Shard) takeDroppable(c *Commit, now time.Duration) {
	if now-s.lastDropAt < dropDelay {
		return
	}
	s.lastDropAt = now
	kept := s.droppable[:0]
	for _, id := range s.droppable {
		// A later owner needs the submission to know the size of runs that may still be on a worker.
		if j := s.jobs[id]; j != nil && (j.finalCommit > s.lastCommitted || j.hasRuns()) {
			kept = append(kept, id)
			continue
		}
		c.Dropped = append(c.Dropped, string(id))
	}
	s.droppable = kept
}

// CommitDue reports whether there are changes to commit now.
func (s *Shard) CommitDue(now time.Duration) bool {
	return s.commitUrgent || (len(s.dirtyJobs) > 0 && now-s.dirtySince >= commitDelay) ||
		(len(s.droppable) > 0 && now-s.lastDropAt >= dropDelay)
}
