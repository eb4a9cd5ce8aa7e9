package trial

import (
	"slices"
	"time"

	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

// baseline is a plain first-come, first-fit scheduler: it starts tasks in the order of arrival on the first worker with
// enough free capacity for the declared size, and keeps each team within a fixed quota. It does not learn sizes or
// preempt, and runs in a data centre that is taken out of service go on. A task that does not fit blocks only later
// tasks of its team.
type baseline struct {
	t     *trial
	queue []model.TaskID
	// attempts holds the number of attempts of each task so far.
	attempts map[model.TaskID]int
	free     map[*fleet.Worker]model.Resources
	usage    map[model.TeamID]model.Resources
	quota    map[model.TeamID]model.Resources
	// changed is set if jobs were queued, runs ended or a data centre changed its state since the last attempt to place
	// tasks.
	changed bool
}

func newBaseline(t *trial) *baseline {
	b := &baseline{
		t: t, attempts: make(map[model.TaskID]int), free: make(map[*fleet.Worker]model.Resources),
		usage: make(map[model.TeamID]model.Resources), quota: make(map[model.TeamID]model.Resources),
	}
	for _, w := range t.fleet.Workers {
		b.free[w] = fleet.Capacity
	}
	total := 0.0
	for _, team := range t.mix.Set.Teams {
		total += team.Share
	}
	for _, team := range t.mix.Set.Teams {
		part := team.Share / total * float64(len(t.fleet.Workers))
		b.quota[team.Name] = model.Resources{
			Cores: model.MilliCores(part * float64(fleet.Capacity.Cores)), Memory: model.Mebibytes(part * float64(fleet.Capacity.Memory)),
		}
	}
	return b
}

func (b *baseline) violations() int { return 0 }

func (b *baseline) submitJobs(_ time.Duration, jobs []*mixes.Job) error {
	for _, job := range jobs {
		for i := range job.Spec.Tasks {
			b.queue = append(b.queue, model.TaskID{Job: job.Spec.ID, Index: i})
		}
	}
	b.changed = true
	return nil
}

func (b *baseline) setInService(time.Duration, model.DataCentreID, bool) error {
	b.changed = true
	return nil
}

// runsLost puts the tasks of lost runs back at the head of the queue.
func (b *baseline) runsLost(runs []*fleet.Run) {
	requeued := make([]model.TaskID, 0, len(runs))
	for _, r := range runs {
		requeued = append(requeued, r.Attempt.Task)
		b.usage[r.Team] = b.usage[r.Team].Minus(r.Reservation)
	}
	for _, w := range b.t.fleet.Workers {
		if b.t.fleet.PoweredOff[w.DataCentre] {
			b.free[w] = fleet.Capacity
		}
	}
	b.queue = append(requeued, b.queue...)
	b.changed = true
}

func (b *baseline) step(now time.Duration) error {
	b.collectEnded()
	if !b.changed {
		return nil
	}
	b.changed = false
	blocked := make(map[model.TeamID]bool)
	var left []model.TaskID
	for i := 0; i < len(b.queue); {
		job := b.t.jobs[b.queue[i].Job]
		n := 1
		if job.Spec.Kind == model.KindGang {
			for n = 0; i+n < len(b.queue) && b.queue[i+n].Job == job.Spec.ID; n++ {
				continue
			}
		}
		tasks := b.queue[i : i+n]
		if blocked[job.Spec.Team] || !b.place(now, job, tasks) {
			blocked[job.Spec.Team] = true
			left = append(left, tasks...)
		}
		i += n
	}
	b.queue = left
	return nil
}

// collectEnded frees the capacity of ended runs and puts the tasks of failed ones back at the head of the queue.
func (b *baseline) collectEnded() {
	var requeued []model.TaskID
	for _, w := range b.t.fleet.Workers {
		w.Runs = slices.DeleteFunc(w.Runs, func(r *fleet.Run) bool {
			if !r.Ended {
				return false
			}
			b.free[w] = b.free[w].Plus(r.Reservation)
			b.usage[r.Team] = b.usage[r.Team].Minus(r.Reservation)
			b.changed = true
			if r.Outcome != model.OutcomeSucceeded && b.t.score.failures[r.Attempt.Task] < maxFailures {
				requeued = append(requeued, r.Attempt.Task)
			}
			return true
		})
	}
	if len(requeued) > 0 {
		b.queue = append(requeued, b.queue...)
	}
}

// place starts all of the given tasks or none.
func (b *baseline) place(now time.Duration, job *mixes.Job, tasks []model.TaskID) bool {
	size := job.Spec.Size
	if !b.usage[job.Spec.Team].Plus(size.Times(len(tasks))).Fits(b.quota[job.Spec.Team]) {
		return false
	}
	var chosen []*fleet.Worker
	for range tasks {
		i := slices.IndexFunc(b.t.fleet.Workers, func(w *fleet.Worker) bool {
			return !b.t.outOfService[w.DataCentre] && size.Fits(b.free[w])
		})
		if i < 0 {
			for _, w := range chosen {
				b.free[w] = b.free[w].Plus(size)
			}
			return false
		}
		w := b.t.fleet.Workers[i]
		b.free[w] = b.free[w].Minus(size)
		chosen = append(chosen, w)
	}
	b.usage[job.Spec.Team] = b.usage[job.Spec.Team].Plus(size.Times(len(tasks)))
	for i, id := range tasks {
		b.attempts[id]++
		b.t.startRun(now, chosen[i], &fleet.Run{
			Attempt: model.AttemptID{Task: id, Number: b.attempts[id]}, Reservation: size,
		})
	}
	return true
}
