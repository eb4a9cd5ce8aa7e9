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

// ErrProblems reports that the run found lost, doubled or misplaced work.
var ErrProblems = errors.New("the run found problems")

// proofLimit bounds the comparison with the stand-ins' counts, which follows the run.
const proofLimit = 30 * time.Second

// Summary is the result of a run.
type Summary struct {
	Seed     int64         `json:"seed"`
	Requests *load.Result  `json:"requests,omitempty"`
	Runs     *proof.Runs   `json:"runs,omitempty"`
	Jobs     *batch.Result `json:"jobs,omitempty"`
	Work     *proof.Work   `json:"work,omitempty"`
	Problems int           `json:"problems"`
}

// Drive is one run of the load tool.
type Drive struct {
	settings setup.Settings
	keys     map[model.TeamID]string
	entry    *entry.Client
	log      *zap.Logger
	group    sync.WaitGroup
	summary  Summary
}

// Run runs with the settings of a file, prints the summary to out, and returns ErrProblems if it found any; log lines
// go to lines.
func Run(ctx context.Context, path string, out, lines io.Writer) error {
	settings, err := config.Load[setup.Settings](path)
	if err != nil {
		return err
	}
	d, err := build(settings, lines)
	if err != nil {
		return err
	}
	summary, err := d.run(ctx)
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

func build(settings setup.Settings, lines io.Writer) (*Drive, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() setup.Settings { return settings },
		func() (*zap.Logger, error) { return logs.New(lines, settings.LogLevel) },
		func() (map[model.TeamID]string, error) { return setup.LoadKeys(settings.Keys) },
		func() (*entry.Client, error) { return entry.New(settings.Entries) },
		func(keys map[model.TeamID]string, client *entry.Client, log *zap.Logger) *Drive {
			return &Drive{settings: settings, keys: keys, entry: client, log: log}
		},
	} {
		if err := container.Provide(constructor); err != nil {
			return nil, fmt.Errorf("building the load tool: %w", err)
		}
	}
	var built *Drive
	if err := container.Invoke(func(d *Drive) { built = d }); err != nil {
		return nil, fmt.Errorf("building the load tool: %w", err)
	}
	return built, nil
}

func (d *Drive) run(ctx context.Context) (Summary, error) {
	d.summary.Seed = d.settings.Seed
	var jobs []model.JobSpec
	if path := d.settings.Jobs.File; path != "" {
		var err error
		if jobs, err = batch.Read(path, d.settings.Jobs.Prefix); err != nil {
			return d.summary, err
		}
	}
	limited, cancel := context.WithTimeout(ctx, d.settings.Deadline.Std())
	defer cancel()
	d.group.Add(2)
	go d.runRequests(limited)
	go d.runJobs(limited, jobs)
	d.group.Wait()
	return d.summary, d.prove(ctx)
}

func (d *Drive) runRequests(ctx context.Context) {
	defer d.group.Done()
	if d.settings.Requests.Count == 0 {
		return
	}
	result := load.New(load.Config{
		Requests: d.settings.Requests, Seed: d.settings.Seed, Keys: d.keys, Entry: d.entry, Log: d.log,
		// The time keeps the names of two runs against the same stand-ins apart.
		Run: "run" + strconv.FormatInt(time.Now().UnixNano(), 36),
	}).Run(ctx)
	d.summary.Requests = &result
}

func (d *Drive) runJobs(ctx context.Context, jobs []model.JobSpec) {
	defer d.group.Done()
	if len(jobs) == 0 {
		return
	}
	result := batch.New(batch.Config{
		Settings: d.settings.Jobs, Jobs: jobs, Keys: d.keys, Entry: d.entry, Log: d.log,
	}).Run(ctx)
	d.summary.Jobs = &result
}

// prove compares with the stand-ins' counts, where the settings name them.
func (d *Drive) prove(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proofLimit)
	defer cancel()
	if d.summary.Requests != nil {
		d.summary.Problems += d.summary.Requests.Wrong
	}
	if d.summary.Requests != nil && len(d.settings.Endpoints) > 0 {
		runs, err := proof.CheckRuns(ctx, d.settings.Endpoints, *d.summary.Requests)
		if err != nil {
			return err
		}
		d.summary.Runs = &runs
		d.summary.Problems += runs.Problems()
	}
	if d.summary.Jobs != nil {
		d.summary.Problems += d.summary.Jobs.Unfinished
	}
	if d.summary.Jobs != nil && d.settings.Platform != "" {
		work, err := proof.CheckWork(ctx, d.settings.Platform, *d.summary.Jobs)
		if err != nil {
			return err
		}
		d.summary.Work = &work
		d.summary.Problems += work.Problems()
	}
	return nil
}
