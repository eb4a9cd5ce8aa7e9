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

// ErrConfig is returned for settings out of range.
var ErrConfig = errors.New("bad scheduler settings")

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
	// outOfServiceGrace is how long after its data centre was taken out of service a start does not count as an
	// invariant violation.
	outOfServiceGrace = 5 * time.Second
	defaultTaskTTL    = 20 * time.Second
)

// Config holds the settings of a placer.
type Config struct {
	// DataCentre is the data centre whose workers the placer manages.
	DataCentre model.DataCentreID
	// RoundInterval is the shortest time between two scheduling rounds; MaxBindings limits the bindings of one round.
	RoundInterval time.Duration
	MaxBindings   int
	// MaintenanceInterval is the interval of slower work: evicting and rebalancing worker backlogs, and moving services
	// out of a data centre that is out of service.
	MaintenanceInterval time.Duration
	// MaxSubmissions limits the concurrent submissions of bindings to the log.
	MaxSubmissions int
	// MaxStarts limits the attempts started by one command.
	MaxStarts int
	// MaxBacklog limits the work queued behind the running attempts of one worker, as the time in which the whole
	// worker would do it; a negative value turns backlogs off.
	MaxBacklog time.Duration
	// PreemptionDelay is how long the task at the head of the queue waits before it may preempt best-effort work of teams
	// above its own team's share; urgent tasks do not wait.
	PreemptionDelay time.Duration
	// MinRemainingTime is the expected remaining run time below which an attempt is preempted only for urgent work or
	// work close to its deadline.
	MinRemainingTime time.Duration
	// MaxClaims limits the tasks that wait for preempted attempts to end at the same time, each for at most ClaimTimeout.
	MaxClaims    int
	ClaimTimeout time.Duration
	// RetryDelay is the first delay before a task is tried again after its binding was rejected; it doubles with each
	// rejection.
	RetryDelay time.Duration
	// MaxFailures limits the candidates that one round tries without success.
	MaxFailures int
	// MaxServiceMoves limits the service tasks stopped per maintenance run in a data centre that is out of service.
	MaxServiceMoves int
	// TaskTTL is the duration of a task lease.
	TaskTTL time.Duration

	Policy policy.Config
	Place  place.Config
}

// WithDefaults returns the settings with the default for every zero value.
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

// Check returns ErrConfig, or the error of the policy or placement settings, for settings out of range.
func (c Config) Check() error {
	if c.DataCentre == "" {
		return fmt.Errorf("%w: the data centre must be set", ErrConfig)
	}
	if c.RoundInterval <= 0 || c.MaintenanceInterval < c.RoundInterval || c.PreemptionDelay < 0 ||
		c.MinRemainingTime < 0 || c.ClaimTimeout <= 0 || c.RetryDelay <= 0 || c.TaskTTL <= 0 {
		return fmt.Errorf("%w: durations out of range", ErrConfig)
	}
	if c.MaxBindings < 1 || c.MaxSubmissions < 1 || c.MaxStarts < 1 || c.MaxClaims < 1 ||
		c.MaxFailures < 1 || c.MaxServiceMoves < 1 {
		return fmt.Errorf("%w: counts must be at least 1", ErrConfig)
	}
	if err := c.Policy.Check(); err != nil {
		return err
	}
	return c.Place.Check()
}
