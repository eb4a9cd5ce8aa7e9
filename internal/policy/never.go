package policy

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
)

// UnschedulableJobs finds jobs that no worker can ever run; it is not safe for concurrent use.
type UnschedulableJobs struct {
	settle time.Duration
	// since holds when a job was first found too large for every worker.
	since map[model.JobID]time.Time
}

// NewUnschedulableJobs returns a finder without jobs.
func NewUnschedulableJobs(cfg Config) *UnschedulableJobs {
	return &UnschedulableJobs{settle: cfg.WithDefaults().UnschedulableAfter, since: make(map[model.JobID]time.Time)}
}

// Check reports whether the job has been too large for every worker of its data centres, or as a gang for each whole
// data centre, for longer than the settle time. sizes counts workers by data centre and capacity; a data centre without
// workers says nothing, because its workers may come back.
func (n *UnschedulableJobs) Check(
	spec model.JobSpec, size model.Resources, sizes map[model.DataCentreID]map[model.Resources]int, now time.Time,
) bool {
	if fitsAnywhere(spec, size, sizes) {
		delete(n.since, spec.ID)
		return false
	}
	since, ok := n.since[spec.ID]
	if !ok {
		n.since[spec.ID] = now
		return false
	}
	return now.Sub(since) > n.settle
}

// Forget drops what is remembered of a job.
func (n *UnschedulableJobs) Forget(job model.JobID) { delete(n.since, job) }

func fitsAnywhere(
	spec model.JobSpec, size model.Resources, sizes map[model.DataCentreID]map[model.Resources]int,
) bool {
	need := 1
	if spec.Kind == model.KindGang {
		need = spec.Tasks
	}
	seen := false
	for id, capacities := range sizes {
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
