package policy

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Candidate is the next work in the order: one task, or all tasks of a gang.
type Candidate struct {
	Spec  model.JobSpec
	Band  Band
	Tasks []state.Task
	// LatestStart is when the job must start at the latest to meet its deadline.
	LatestStart time.Time
	lot         *lot
}

// Queued returns up to limit queued tasks of the candidate's job.
func (c Candidate) Queued(limit int) []state.Task {
	tasks := c.lot.all()
	return tasks[:min(limit, len(tasks))]
}

// Round walks the queue once in order. Work that can't be placed is set aside until the round is closed.
type Round struct {
	q     *Queue
	now   time.Time
	aside []*lot
	tries map[*team]int
	teams []*team
}

// BeginRound starts a round; rounds don't overlap.
func (q *Queue) BeginRound(now time.Time) *Round {
	return &Round{q: q, now: now, tries: make(map[*team]int)}
}

// Next returns the first work in the order that was neither taken nor set aside.
func (r *Round) Next() (Candidate, bool) {
	if l, ok := r.q.urgent.top(); ok {
		return candidate(l)
	}
	if l, ok := r.q.due.top(); ok && l.start.Sub(r.now) < r.q.cfg.DueSlack {
		return candidate(l)
	}
	t, ok := r.q.fair.top()
	if !ok {
		return Candidate{}, false
	}
	l, _ := t.lots.top()
	return candidate(l)
}

func candidate(l *lot) (Candidate, bool) {
	c := Candidate{Spec: l.spec, Band: l.band, LatestStart: l.start, lot: l}
	if l.spec.Kind != model.KindGang {
		task, _ := l.first()
		c.Tasks = []state.Task{task}
		return c, true
	}
	c.Tasks = l.all()
	return c, true
}

// Skip sets the candidate's job aside, and its whole team once too many of its jobs were.
func (r *Round) Skip(c Candidate) {
	r.setAside(c.lot)
	if c.Band == Urgent {
		return
	}
	r.tries[c.lot.owner]++
	if r.tries[c.lot.owner] >= r.q.cfg.MaxSkipsPerTeam {
		r.SkipTeam(c)
	}
}

// SkipTeam sets aside all jobs of the candidate's team that are not urgent.
func (r *Round) SkipTeam(c Candidate) {
	r.setAside(c.lot)
	t := c.lot.owner
	r.q.fair.remove(t)
	r.teams = append(r.teams, t)
}

func (r *Round) setAside(l *lot) {
	if l.aside {
		return
	}
	r.q.takeOut(l)
	l.aside = true
	r.aside = append(r.aside, l)
}

// Close returns to the queue what was set aside.
func (r *Round) Close() {
	for _, l := range r.aside {
		l.aside = false
		r.q.settle(l)
	}
	for _, t := range r.teams {
		r.q.rank(t)
	}
}
