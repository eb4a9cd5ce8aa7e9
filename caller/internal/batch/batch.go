package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"arbutuswing.example/caller/internal/entry"
	"arbutuswing.example/caller/internal/setup"
	"arbutuswing.example/internal/model"
)

// Status is the status of a job as entry instances report it.
type Status struct {
	ID        model.JobID    `json:"id"`
	Cancelled bool           `json:"cancelled"`
	Refusal   string         `json:"refusal"`
	Tasks     int            `json:"tasks"`
	Done      int            `json:"done"`
	Phases    map[string]int `json:"phases"`
	Outcomes  map[string]int `json:"outcomes"`
}

// Config holds the jobs of a batch and what is needed to submit them.
type Config struct {
	Settings setup.Jobs
	Jobs     []model.JobSpec
	Keys     map[model.TeamID]string
	Entry    *entry.Client
	Log      *zap.Logger
}

// job is one job of the batch; its fields are guarded by Batch.mu.
type job struct {
	spec     model.JobSpec
	accepted bool
	refusal  string
	// notFound is set while the latest answer said that the job does not exist.
	notFound bool
	status   Status
}

// isFinished reports whether the job needs no more polling: it was not accepted, or all of its tasks are done.
func (j *job) isFinished() bool {
	return !j.accepted || j.status.Tasks > 0 && j.status.Done == j.status.Tasks
}

// isPlaced reports whether each task of a service is placed or done.
func (j *job) isPlaced() bool {
	return j.isFinished() || j.status.Tasks > 0 && j.status.Phases["bound"]+j.status.Done == j.status.Tasks
}

// Batch submits jobs and polls them until they are done.
type Batch struct {
	cfg     Config
	workers sync.WaitGroup

	mu   sync.Mutex
	jobs []*job
}

// New returns a batch that has not submitted anything yet.
func New(cfg Config) *Batch {
	b := &Batch{cfg: cfg}
	for _, spec := range cfg.Jobs {
		b.jobs = append(b.jobs, &job{spec: spec})
	}
	return b
}

// Run submits all jobs and polls them until they are done or ctx ends. Services are cancelled once all other jobs are
// done and the services have been placed.
func (b *Batch) Run(ctx context.Context) Result {
	started := time.Now()
	b.forEach(ctx, b.jobs, b.submit)
	b.pollUntil(ctx, func(j *job) bool { return j.isFinished() || j.spec.Kind == model.KindService && j.isPlaced() })
	services := b.pending(func(j *job) bool { return j.isFinished() })
	b.forEach(ctx, services, b.cancel)
	b.pollUntil(ctx, (*job).isFinished)
	return b.result(time.Since(started))
}

// pollUntil polls the jobs that are not done, at intervals of Settings.Poll, until there are none.
func (b *Batch) pollUntil(ctx context.Context, done func(*job) bool) {
	for {
		open := b.pending(done)
		if len(open) == 0 {
			return
		}
		b.forEach(ctx, open, b.poll)
		select {
		case <-time.After(b.cfg.Settings.Poll.Std()):
		case <-ctx.Done():
			return
		}
	}
}

func (b *Batch) pending(done func(*job) bool) []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var open []*job
	for _, j := range b.jobs {
		if !done(j) {
			open = append(open, j)
		}
	}
	return open
}

// forEach calls step for each job, for at most Settings.Concurrency jobs at the same time.
func (b *Batch) forEach(ctx context.Context, jobs []*job, step func(context.Context, *job)) {
	queue := make(chan *job, len(jobs))
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	for range b.cfg.Settings.Concurrency {
		b.workers.Add(1)
		go b.loopApply(ctx, queue, step)
	}
	b.workers.Wait()
}

func (b *Batch) loopApply(ctx context.Context, queue <-chan *job, step func(context.Context, *job)) {
	defer b.workers.Done()
	for j := range queue {
		if ctx.Err() != nil {
			return
		}
		step(ctx, j)
	}
}

// submit retries until the job is accepted or permanently refused. Repeated submissions are harmless, because a job is
// identified by its ID.
func (b *Batch) submit(ctx context.Context, j *job) {
	body, err := json.Marshal(j.spec)
	if err != nil {
		// Unreachable: a specification that was decoded always encodes.
		panic(err)
	}
	for try := 1; ; try++ {
		reply := b.cfg.Entry.Do(ctx, b.call(fasthttp.MethodPost, "/v1/jobs", j.spec.Team, body))
		switch {
		case reply.Outcome == entry.Answered:
			b.update(j, reply.Body)
			return
		case reply.Permanent() || reply.Outcome == entry.Conflict:
			b.refuse(j, fmt.Sprintf("status %d: %s", reply.Status, reply.Body))
			return
		case !entry.Backoff(ctx, try):
			b.refuse(j, "run ended before the job was accepted")
			return
		}
	}
}

func (b *Batch) call(method, path string, team model.TeamID, body []byte) entry.Call {
	return entry.Call{
		Method: method, Path: path, Body: body, Timeout: b.cfg.Settings.Timeout.Std(),
		Headers: map[string]string{entry.HeaderKey: b.cfg.Keys[team], entry.HeaderTeam: string(team)},
	}
}

func (b *Batch) refuse(j *job, reason string) {
	b.cfg.Log.Warn("job refused", zap.String("job", string(j.spec.ID)), zap.String("reason", reason))
	b.mu.Lock()
	defer b.mu.Unlock()
	j.refusal = reason
}

// update stores the status of a job; an older status from an instance that lags behind is ignored.
func (b *Batch) update(j *job, body []byte) {
	var status Status
	if json.Unmarshal(body, &status) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	j.accepted, j.notFound = true, false
	if status.Done >= j.status.Done {
		j.status = status
	}
}

func (b *Batch) poll(ctx context.Context, j *job) {
	path := "/v1/jobs/" + url.PathEscape(string(j.spec.ID))
	reply := b.cfg.Entry.Do(ctx, b.call(fasthttp.MethodGet, path, j.spec.Team, nil))
	switch {
	case reply.Outcome == entry.Answered:
		b.update(j, reply.Body)
	case reply.Status == fasthttp.StatusNotFound:
		b.mu.Lock()
		j.notFound = true
		b.mu.Unlock()
	}
}

func (b *Batch) cancel(ctx context.Context, j *job) {
	body, err := json.Marshal(map[string][]model.JobID{"jobs": {j.spec.ID}})
	if err != nil {
		// Unreachable: a map of strings always encodes.
		panic(err)
	}
	for try := 1; ; try++ {
		reply := b.cfg.Entry.Do(ctx, b.call(fasthttp.MethodPost, "/v1/jobs/cancel", j.spec.Team, body))
		if reply.Outcome == entry.Answered || reply.Permanent() || !entry.Backoff(ctx, try) {
			return
		}
	}
}
