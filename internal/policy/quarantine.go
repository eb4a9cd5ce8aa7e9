package policy

import (
	"time"

	"arbutuswing.example/internal/model"
)

// Quarantine keeps tasks away from workers whose tasks keep failing. After its quarantine a worker gets a single task on
// trial: if that fails too, the worker is quarantined for twice as long. It is not safe for concurrent use.
type Quarantine struct {
	cfg Config
	// workers holds the workers that have failed since their last success.
	workers map[model.WorkerID]*failureRecord
}

// failureRecord holds the consecutive failures of a worker.
type failureRecord struct {
	failures int
	// jobs holds the jobs that failed, at most Config.QuarantineJobs.
	jobs map[model.JobID]bool
	// until is the end of the quarantine, and duration its length; both are zero if there was none yet.
	until    time.Time
	duration time.Duration
	// trialRunning is true while the worker has its task on trial.
	trialRunning bool
}

// NewQuarantine returns a quarantine that has seen no failure.
func NewQuarantine(cfg Config) *Quarantine {
	return &Quarantine{cfg: cfg.WithDefaults(), workers: make(map[model.WorkerID]*failureRecord)}
}

// AttemptEnded records the outcome of an attempt and reports whether it put the worker into quarantine. A success clears
// the worker's failures. Outcomes other than success and failure only end a trial, because they don't depend on the
// worker.
func (q *Quarantine) AttemptEnded(id model.WorkerID, job model.JobID, outcome model.Outcome, now time.Time) bool {
	r := q.workers[id]
	switch outcome {
	case model.OutcomeSucceeded:
		delete(q.workers, id)
		return false
	case model.OutcomeFailed:
	default:
		if r != nil {
			r.trialRunning = false
		}
		return false
	}
	if r == nil {
		r = &failureRecord{jobs: make(map[model.JobID]bool)}
		q.workers[id] = r
	}
	r.failures++
	if len(r.jobs) < q.cfg.QuarantineJobs {
		r.jobs[job] = true
	}
	wasTrial := r.trialRunning
	r.trialRunning = false
	if !wasTrial && (r.failures < q.cfg.QuarantineFailures || len(r.jobs) < q.cfg.QuarantineJobs || now.Before(r.until)) {
		return false
	}
	r.duration = min(max(2*r.duration, q.cfg.QuarantineFirst), q.cfg.QuarantineMax)
	r.until = now.Add(r.duration)
	return true
}

// Allows reports whether the worker may get a task.
func (q *Quarantine) Allows(id model.WorkerID, now time.Time) bool {
	r := q.workers[id]
	return r == nil || r.duration == 0 || (!now.Before(r.until) && !r.trialRunning)
}

// TaskAssigned records that the worker got a task, which is on trial if the worker has been in quarantine.
func (q *Quarantine) TaskAssigned(id model.WorkerID) {
	if r := q.workers[id]; r != nil && r.duration > 0 {
		r.trialRunning = true
	}
}

// TaskNotStarted records that the task assigned to the worker did not start, which ends a trial.
func (q *Quarantine) TaskNotStarted(id model.WorkerID) {
	if r := q.workers[id]; r != nil {
		r.trialRunning = false
	}
}

// Blocked returns the workers that may not get a task at now, with the end of their quarantine.
func (q *Quarantine) Blocked(now time.Time) map[model.WorkerID]time.Time {
	out := make(map[model.WorkerID]time.Time)
	for id, r := range q.workers {
		if !q.Allows(id, now) {
			out[id] = r.until
		}
	}
	return out
}

// Empty reports whether no worker has a record of failures, so that every worker may get any number of tasks.
func (q *Quarantine) Empty() bool { return len(q.workers) == 0 }
