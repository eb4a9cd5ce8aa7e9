package trial

import (
	"slices"
	"time"

	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/bench/internal/mixes"
	"arbutuswing.example/internal/model"
)

// baseline is plain first-come first-fit: tasks in the order of arrival, on the first worker with room for the declared
// size, each team within a fixed part of the fleet. It learns nothing, preempts nothing, and lets a data centre that is
// taken out of service finish what it runs. A task that doesn't fit blocks only the later tasks of its team.
type baseline struct {
	t     *trial
	queue []model.TaskID
	// attempts holds the attempts made so far.
	attempts map[model.TaskID]int
	free     map[*fleet.Worker]model.Resources
	usage    map[model.TeamID]model.Resources
	quota    map[model.TeamID]model.Resources
	changed  bool
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

func (b *baseline) arrive(_ time.Duration, jobs []*mixes.Job) error {
	for _, job := range jobs {
		for i := range job.Spec.Tasks {
			b.queue = append(b.queue, model.TaskID{Job: job.Spec.ID, Index: i})
		}
	}
	b.changed = true
	return nil
}

func (b *baseline) service(time.Duration, model.DataCentreID, bool) error {
	b.changed = true
	return nil
}

// lost queues vanished runs again, first.
func (b *baseline) lost(runs []*fleet.Run) {
	back := make([]model.TaskID, 0, len(runs))
	for _, r := range runs {
		back = append(back, r.Attempt.Task)
		b.usage[r.Team] = b.usage[r.Team].Minus(r.Reservation)
	}
	for _, w := range b.t.fleet.Workers {
		if b.t.fleet.Off[w.Centre] {
			b.free[w] = fleet.Capacity
		}
	}
	b.queue = append(back, b.queue...)
	b.changed = true
}

func (b *baseline) step(now time.Duration) error {
	b.collect()
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
		group := b.queue[i : i+n]
		if blocked[job.Spec.Team] || !b.place(now, job, group) {
			blocked[job.Spec.Team] = true
			left = append(left, group...)
		}
		i += n
	}
	b.queue = left
	return nil
}

// collect frees the room of ended runs and queues killed ones again, first.
func (b *baseline) collect() {
	var back []model.TaskID
	for _, w := range b.t.fleet.Workers {
		w.Runs = slices.DeleteFunc(w.Runs, func(r *fleet.Run) bool {
			if !r.Ended {
				return false
			}
			b.free[w] = b.free[w].Plus(r.Reservation)
			b.usage[r.Team] = b.usage[r.Team].Minus(r.Reservation)
			b.changed = true
			if r.Outcome != model.OutcomeSucceeded && b.t.score.failures[r.Attempt.Task] < maxFailures {
				back = append(back, r.Attempt.Task)
			}
			return true
		})
	}
	if len(back) > 0 {
		b.queue = append(back, b.queue...)
	}
}

// place starts all tasks of the group or none.
func (b *baseline) place(now time.Duration, job *mixes.Job, group []model.TaskID) bool {
	size := job.Spec.Size
	if !b.usage[job.Spec.Team].Plus(size.Times(len(group))).Fits(b.quota[job.Spec.Team]) {
		return false
	}
	var chosen []*fleet.Worker
	for range group {
		i := slices.IndexFunc(b.t.fleet.Workers, func(w *fleet.Worker) bool {
			return !b.t.out[w.Centre] && size.Fits(b.free[w])
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
	b.usage[job.Spec.Team] = b.usage[job.Spec.Team].Plus(size.Times(len(group)))
	for i, id := range group {
		b.attempts[id]++
		b.t.launch(now, chosen[i], &fleet.Run{
			Attempt: model.AttemptID{Task: id, Number: b.attempts[id]}, Reservation: size,
		})
	}
	return true
}
