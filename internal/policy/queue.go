package policy

import (
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Queue keeps queued tasks in the order of work: urgent work by deadline, due work whose slack runs out, then jobs of
// the team with the smallest weighted dominant share. Every change costs logarithmic time. It is not safe for
// concurrent use.
type Queue struct {
	cfg     Config
	learner *Learner
	classes Classes
	total   model.Resources
	local   model.Resources
	lots    map[model.JobID]*lot
	teams   map[model.TeamID]*team
	urgent  indexed[*lot]
	due     indexed[*lot]
	fair    indexed[*team]
	seq     int64
	size    int
}

// NewQueue returns an empty queue; run times come from the learner.
func NewQueue(cfg Config, learner *Learner) *Queue {
	return &Queue{
		cfg: cfg.WithDefaults(), learner: learner,
		lots: make(map[model.JobID]*lot), teams: make(map[model.TeamID]*team),
		urgent: indexed[*lot]{less: lotBefore, place: func(l *lot) *int { return &l.inUrgent }},
		due:    indexed[*lot]{less: lotBefore, place: func(l *lot) *int { return &l.inDue }},
		fair:   indexed[*team]{less: teamBefore, place: func(t *team) *int { return &t.index }},
	}
}

// Len returns the number of queued tasks.
func (q *Queue) Len() int { return q.size }

// Has reports whether the task is queued.
func (q *Queue) Has(id model.TaskID) bool {
	l := q.lots[id.Job]
	if l == nil {
		return false
	}
	_, ok := l.tasks[id.Index]
	return ok
}

// Put queues a task or replaces it by a newer copy. A task that is offered to another data centre first is set back by
// delay, so that the placers of several data centres seldom take the same task.
func (q *Queue) Put(task state.Task, spec model.JobSpec, delay time.Duration) {
	l := q.lots[spec.ID]
	if l == nil {
		q.seq++
		l = &lot{
			spec: spec, seq: q.seq, tasks: make(map[int]state.Task),
			owner: q.team(spec.Team), inUrgent: -1, inDue: -1, inTeam: -1,
		}
		q.lots[spec.ID] = l
	}
	if _, ok := l.tasks[task.ID.Index]; !ok {
		q.size++
	}
	arrived := l.arrived
	l.add(task, delay)
	if !l.arrived.Equal(arrived) {
		q.classify(l)
	}
	q.settle(l)
}

// Remove takes a task out and reports whether it was queued.
func (q *Queue) Remove(id model.TaskID) bool {
	l := q.lots[id.Job]
	if l == nil {
		return false
	}
	if _, ok := l.tasks[id.Index]; !ok {
		return false
	}
	delete(l.tasks, id.Index)
	q.size--
	q.settle(l)
	return true
}

// settle puts the lot where its tasks and band want it, and forgets it when it is empty.
func (q *Queue) settle(l *lot) {
	if l.aside {
		return
	}
	if len(l.tasks) == 0 {
		q.takeOut(l)
		delete(q.lots, l.spec.ID)
		return
	}
	if l.band == Urgent {
		q.urgent.put(l)
		return
	}
	if l.band == Due {
		// Each task that comes or goes changes the slack.
		q.classify(l)
		q.due.put(l)
	}
	l.owner.lots.put(l)
	q.rank(l.owner)
}

func (q *Queue) takeOut(l *lot) {
	q.urgent.remove(l)
	q.due.remove(l)
	l.owner.lots.remove(l)
	if l.owner.lots.Len() == 0 {
		q.fair.remove(l.owner)
	}
}

// rank moves the team to the place of its share; a team without jobs is in no order.
func (q *Queue) rank(t *team) {
	t.key = t.share(q.total)
	if t.lots.Len() > 0 {
		q.fair.put(t)
	}
}

func (q *Queue) team(id model.TeamID) *team {
	t := q.teams[id]
	if t == nil {
		t = newTeam(id)
		q.teams[id] = t
	}
	return t
}

// classify sets the band and the latest start from the declarations and the learned run time.
func (q *Queue) classify(l *lot) {
	l.band = q.classes.Band(l.spec.Class)
	l.start = q.classes.Deadline(l.spec.Class, l.arrived)
	if l.band == Due {
		l.start = l.start.Add(-q.remaining(l))
	}
}

// remaining returns how long the job still takes: its queued tasks one after another on the part of the data centre that
// due work is sure of, and one long run for the last of them.
func (q *Queue) remaining(l *lot) time.Duration {
	size := q.learner.Reserve(l.spec, model.TaskID{}, nil)
	work := float64(len(l.tasks)) * size.DominantShare(q.local) * float64(q.learner.RunTime(l.spec))
	return q.learner.RunTimeP95(l.spec) + time.Duration(work/q.cfg.DueShare)
}

// Refresh recomputes the latest start of a job whose learned run time changed.
func (q *Queue) Refresh(job model.JobID) {
	if l := q.lots[job]; l != nil {
		q.classify(l)
		q.settle(l)
	}
}

// SetDeclarations applies declarations: classes, shares and limits.
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
		q.rank(t)
	}
	for _, l := range q.lots {
		q.takeOut(l)
		q.classify(l)
		q.settle(l)
	}
}

