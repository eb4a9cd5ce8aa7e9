package policy

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/state"
)

// Candidate is the work to place next: one task, or all queued tasks of a gang.
type Candidate struct {
	Spec  model.JobSpec
	Band  Band
	Tasks []state.Task
	// LatestStart is when the job must start at the latest to meet its deadline.
	LatestStart time.Time
	job         *queuedJob
}

// Queued returns at most limit queued tasks of the candidate's job, in the order of their indices.
func (c Candidate) Queued(limit int) []state.Task {
	tasks := c.job.all()
	return tasks[:min(limit, len(tasks))]
}

// Round goes through the queue once, in order. Jobs that can't be placed are skipped until the round is closed.
type Round struct {
	q           *Queue
	now         time.Time
	skippedJobs []*queuedJob
	// skips counts, by team, the jobs that could not be placed.
	skips        map[*team]int
	skippedTeams []*team
}

// BeginRound starts a round; the former round must have been closed.
func (q *Queue) BeginRound(now time.Time) *Round {
	return &Round{q: q, now: now, skips: make(map[*team]int)}
}

// Next returns the first work in the queue that is not skipped; the caller then removes its tasks or skips it.
func (r *Round) Next() (Candidate, bool) {
	if j, ok := r.q.urgent.top(); ok {
		return candidate(j)
	}
	if j, ok := r.q.due.top(); ok && j.latestStart.Sub(r.now) < r.q.cfg.DueSlack {
		return candidate(j)
	}
	t, ok := r.q.fair.top()
	if !ok {
		return Candidate{}, false
	}
	j, _ := t.jobs.top()
	return candidate(j)
}

func candidate(j *queuedJob) (Candidate, bool) {
	c := Candidate{Spec: j.spec, Band: j.band, LatestStart: j.latestStart, job: j}
	if j.spec.Kind != model.KindGang {
		task, _ := j.first()
		c.Tasks = []state.Task{task}
		return c, true
	}
	c.Tasks = j.all()
	return c, true
}

// Skip skips the candidate's job for the rest of the round. If the job is not urgent and Config.MaxSkipsPerTeam jobs of
// its team have now been skipped, the whole team is skipped.
func (r *Round) Skip(c Candidate) {
	r.skipJob(c.job)
	if c.Band == Urgent {
		return
	}
	r.skips[c.job.team]++
	if r.skips[c.job.team] >= r.q.cfg.MaxSkipsPerTeam {
		r.SkipTeam(c)
	}
}

// SkipTeam skips the candidate's job and takes its team out of the order by share for the rest of the round. Urgent
// jobs and due jobs with little slack are still returned.
func (r *Round) SkipTeam(c Candidate) {
	r.skipJob(c.job)
	t := c.job.team
	r.q.fair.remove(t)
	r.skippedTeams = append(r.skippedTeams, t)
}

func (r *Round) skipJob(j *queuedJob) {
	if j.skipped {
		return
	}
	r.q.unindex(j)
	j.skipped = true
	r.skippedJobs = append(r.skippedJobs, j)
}

// Close ends the round and puts the skipped jobs and teams back into the queue.
func (r *Round) Close() {
	for _, j := range r.skippedJobs {
		j.skipped = false
		r.q.reindex(j)
	}
	for _, t := range r.skippedTeams {
		r.q.reorderTeam(t)
	}
}
