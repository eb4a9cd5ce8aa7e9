package policy

import (
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// queuedJob holds the queued tasks of one job.
type queuedJob struct {
	spec model.JobSpec
	band Band
	// oldestQueuedAt is when the oldest task was queued, plus the delay that Queue.Put was given for it.
	oldestQueuedAt time.Time
	// latestStart is when the job must start at the latest to meet its deadline.
	latestStart time.Time
	// seq numbers the jobs in the order in which they were added to the queue.
	seq int64
	// tasks holds the queued tasks by index.
	tasks map[int]state.Task
	// preferredHere and preferredElsewhere list the indices of tasks in the order in which they were queued: those that
	// are offered to this data centre first, and the others. They may contain tasks that are no longer queued.
	preferredHere, preferredElsewhere []int

	team *team
	// The indices are the job's positions in Queue.urgent, Queue.due and team.jobs; -1 if it is not in that heap.
	urgentIndex, dueIndex, teamIndex int
	// skipped is true while a round skips the job.
	skipped bool
}

// jobBefore orders jobs by latest start, then by the time when their oldest task was queued. Jobs without a deadline
// come last.
func jobBefore(a, b *queuedJob) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	if !a.oldestQueuedAt.Equal(b.oldestQueuedAt) {
		return a.oldestQueuedAt.Before(b.oldestQueuedAt)
	}
	return a.seq < b.seq
}

// first returns the task that was queued first; tasks that are offered to this data centre first go before all others.
func (j *queuedJob) first() (state.Task, bool) {
	if task, ok := j.head(&j.preferredHere); ok {
		return task, true
	}
	return j.head(&j.preferredElsewhere)
}

// head returns the first task of the list that is still queued, and drops the indices before it.
func (j *queuedJob) head(order *[]int) (state.Task, bool) {
	for len(*order) > 0 {
		if task, ok := j.tasks[(*order)[0]]; ok {
			return task, true
		}
		*order = (*order)[1:]
	}
	return state.Task{}, false
}

// all returns the queued tasks in the order of their indices.
func (j *queuedJob) all() []state.Task {
	out := make([]state.Task, 0, len(j.tasks))
	for _, index := range slices.Sorted(maps.Keys(j.tasks)) {
		out = append(out, j.tasks[index])
	}
	return out
}

// add appends a task to its list, or replaces it by a newer copy. A positive delay marks a task that is offered to another
// data centre first; the task then counts as queued that much later.
func (j *queuedJob) add(task state.Task, delay time.Duration) {
	if _, ok := j.tasks[task.ID.Index]; !ok {
		if delay == 0 {
			j.preferredHere = append(j.preferredHere, task.ID.Index)
		} else {
			j.preferredElsewhere = append(j.preferredElsewhere, task.ID.Index)
		}
	}
	j.tasks[task.ID.Index] = task
	if at := time.Unix(0, task.QueuedAt).Add(delay); len(j.tasks) == 1 || at.Before(j.oldestQueuedAt) {
		j.oldestQueuedAt = at
	}
}
