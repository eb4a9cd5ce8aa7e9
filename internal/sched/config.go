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
	defaultRoundInterval       = 10 * time.Millisecond
	defaultMaintenanceInterval = time.Second
	defaultMaxBindings         = 512
	defaultMaxSubmissions      = 8
	defaultMaxStarts           = 64
	defaultMaxBacklog          = time.Minute
	defaultPreemptionDelay     = 5 * time.Second
	defaultMinRemainingTime    = 30 * time.Second
	defaultMaxClaims           = 64
	defaultClaimTimeout        = 30 * time.Second
	defaultRetryDelay          = 200 * time.Millisecond
	defaultMaxFailures         = 1000
	defaultMaxServiceMoves     = 32
	// outGrace is how long after a data centre went out of service a start is not a violation.
	outOfServiceGrace = 5 * time.Second
	defaultTaskTTL    = 20 * time.Second
)

// Config holds the settings of a placer.
type Config struct {
	// DataCentre is where the placer's workers are.
	DataCentre model.DataCentreID
	// RoundInterval is the shortest time between two rounds of decisions; Batch bounds the decisions of one round.
	RoundInterval time.Duration
	MaxBindings   int
	// Tick is the interval of slower duties: expiry of claims and backlogs, moving services.
	MaintenanceInterval time.Duration
	// Parallel bounds the submissions in flight.
	MaxSubmissions int
	// StartBatch bounds the attempts started by one command.
	MaxStarts int
	// MaxBacklog is the work bound behind the running attempts of one worker; negative turns it off.
	MaxBacklog time.Duration
	// StarveAfter is how long work at the head of the order waits before patient work of teams above its team's share
	// gives way to it; urgent work doesn't wait.
	PreemptionDelay time.Duration
	// EndsSoon is the expected remaining run time below which an attempt gives way to urgent and due work only.
	MinRemainingTime time.Duration
	// Claims bounds the tasks that wait for room by preemption at a time, each for at most ClaimTTL.
	MaxClaims    int
	ClaimTimeout time.Duration
	// Retry is how long a task waits after its binding was void.
	RetryDelay time.Duration
	// Failures bounds the jobs that one round tries without success.
	MaxFailures int
	// Moves bounds the services stopped per tick in a data centre out of service.
	MaxServiceMoves int
	// TaskTTL is the length of a task lease.
	TaskTTL time.Duration

	Policy policy.Config
	Place  place.Config
}

// WithDefaults returns the settings with zero values replaced.
func (c Config) WithDefaults() Config {
	c.RoundInterval = cmp.Or(c.RoundInterval, defaultRoundInterval)
	c.MaintenanceInterval = cmp.Or(c.MaintenanceInterval, defaultMaintenanceInterval)
	c.MaxBindings = cmp.Or(c.MaxBindings, defaultMaxBindings)
	c.MaxSubmissions = cmp.Or(c.MaxSubmissions, defaultMaxSubmissions)
	c.MaxStarts = cmp.Or(c.MaxStarts, defaultMaxStarts)
	c.MaxBacklog = cmp.Or(c.MaxBacklog, defaultMaxBacklog)
	c.PreemptionDelay = cmp.Or(c.PreemptionDelay, defaultPreemptionDelay)
	c.MinRemainingTime = cmp.Or(c.MinRemainingTime, defaultMinRemainingTime)
	c.MaxClaims = cmp.Or(c.MaxClaims, defaultMaxClaims)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, defaultClaimTimeout)
	c.RetryDelay = cmp.Or(c.RetryDelay, defaultRetryDelay)
	c.MaxFailures = cmp.Or(c.MaxFailures, defaultMaxFailures)
	c.MaxServiceMoves = cmp.Or(c.MaxServiceMoves, defaultMaxServiceMoves)
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
	if c.RoundInterval <= 0 || c.MaintenanceInterval < c.RoundInterval || c.PreemptionDelay < 0 || c.ClaimTimeout <= 0 || c.RetryDelay <= 0 || c.TaskTTL <= 0 {
		return fmt.Errorf("%w: durations out of range", ErrBadConfig)
	}
	if c.MaxBindings < 1 || c.MaxSubmissions < 1 || c.MaxStarts < 1 || c.MaxClaims < 1 || c.MaxFailures < 1 || c.MaxServiceMoves < 1 {
		return fmt.Errorf("%w: counts must be at least 1", ErrBadConfig)
	}
	if err := c.Policy.Check(); err != nil {
		return err
	}
	return c.Place.Check()
}
