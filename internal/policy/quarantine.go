package policy

import (
	"time"

	"arbutuswing.example/internal/model"
)

// Quarantine keeps work from workers that fail every task they start; it is not safe for concurrent use.
type Quarantine struct {
	cfg     Config
	workers map[model.WorkerID]*suspect
}

// suspect counts the consecutive failures of a worker.
type suspect struct {
	runs   int
	jobs   map[model.JobID]bool
	until  time.Time
	length time.Duration
	// trial is set while one task tries the worker after its quarantine.
	trial bool
}

// NewQuarantine returns a quarantine without workers.
func NewQuarantine(cfg Config) *Quarantine {
	return &Quarantine{cfg: cfg.WithDefaults(), workers: make(map[model.WorkerID]*suspect)}
}

// AttemptEnded counts the end of an attempt and reports whether it put the worker into quarantine. Ends that say nothing about
// the worker change nothing, except that they end a trial.
func (q *Quarantine) AttemptEnded(id model.WorkerID, job model.JobID, outcome model.Outcome, now time.Time) bool {
	s := q.workers[id]
	switch outcome {
	case model.OutcomeSucceeded:
		delete(q.workers, id)
		return false
	case model.OutcomeFailed:
	default:
		if s != nil {
			s.trial = false
		}
		return false
	}
	if s == nil {
		s = &suspect{jobs: make(map[model.JobID]bool)}
		q.workers[id] = s
	}
	s.runs++
	if len(s.jobs) < q.cfg.QuarantineJobs {
		s.jobs[job] = true
	}
	onTrial := s.trial
	s.trial = false
	if !onTrial && (s.runs < q.cfg.QuarantineFailures || len(s.jobs) < q.cfg.QuarantineJobs || now.Before(s.until)) {
		return false
	}
	s.length = min(max(2*s.length, q.cfg.QuarantineFirst), q.cfg.QuarantineMax)
	s.until = now.Add(s.length)
	return true
}

// Allows reports whether the worker may get a task.
func (q *Quarantine) Allows(id model.WorkerID, now time.Time) bool {
	s := q.workers[id]
	return s == nil || s.length == 0 || (!now.Before(s.until) && !s.trial)
}

// TaskAssigned tells that the worker gets a task, which is its trial if its quarantine has passed.
func (q *Quarantine) TaskAssigned(id model.WorkerID) {
	if s := q.workers[id]; s != nil && s.length > 0 {
		s.trial = true
	}
}

// TaskNotStarted tells that the task given to the worker did not start after all.
func (q *Quarantine) TaskNotStarted(id model.WorkerID) {
	if s := q.workers[id]; s != nil {
		s.trial = false
	}
}

// Blocked lists the workers that may not get a task now, with the end of their quarantine.
func (q *Quarantine) Blocked(now time.Time) map[model.WorkerID]time.Time {
	out := make(map[model.WorkerID]time.Time)
	for id, s := range q.workers {
		if !q.Allows(id, now) {
			out[id] = s.until
		}
	}
	return out
}

// Empty reports whether every worker may get any number of tasks.
func (q *Quarantine) Empty() bool { return len(q.workers) == 0 }
