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

// Status is a job as entry instances show it.
type Status struct {
	ID        model.JobID    `json:"id"`
	Cancelled bool           `json:"cancelled"`
	Refusal   string         `json:"refusal"`
	Tasks     int            `json:"tasks"`
	Done      int            `json:"done"`
	Phases    map[string]int `json:"phases"`
	Outcomes  map[string]int `json:"outcomes"`
}

// Config describes a batch of jobs.
type Config struct {
	Settings setup.Jobs
	Jobs     []model.JobSpec
	Keys     map[model.TeamID]string
	Entry    *entry.Client
	Log      *zap.Logger
}

// job is one job of the batch; the batch's lock guards it.
type job struct {
	spec     model.JobSpec
	accepted bool
	refusal  string
	// denied is set while the last answer said that no such job is known.
	denied bool
	status Status
}

// settled reports whether nothing more is to be expected of the job.
func (j *job) settled() bool {
	return !j.accepted || j.status.Tasks > 0 && j.status.Done == j.status.Tasks
}

// up reports whether all tasks of a service are placed.
func (j *job) up() bool {
	return j.settled() || j.status.Tasks > 0 && j.status.Phases["bound"]+j.status.Done == j.status.Tasks
}

// Batch submits jobs and follows them.
type Batch struct {
	cfg   Config
	group sync.WaitGroup

	mu   sync.Mutex
	jobs []*job
}

// New returns a batch of which nothing is submitted yet.
func New(cfg Config) *Batch {
	b := &Batch{cfg: cfg}
	for _, spec := range cfg.Jobs {
		b.jobs = append(b.jobs, &job{spec: spec})
	}
	return b
}

// Run submits all jobs and polls until they are done or ctx ends. Services are cancelled once everything else is done
// and they were seen placed.
func (b *Batch) Run(ctx context.Context) Result {
	started := time.Now()
	b.forEach(ctx, b.jobs, b.submit)
	b.follow(ctx, func(j *job) bool { return j.settled() || j.spec.Kind == model.KindService && j.up() })
	services := b.pending(func(j *job) bool { return j.settled() })
	b.forEach(ctx, services, b.cancel)
	b.follow(ctx, (*job).settled)
	return b.result(time.Since(started))
}

// follow polls the jobs that are not finished.
func (b *Batch) follow(ctx context.Context, finished func(*job) bool) {
	for {
		open := b.pending(finished)
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

func (b *Batch) pending(finished func(*job) bool) []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var open []*job
	for _, j := range b.jobs {
		if !finished(j) {
			open = append(open, j)
		}
	}
	return open
}

// forEach applies a step to jobs, a bounded number at a time.
func (b *Batch) forEach(ctx context.Context, jobs []*job, step func(context.Context, *job)) {
	queue := make(chan *job, len(jobs))
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	for range b.cfg.Settings.Concurrency {
		b.group.Add(1)
		go b.loopSteps(ctx, queue, step)
	}
	b.group.Wait()
}

func (b *Batch) loopSteps(ctx context.Context, queue <-chan *job, step func(context.Context, *job)) {
	defer b.group.Done()
	for j := range queue {
		if ctx.Err() != nil {
			return
		}
		step(ctx, j)
	}
}

// submit retries until the job is accepted or refused for good. The job's ID makes repeated submissions harmless.
func (b *Batch) submit(ctx context.Context, j *job) {
	body, err := json.Marshal(j.spec)
	if err != nil {
		// A specification that was decoded always encodes.
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
		case !entry.Pause(ctx, try):
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

func (b *Batch) refuse(j *job, why string) {
	b.cfg.Log.Warn("job refused", zap.String("job", string(j.spec.ID)), zap.String("reason", why))
	b.mu.Lock()
	defer b.mu.Unlock()
	j.refusal = why
}

// update takes in a job's status; an older status from an instance that lags behind changes nothing.
func (b *Batch) update(j *job, body []byte) {
	var status Status
	if json.Unmarshal(body, &status) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	j.accepted, j.denied = true, false
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
		j.denied = true
		b.mu.Unlock()
	}
}

func (b *Batch) cancel(ctx context.Context, j *job) {
	body, err := json.Marshal(map[string][]model.JobID{"jobs": {j.spec.ID}})
	if err != nil {
		// A map of strings always encodes.
		panic(err)
	}
	for try := 1; ; try++ {
		reply := b.cfg.Entry.Do(ctx, b.call(fasthttp.MethodPost, "/v1/jobs/cancel", j.spec.Team, body))
		if reply.Outcome == entry.Answered || reply.Permanent() || !entry.Pause(ctx, try) {
			return
		}
	}
}
