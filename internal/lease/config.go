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
	defaultShards        = 4
	defaultCallsPerShard = 16
	defaultTTL           = 3 * time.Second
	defaultRenewInterval = time.Second
	defaultTaskTTL       = 20 * time.Second
	defaultSuspectAfter  = 5 * time.Second
	defaultFreshness     = 2 * time.Second
	defaultMargin        = 3 * time.Second
	defaultListInterval  = 2 * time.Second
	defaultPollInterval  = 100 * time.Millisecond
)

// Config holds the settings of the leases.
type Config struct {
	// Instance and Incarnation name the holder.
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// DataCentre is where the workers are.
	DataCentre model.DataCentreID
	// Shards is the number of groups of workers; Parallel bounds the calls in flight per group.
	Shards        int
	CallsPerShard int
	// TTL is the length of a worker lease, renewed every Interval.
	TTL           time.Duration
	RenewInterval time.Duration
	// TaskTTL is the length of a task lease.
	TaskTTL time.Duration
	// SuspectAfter is how long a worker may not answer before it is suspected.
	SuspectAfter time.Duration
	// Freshness bounds the age of a holder's view of the log; Drift covers clock drift and pauses.
	Freshness time.Duration
	Margin    time.Duration
	// ListInterval is the interval of reading the list.
	ListInterval time.Duration
	// PollInterval is the interval at which a group looks for workers whose time has come.
	PollInterval time.Duration
}

// WithDefaults returns the settings with zero values replaced.
func (c Config) WithDefaults() Config {
	c.Shards = cmp.Or(c.Shards, defaultShards)
	c.CallsPerShard = cmp.Or(c.CallsPerShard, defaultCallsPerShard)
	c.TTL = cmp.Or(c.TTL, defaultTTL)
	c.RenewInterval = cmp.Or(c.RenewInterval, defaultRenewInterval)
	c.TaskTTL = cmp.Or(c.TaskTTL, defaultTaskTTL)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, defaultSuspectAfter)
	c.Freshness = cmp.Or(c.Freshness, defaultFreshness)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	c.ListInterval = cmp.Or(c.ListInterval, defaultListInterval)
	c.PollInterval = cmp.Or(c.PollInterval, defaultPollInterval)
	return c
}

// Check returns ErrBadConfig for settings out of range.
func (c Config) Check() error {
	if c.Instance == "" || c.DataCentre == "" {
		return fmt.Errorf("%w: instance and data centre must be set", ErrBadConfig)
	}
	if c.Shards < 1 || c.CallsPerShard < 1 {
		return fmt.Errorf("%w: shards %d and parallel calls %d must be at least 1", ErrBadConfig, c.Shards, c.CallsPerShard)
	}
	if c.RenewInterval <= 0 || c.TTL < 2*c.RenewInterval {
		return fmt.Errorf("%w: lease of %s does not outlast two renewals of %s", ErrBadConfig, c.TTL, c.RenewInterval)
	}
	if c.TaskTTL < c.TTL || c.SuspectAfter < c.TTL || c.Freshness <= 0 || c.Margin < 0 || c.PollInterval <= 0 || c.ListInterval <= 0 {
		return fmt.Errorf("%w: task lease and suspicion must not be shorter than the worker lease", ErrBadConfig)
	}
	return nil
}

// lossWait is the time from a suspicion until every task lease on the worker has lapsed: a holder may read the
// suspicion late by the freshness bound and may have extended the task leases just before.
func (c Config) lossWait() time.Duration { return c.Freshness + c.TaskTTL + c.Margin }
