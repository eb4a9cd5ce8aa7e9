package drive

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"go.uber.org/dig"
	"go.uber.org/zap"

	"arbutuswing.example/caller/internal/batch"
	"arbutuswing.example/caller/internal/entry"
	"arbutuswing.example/caller/internal/load"
	"arbutuswing.example/caller/internal/proof"
	"arbutuswing.example/caller/internal/setup"
	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/logs"
	"arbutuswing.example/internal/model"
)

// ErrProblems reports that the run found lost, duplicated, unfinished or wrongly answered work.
var ErrProblems = errors.New("the run found problems")

// verifyTimeout bounds the comparison with the stand-ins' audits after the run.
const verifyTimeout = 30 * time.Second

// Summary is the result of a run.
type Summary struct {
	Seed     int64                `json:"seed"`
	Requests *load.Result         `json:"requests,omitempty"`
	Runs     *proof.RequestReport `json:"runs,omitempty"`
	Jobs     *batch.Result        `json:"jobs,omitempty"`
	Work     *proof.JobReport     `json:"work,omitempty"`
	Problems int                  `json:"problems"`
}

// Runner carries out one run of the load tool.
type Runner struct {
	settings setup.Settings
	keys     map[model.TeamID]string
	entry    *entry.Client
	log      *zap.Logger
	running  sync.WaitGroup
	summary  Summary
}

// Run loads the settings from a file, runs the load tool and prints the summary to out; log lines go to logOutput. It
// returns ErrProblems if the run found problems.
func Run(ctx context.Context, path string, out, logOutput io.Writer) error {
	settings, err := config.Load[setup.Settings](path)
	if err != nil {
		return err
	}
	r, err := newRunner(settings, logOutput)
	if err != nil {
		return err
	}
	summary, err := r.run(ctx)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the summary: %w", err)
	}
	if _, err := fmt.Fprintln(out, string(data)); err != nil {
		return fmt.Errorf("printing the summary: %w", err)
	}
	if summary.Problems > 0 {
		return fmt.Errorf("%w: %d", ErrProblems, summary.Problems)
	}
	return nil
}

func newRunner(settings setup.Settings, logOutput io.Writer) (*Runner, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() setup.Settings { return settings },
		func() (*zap.Logger, error) { return logs.New(logOutput, settings.LogLevel) },
		func() (map[model.TeamID]string, error) { return setup.LoadKeys(settings.Keys) },
		func() (*entry.Client, error) { return entry.New(settings.Entries) },
		func(keys map[model.TeamID]string, client *entry.Client, log *zap.Logger) *Runner {
			return &Runner{settings: settings, keys: keys, entry: client, log: log}
		},
	} {
		if err := container.Provide(constructor); err != nil {
			return nil, fmt.Errorf("building the load tool: %w", err)
		}
	}
	var built *Runner
	if err := container.Invoke(func(r *Runner) { built = r }); err != nil {
		return nil, fmt.Errorf("building the load tool: %w", err)
	}
	return built, nil
}

func (r *Runner) run(ctx context.Context) (Summary, error) {
	r.summary.Seed = r.settings.Seed
	var jobs []model.JobSpec
	if path := r.settings.Jobs.File; path != "" {
		var err error
		if jobs, err = batch.Read(path, r.settings.Jobs.Prefix); err != nil {
			return r.summary, err
		}
	}
	bounded, cancel := context.WithTimeout(ctx, r.settings.Deadline.Std())
	defer cancel()
	r.running.Add(2)
	go r.runRequests(bounded)
	go r.runJobs(bounded, jobs)
	r.running.Wait()
	return r.summary, r.verify(ctx)
}

func (r *Runner) runRequests(ctx context.Context) {
	defer r.running.Done()
	if r.settings.Requests.Count == 0 {
		return
	}
	result := load.New(load.Config{
		Requests: r.settings.Requests, Seed: r.settings.Seed, Keys: r.keys, Entry: r.entry, Log: r.log,
		// The time distinguishes the request names of runs against the same stand-ins.
		Run: "run" + strconv.FormatInt(time.Now().UnixNano(), 36),
	}).Run(ctx)
	r.summary.Requests = &result
}

func (r *Runner) runJobs(ctx context.Context, jobs []model.JobSpec) {
	defer r.running.Done()
	if len(jobs) == 0 {
		return
	}
	result := batch.New(batch.Config{
		Settings: r.settings.Jobs, Jobs: jobs, Keys: r.keys, Entry: r.entry, Log: r.log,
	}).Run(ctx)
	r.summary.Jobs = &result
}

// verify adds up the problems, and compares the results with the stand-ins' audits if the settings name the stand-ins.
func (r *Runner) verify(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	if r.summary.Requests != nil {
		r.summary.Problems += r.summary.Requests.Wrong
	}
	if r.summary.Requests != nil && len(r.settings.Endpoints) > 0 {
		runs, err := proof.CheckRequests(ctx, r.settings.Endpoints, *r.summary.Requests)
		if err != nil {
			return err
		}
		r.summary.Runs = &runs
		r.summary.Problems += runs.Problems()
	}
	if r.summary.Jobs != nil {
		r.summary.Problems += r.summary.Jobs.Unfinished
	}
	if r.summary.Jobs != nil && r.settings.Platform != "" {
		work, err := proof.CheckJobs(ctx, r.settings.Platform, *r.summary.Jobs)
		if err != nil {
			return err
		}
		r.summary.Work = &work
		r.summary.Problems += work.Problems()
	}
	return nil
}
