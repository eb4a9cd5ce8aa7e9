package policy

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// Never finds jobs that no worker can ever run; it is not safe for concurrent use.
type Never struct {
	settle time.Duration
	// since holds when a job was first found too large for every worker.
	since map[model.JobID]time.Time
}

// NewNever returns a finder without jobs.
func NewNever(cfg Config) *Never {
	return &Never{settle: cfg.WithDefaults().Settle, since: make(map[model.JobID]time.Time)}
}

// Check reports whether the job has been too large for every worker of its data centres for longer than the settle
// time. sizes lists the capacities of workers by data centre; a data centre without workers says nothing, because its
// workers may come back.
func (n *Never) Check(
	spec model.JobSpec, size model.Resources, sizes map[model.DataCentreID][]model.Resources, now time.Time,
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
func (n *Never) Forget(job model.JobID) { delete(n.since, job) }

func fitsAnywhere(spec model.JobSpec, size model.Resources, sizes map[model.DataCentreID][]model.Resources) bool {
	seen := false
	for id, capacities := range sizes {
		if len(spec.DataCentres) > 0 && !slices.Contains(spec.DataCentres, id) {
			continue
		}
		for _, capacity := range capacities {
			seen = true
			if size.Fits(capacity) {
				return true
			}
		}
	}
	return !seen
}
