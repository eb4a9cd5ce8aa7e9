package sched

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/place"
	"arbutuswing.example/internal/policy"
)

// ErrBadConfig reports settings that the placer can't work with.
var ErrBadConfig = errors.New("bad sched settings")

const (
	defaultInterval    = 10 * time.Millisecond
	defaultTick        = time.Second
	defaultBatch       = 512
	defaultParallel    = 8
	defaultStartBatch  = 64
	defaultBacklog     = time.Minute
	defaultStarveAfter = 5 * time.Second
	defaultEndsSoon    = 30 * time.Second
	defaultClaims      = 64
	defaultClaimTTL    = 30 * time.Second
	defaultRetry       = 200 * time.Millisecond
	defaultFailures    = 1000
	defaultMoves       = 32
	// outGrace is how long after a data centre went out of service a start is not a violation.
	outGrace       = 5 * time.Second
	defaultTaskTTL = 20 * time.Second
)

// Config holds the settings of a placer.
type Config struct {
	// DataCentre is where the placer's workers are.
	DataCentre model.DataCentreID
	// Interval is the shortest time between two rounds of decisions; Batch bounds the decisions of one round.
	Interval time.Duration
	Batch    int
	// Tick is the interval of slower duties: expiry of claims and backlogs, moving services.
	Tick time.Duration
	// Parallel bounds the submissions in flight.
	Parallel int
	// StartBatch bounds the attempts started by one command.
	StartBatch int
	// Backlog is the work bound behind the running attempts of one worker; negative turns it off.
	Backlog time.Duration
	// StarveAfter is how long work at the head of the order waits before patient work of teams above its team's share
	// gives way to it; urgent work doesn't wait.
	StarveAfter time.Duration
	// EndsSoon is the expected remaining run time below which an attempt gives way to urgent and due work only.
	EndsSoon time.Duration
	// Claims bounds the tasks that wait for room by preemption at a time, each for at most ClaimTTL.
	Claims   int
	ClaimTTL time.Duration
	// Retry is how long a task waits after its binding was void.
	Retry time.Duration
	// Failures bounds the jobs that one round tries without success.
	Failures int
	// Moves bounds the services stopped per tick in a data centre out of service.
	Moves int
	// TaskTTL is the length of a task lease.
	TaskTTL time.Duration

	Policy policy.Config
	Place  place.Config
}

// WithDefaults returns the settings with zero values replaced.
func (c Config) WithDefaults() Config {
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.Tick = cmp.Or(c.Tick, defaultTick)
	c.Batch = cmp.Or(c.Batch, defaultBatch)
	c.Parallel = cmp.Or(c.Parallel, defaultParallel)
	c.StartBatch = cmp.Or(c.StartBatch, defaultStartBatch)
	c.Backlog = cmp.Or(c.Backlog, defaultBacklog)
	c.StarveAfter = cmp.Or(c.StarveAfter, defaultStarveAfter)
	c.EndsSoon = cmp.Or(c.EndsSoon, defaultEndsSoon)
	c.Claims = cmp.Or(c.Claims, defaultClaims)
	c.ClaimTTL = cmp.Or(c.ClaimTTL, defaultClaimTTL)
	c.Retry = cmp.Or(c.Retry, defaultRetry)
	c.Failures = cmp.Or(c.Failures, defaultFailures)
	c.Moves = cmp.Or(c.Moves, defaultMoves)
	c.TaskTTL = cmp.Or(c.TaskTTL, defaultTaskTTL)
	c.Policy = c.Policy.WithDefaults()
	c.Place = c.Place.WithDefaults()
	return c
}

// Check returns ErrBadConfig, or the error of the part, for settings out of range.
func (c Config) Check() error {
	if c.DataCentre == "" {
		return fmt.Errorf("%w: the data centre must be set", ErrBadConfig)
	}
	if c.Interval <= 0 || c.Tick < c.Interval || c.StarveAfter < 0 || c.ClaimTTL <= 0 || c.Retry <= 0 || c.TaskTTL <= 0 {
		return fmt.Errorf("%w: durations out of range", ErrBadConfig)
	}
	if c.Batch < 1 || c.Parallel < 1 || c.StartBatch < 1 || c.Claims < 1 || c.Failures < 1 || c.Moves < 1 {
		return fmt.Errorf("%w: counts must be at least 1", ErrBadConfig)
	}
	if err := c.Policy.Check(); err != nil {
		return err
	}
	return c.Place.Check()
}