// SetFleetCapacity tells the capacity of the fleet, of which shares are fractions.
func (q *Queue) SetFleetCapacity(total model.Resources) {
	if total == q.total {
		return
	}
	q.total = total
	for _, t := range q.teams {
		q.rank(t)
	}
}

// SetLocalCapacity tells the capacity of this data centre, which works through the queue.
func (q *Queue) SetLocalCapacity(local model.Resources) { q.local = local }

// AddUsage adds size in count tasks to the team's usage; negative amounts take it back.
func (q *Queue) AddUsage(id model.TeamID, size model.Resources, count int) {
	t := q.team(id)
	t.usage, t.tasks = t.usage.Plus(size), t.tasks+count
	q.rank(t)
}

// AllowsMore reports whether size more, in count tasks, stays within the team's upper limit.
func (q *Queue) AllowsMore(id model.TeamID, size model.Resources, count int) bool {
	return q.team(id).allows(size, count)
}

// WithinLimit reports whether the team's usage is within its upper limit.
func (q *Queue) WithinLimit(id model.TeamID) bool { return q.team(id).allows(model.Resources{}, 0) }

// Band returns the band of a class.
func (q *Queue) Band(class model.ClassID) Band { return q.classes.Band(class) }

// Share returns the team's weighted dominant share.
func (q *Queue) Share(id model.TeamID) float64 { return q.team(id).share(q.total) }

// LimitAllows reports whether usage in count tasks is within the team's upper limit.
func (q *Queue) LimitAllows(id model.TeamID, usage model.Resources, count int) bool {
	return within(q.team(id).limit, usage, count)
}

// Item is a queued task.
type Item struct {
	Task state.Task
	Spec model.JobSpec
}

// All lists the queued tasks, in no order.
func (q *Queue) All() []Item {
	out := make([]Item, 0, q.size)
	for _, l := range q.lots {
		for _, task := range l.tasks {
			out = append(out, Item{Task: task, Spec: l.spec})
		}
	}
	return out
}

// ShareWith returns the weighted dominant share that the team would have with delta more.
func (q *Queue) ShareWith(id model.TeamID, delta model.Resources) float64 {
	t := q.team(id)
	return t.usage.Plus(delta).DominantShare(q.total) / max(t.weight, minWeight)
}

// Shares returns the weighted dominant share of every team that has something running or waiting.
func (q *Queue) Shares() map[model.TeamID]float64 {
	out := make(map[model.TeamID]float64, len(q.teams))
	for id, t := range q.teams {
		if t.tasks > 0 || t.lots.Len() > 0 {
			out[id] = t.share(q.total)
		}
	}
	return out
}
