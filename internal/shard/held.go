package shard

import (
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// Hold keeps a job out of scheduling whose records this version can't decode, so that an owner that can decode them goes on
// where they end. Its runs stay on their workers, which get no further tasks meanwhile, and their ends aren't acknowledged.
// It does nothing if the job is known.
func (s *Shard) Hold(id model.JobID) {
	if s.jobs[id] != nil || s.held[id] {
		return
	}
	s.held[id] = true
	s.emit("job-held", string(id), "", nil, "", 0)
}

// holdEnd keeps the end of a run of a held job from being acknowledged. It reports whether the run's job is held.
func (s *Shard) holdEnd(w *worker, end agent.EndedRun) bool {
	if !s.held[end.Task.Job] {
		return false
	}
	if w.firstHeldEnd == 0 || end.Number < w.firstHeldEnd {
		w.firstHeldEnd = end.Number
	}
	return true
}

// holdRun reports whether the job of a reported run is held. The run's size is unknown, so that its worker gets no tasks for
// as long as it reports the run.
func (s *Shard) holdRun(w *worker, key runKey, now time.Duration) bool {
	if !s.held[key.task.Job] {
		return false
	}
	w.heldRunAt = now
	return true
}
