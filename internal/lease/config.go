package lease

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"arbutuswing.example/internal/model"
)

// ErrBadConfig reports settings that the leases can't work with.
var ErrBadConfig = errors.New("bad lease settings")

const (
	defaultShards       = 4
	defaultParallel     = 16
	defaultTTL          = 3 * time.Second
	defaultInterval     = time.Second
	defaultTaskTTL      = 20 * time.Second
	defaultSuspectAfter = 5 * time.Second
	defaultFreshness    = 2 * time.Second
	defaultDrift        = 3 * time.Second
	defaultListEvery    = 2 * time.Second
	defaultPoll         = 100 * time.Millisecond
)

// Config holds the settings of the leases.
type Config struct {
	// Instance and Incarnation name the holder.
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// DataCentre is where the workers are.
	DataCentre model.DataCentreID
	// Shards is the number of groups of workers; Parallel bounds the calls in flight per group.
	Shards   int
	Parallel int
	// TTL is the length of a worker lease, renewed every Interval.
	TTL      time.Duration
	Interval time.Duration
	// TaskTTL is the length of a task lease.
	TaskTTL time.Duration
	// SuspectAfter is how long a worker may not answer before it is suspected.
	SuspectAfter time.Duration
	// Freshness bounds the age of a holder's view of the log; Drift covers clock drift and pauses.
	Freshness time.Duration
	Drift     time.Duration
	// ListEvery is the interval of reading the list.
	ListEvery time.Duration
	// Poll is the interval at which a group looks for workers whose time has come.
	Poll time.Duration
}

// WithDefaults returns the settings with zero values replaced.
func (c Config) WithDefaults() Config {
	c.Shards = cmp.Or(c.Shards, defaultShards)
	c.Parallel = cmp.Or(c.Parallel, defaultParallel)
	c.TTL = cmp.Or(c.TTL, defaultTTL)
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.TaskTTL = cmp.Or(c.TaskTTL, defaultTaskTTL)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, defaultSuspectAfter)
	c.Freshness = cmp.Or(c.Freshness, defaultFreshness)
	c.Drift = cmp.Or(c.Drift, defaultDrift)
	c.ListEvery = cmp.Or(c.ListEvery, defaultListEvery)
	c.Poll = cmp.Or(c.Poll, defaultPoll)
	return c
}

// Check returns ErrBadConfig for settings out of range.
func (c Config) Check() error {
	if c.Instance == "" || c.DataCentre == "" {
		return fmt.Errorf("%w: instance and data centre must be set", ErrBadConfig)
	}
	if c.Shards < 1 || c.Parallel < 1 {
		return fmt.Errorf("%w: shards %d and parallel calls %d must be at least 1", ErrBadConfig, c.Shards, c.Parallel)
	}
	if c.Interval <= 0 || c.TTL < 2*c.Interval {
		return fmt.Errorf("%w: lease of %s does not outlast two renewals of %s", ErrBadConfig, c.TTL, c.Interval)
	}
	if c.TaskTTL < c.TTL || c.SuspectAfter < c.TTL || c.Freshness <= 0 || c.Drift < 0 || c.Poll <= 0 || c.ListEvery <= 0 {
		return fmt.Errorf("%w: task lease and suspicion must not be shorter than the worker lease", ErrBadConfig)
	}
	return nil
}

// lossWait is the time from a suspicion until every task lease on the worker has lapsed: a holder may read the
// suspicion late by the freshness bound and may have extended the task leases just before.
func (c Config) lossWait() time.Duration { return c.Freshness + c.TaskTTL + c.Drift }
