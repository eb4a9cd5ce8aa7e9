package policy

import (
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Queue holds the queued tasks in the order in which they are to be placed: first urgent jobs by deadline, then due jobs
// with little slack by latest start, then the jobs of the team with the smallest weighted dominant share. Adding or
// removing a task takes logarithmic time. It is not safe for concurrent use.
type Queue struct {
	cfg           Config
	learner       *Learner
	classes       Classes
	fleetCapacity model.Resources
	// localCapacity is the capacity of this data centre.
	localCapacity model.Resources
	jobs          map[model.JobID]*queuedJob
	teams         map[model.TeamID]*team
	// urgent and due hold the jobs of these bands; due jobs are also in their team's jobs.
	urgent indexedHeap[*queuedJob]
	due    indexedHeap[*queuedJob]
	// fair holds the teams that have queued jobs in the order of their shares.
	fair indexedHeap[*team]
	// seq is the sequence number of the job added last.
	seq int64
	// size is the number of queued tasks.
	size int
}

// NewQueue returns an empty queue; sizes and run times of due work come from the learner.
func NewQueue(cfg Config, learner *Learner) *Queue {
	return &Queue{
		cfg: cfg.WithDefaults(), learner: learner,
		jobs: make(map[model.JobID]*queuedJob), teams: make(map[model.TeamID]*team),
		urgent: indexedHeap[*queuedJob]{less: jobBefore, indexOf: func(j *queuedJob) *int { return &j.urgentIndex }},
		due:    indexedHeap[*queuedJob]{less: jobBefore, indexOf: func(j *queuedJob) *int { return &j.dueIndex }},
		fair:   indexedHeap[*team]{less: teamBefore, indexOf: func(t *team) *int { return &t.fairIndex }},
	}
}

// Len returns the number of queued tasks.
func (q *Queue) Len() int { return q.size }

// Has reports whether the task is queued.
func (q *Queue) Has(id model.TaskID) bool {
	j := q.jobs[id.Job]
	if j == nil {
		return false
	}
	_, ok := j.tasks[id.Index]
	return ok
}

// Put adds a task or replaces it by a newer copy. A task that is offered to another data centre first counts as queued
// later by delay, so that the placers of several data centres seldom place the same task.
func (q *Queue) Put(task state.Task, spec model.JobSpec, delay time.Duration) {
	j := q.jobs[spec.ID]
	if j == nil {
		q.seq++
		j = &queuedJob{
			spec: spec, seq: q.seq, tasks: make(map[int]state.Task),
			team: q.team(spec.Team), urgentIndex: -1, dueIndex: -1, teamIndex: -1,
		}
		q.jobs[spec.ID] = j
	}
	if _, ok := j.tasks[task.ID.Index]; !ok {
		q.size++
	}
	oldestQueuedAt := j.oldestQueuedAt
	j.add(task, delay)
	if !j.oldestQueuedAt.Equal(oldestQueuedAt) {
		q.classify(j)
	}
	q.reindex(j)
}

// Remove removes a task and reports whether it was queued.
func (q *Queue) Remove(id model.TaskID) bool {
	j := q.jobs[id.Job]
	if j == nil {
		return false
	}
	if _, ok := j.tasks[id.Index]; !ok {
		return false
	}
	delete(j.tasks, id.Index)
	q.size--
	q.reindex(j)
	return true
}

// reindex moves the job to its position in the heaps of its band, and removes a job without tasks. It does nothing while
// a round skips the job.
func (q *Queue) reindex(j *queuedJob) {
	if j.skipped {
		return
	}
	if len(j.tasks) == 0 {
		q.unindex(j)
		delete(q.jobs, j.spec.ID)
		return
	}
	if j.band == Urgent {
		q.urgent.update(j)
		return
	}
	if j.band == Due {
		// Each task that is added or removed changes the latest start.
		q.classify(j)
		q.due.update(j)
	}
	j.team.jobs.update(j)
	q.reorderTeam(j.team)
}

// unindex removes the job from all heaps.
func (q *Queue) unindex(j *queuedJob) {
	q.urgent.remove(j)
	q.due.remove(j)
	j.team.jobs.remove(j)
	if j.team.jobs.Len() == 0 {
		q.fair.remove(j.team)
	}
}

// reorderTeam recomputes the team's share and moves the team to its position among the teams that have queued jobs.
func (q *Queue) reorderTeam(t *team) {
	t.cachedShare = t.share(q.fleetCapacity)
	if t.jobs.Len() > 0 {
		q.fair.update(t)
	}
}

// team returns the team, which is added if it is new.
func (q *Queue) team(id model.TeamID) *team {
	t := q.teams[id]
	if t == nil {
		t = newTeam(id)
		q.teams[id] = t
	}
	return t
}

// classify sets the job's band and latest start from the declared classes and the estimated run time.
func (q *Queue) classify(j *queuedJob) {
	j.band = q.classes.Band(j.spec.Class)
	j.latestStart = q.classes.Deadline(j.spec.Class, j.oldestQueuedAt)
	if j.band == Due {
		j.latestStart = j.latestStart.Add(-q.remainingTime(j))
	}
}

// remainingTime estimates how long the queued tasks of the job take: their total work on the fraction Config.DueShare of
// this data centre, plus the 95th percentile of the run time for the last of them.
func (q *Queue) remainingTime(j *queuedJob) time.Duration {
	size := q.learner.Reserve(j.spec, model.TaskID{}, nil)
	work := float64(len(j.tasks)) * size.DominantShare(q.localCapacity) * float64(q.learner.RunTime(j.spec))
	return q.learner.RunTimeP95(j.spec) + time.Duration(work/q.cfg.DueShare)
}

// Refresh recomputes the latest start of a job whose estimated run time changed.
func (q *Queue) Refresh(job model.JobID) {
	if j := q.jobs[job]; j != nil {
		q.classify(j)
		q.reindex(j)
	}
}

// SetDeclarations applies the declared classes, shares and upper limits. An undeclared team has weight 1 and no limit.
func (q *Queue) SetDeclarations(set decl.Set) {
	q.classes = NewClasses(set)
	declared := make(map[model.TeamID]decl.Team, len(set.Teams))
	for _, t := range set.Teams {
		declared[t.Name] = t
		q.team(t.Name)
	}
	for id, t := range q.teams {
		t.weight, t.limit = declared[id].Share, declared[id].Limit
		if _, ok := declared[id]; !ok {
			t.weight = 1
		}
		q.reorderTeam(t)
	}
	for _, j := range q.jobs {
		q.unindex(j)
		q.classify(j)
		q.reindex(j)
	}
}

// SetFleetCapacity sets the capacity of the whole fleet, of which the teams' shares are fractions.
func (q *Queue) SetFleetCapacity(capacity model.Resources) {
	if capacity == q.fleetCapacity {
		return
	}
	q.fleetCapacity = capacity
	for _, t := range q.teams {
		q.reorderTeam(t)
	}
}

// SetLocalCapacity sets the capacity of this data centre, from which the remaining time of due jobs is estimated.
func (q *Queue) SetLocalCapacity(capacity model.Resources) { q.localCapacity = capacity }

// AddUsage adds the total size of count tasks to the team's usage; negative amounts are subtracted.
func (q *Queue) AddUsage(id model.TeamID, size model.Resources, count int) {
	t := q.team(id)
	t.usage, t.tasks = t.usage.Plus(size), t.tasks+count
	q.reorderTeam(t)
}

// AllowsMore reports whether the team stays within its upper limit with count more tasks of the total size.
func (q *Queue) AllowsMore(id model.TeamID, size model.Resources, count int) bool {
	return q.team(id).allowsMore(size, count)
}

// WithinLimit reports whether the team's present usage is within its upper limit.
func (q *Queue) WithinLimit(id model.TeamID) bool { return q.team(id).allowsMore(model.Resources{}, 0) }

// Band returns the band of a class by the declarations in force.
func (q *Queue) Band(class model.ClassID) Band { return q.classes.Band(class) }

// Share returns the team's weighted dominant share.
func (q *Queue) Share(id model.TeamID) float64 { return q.team(id).share(q.fleetCapacity) }

// LimitAllows reports whether the given usage by count tasks is within the team's upper limit; the team's present usage
// doesn't count.
func (q *Queue) LimitAllows(id model.TeamID, usage model.Resources, count int) bool {
	return withinLimit(q.team(id).limit, usage, count)
}

// Item is a queued task with the specification of its job.
type Item struct {
	Task state.Task
	Spec model.JobSpec
}

// All returns the queued tasks in no particular order.
func (q *Queue) All() []Item {
	out := make([]Item, 0, q.size)
	for _, j := range q.jobs {
		for _, task := range j.tasks {
			out = append(out, Item{Task: task, Spec: j.spec})
		}
	}
	return out
}

// ShareWith returns the weighted dominant share that the team would have if its usage grew by delta.
func (q *Queue) ShareWith(id model.TeamID, delta model.Resources) float64 {
	t := q.team(id)
	return t.usage.Plus(delta).DominantShare(q.fleetCapacity) / max(t.weight, minWeight)
}

// Shares returns the weighted dominant share of every team that has running or queued tasks.
func (q *Queue) Shares() map[model.TeamID]float64 {
	out := make(map[model.TeamID]float64, len(q.teams))
	for id, t := range q.teams {
		if t.tasks > 0 || t.jobs.Len() > 0 {
			out[id] = t.share(q.fleetCapacity)
		}
	}
	return out
}
