package policy

import (
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// lot holds the queued tasks of one job.
type lot struct {
	spec model.JobSpec
	band Band
	// arrived is when the oldest task was queued.
	arrived time.Time
	// start is when the job must start at the latest to meet its deadline.
	start time.Time
	seq   int64
	tasks map[int]state.Task
	// home and away list the indices of tasks in the order in which they were queued, those that are offered to this
	// data centre first and the others; some may have left.
	home, away []int

	owner                   *team
	inUrgent, inDue, inTeam int
	// aside is set while a round has set the lot aside.
	aside bool
}

// lotBefore orders the jobs of one team: due ones by their latest start, then the others by arrival.
func lotBefore(a, b *lot) bool {
	if !a.start.Equal(b.start) {
		return a.start.Before(b.start)
	}
	if !a.arrived.Equal(b.arrived) {
		return a.arrived.Before(b.arrived)
	}
	return a.seq < b.seq
}

// first returns the task that was queued first, of those offered to this data centre first if there are any.
func (l *lot) first() (state.Task, bool) {
	if task, ok := l.head(&l.home); ok {
		return task, true
	}
	return l.head(&l.away)
}

func (l *lot) head(order *[]int) (state.Task, bool) {
	for len(*order) > 0 {
		if task, ok := l.tasks[(*order)[0]]; ok {
			return task, true
		}
		*order = (*order)[1:]
	}
	return state.Task{}, false
}

// all returns every task in the order of their indices.
func (l *lot) all() []state.Task {
	out := make([]state.Task, 0, len(l.tasks))
	for _, index := range slices.Sorted(maps.Keys(l.tasks)) {
		out = append(out, l.tasks[index])
	}
	return out
}

// add puts a task at the end of its list; delay is what it is set back for the sake of other data centres.
func (l *lot) add(task state.Task, delay time.Duration) {
	if _, ok := l.tasks[task.ID.Index]; !ok {
		if delay == 0 {
			l.home = append(l.home, task.ID.Index)
		} else {
			l.away = append(l.away, task.ID.Index)
		}
	}
	l.tasks[task.ID.Index] = task
	if at := time.Unix(0, task.QueuedAt).Add(delay); len(l.tasks) == 1 || at.Before(l.arrived) {
		l.arrived = at
	}
}
