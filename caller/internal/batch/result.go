package batch

import (
	"time"

	"arbutuswing.example/internal/model"
)

// Result sums up the jobs of a batch.
type Result struct {
	Jobs     int `json:"jobs"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	Done     int `json:"done"`
	// Unfinished counts accepted jobs that were not done when the run ended.
	Unfinished int `json:"unfinished"`
	// NotFound counts accepted jobs that entry instances no longer knew at the end.
	NotFound int            `json:"denied"`
	Tasks    int            `json:"tasks"`
	Outcomes map[string]int `json:"task-outcomes"`
	Took     model.Duration `json:"took"`
	// Succeeded maps each accepted job to the number of its tasks that entry instances report as succeeded.
	Succeeded map[model.JobID]int `json:"-"`
	// NoRerun tells for each accepted job whether its tasks must not be rerun.
	NoRerun map[model.JobID]bool `json:"-"`
}

func (b *Batch) result(took time.Duration) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Result{
		Jobs: len(b.jobs), Outcomes: make(map[string]int), Succeeded: make(map[model.JobID]int),
		NoRerun: make(map[model.JobID]bool),
		Took:    model.Duration(took.Round(time.Millisecond)),
	}
	for _, j := range b.jobs {
		if !j.accepted {
			r.Refused++
			continue
		}
		r.Accepted++
		r.Tasks += j.status.Tasks
		r.NoRerun[j.spec.ID] = !j.spec.Rerun
		r.Succeeded[j.spec.ID] = j.status.Outcomes[string(model.OutcomeSucceeded)]
		for outcome, n := range j.status.Outcomes {
			r.Outcomes[outcome] += n
		}
		switch {
		case j.isFinished():
			r.Done++
		case j.notFound:
			r.NotFound++
		default:
			r.Unfinished++
		}
	}
	return r
}
