package policy

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
)

// UnschedulableJobs finds jobs that no worker can ever run; it is not safe for concurrent use.
type UnschedulableJobs struct {
	delay time.Duration
	// since holds, by job, the time since which it has been too large for every worker.
	since map[model.JobID]time.Time
}

// NewUnschedulableJobs returns an UnschedulableJobs that has seen no job.
func NewUnschedulableJobs(cfg Config) *UnschedulableJobs {
	return &UnschedulableJobs{delay: cfg.WithDefaults().UnschedulableAfter, since: make(map[model.JobID]time.Time)}
}

// Check reports whether the job has been unschedulable for longer than Config.UnschedulableAfter: its tasks of the given
// size are too large for every worker of its data centres, or a gang is too large for each of its data centres as a
// whole. workerCounts is the number of workers by data centre and capacity. If none of the job's data centres has
// workers, the job doesn't count as unschedulable, because workers may come back.
func (u *UnschedulableJobs) Check(
	spec model.JobSpec, size model.Resources, workerCounts map[model.DataCentreID]map[model.Resources]int, now time.Time,
) bool {
	if fitsAnywhere(spec, size, workerCounts) {
		delete(u.since, spec.ID)
		return false
	}
	since, ok := u.since[spec.ID]
	if !ok {
		u.since[spec.ID] = now
		return false
	}
	return now.Sub(since) > u.delay
}

// Forget removes the record of a job.
func (u *UnschedulableJobs) Forget(job model.JobID) { delete(u.since, job) }

// fitsAnywhere reports whether one data centre has enough capacity for a task, or for all tasks of a gang, on empty
// workers. It also reports true if there are no workers to judge by.
func fitsAnywhere(
	spec model.JobSpec, size model.Resources, workerCounts map[model.DataCentreID]map[model.Resources]int,
) bool {
	need := 1
	if spec.Kind == model.KindGang {
		need = spec.Tasks
	}
	seen := false
	for id, capacities := range workerCounts {
		if len(spec.DataCentres) > 0 && !slices.Contains(spec.DataCentres, id) {
			continue
		}
		slots := 0
		for capacity, workers := range capacities {
			seen = true
			slots += workers * place.Slots(capacity, size)
		}
		if slots >= need {
			return true
		}
	}
	return !seen
}
