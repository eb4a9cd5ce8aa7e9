package lease

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"arbutuswing.example/internal/model"
)

// ErrConfig reports invalid settings.
var ErrConfig = errors.New("bad lease settings")

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

// Config holds the settings of a Manager.
type Config struct {
	// Instance and Incarnation identify the holder of the leases.
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// DataCentre is the data centre of the workers.
	DataCentre model.DataCentreID
	// Shards is the number of groups into which the workers are divided. CallsPerShard bounds the calls to workers that
	// are in flight in each group.
	Shards        int
	CallsPerShard int
	// TTL is the length of a worker lease. A lease is renewed every RenewInterval.
	TTL           time.Duration
	RenewInterval time.Duration
	// TaskTTL is the length of a task lease.
	TaskTTL time.Duration
	// SuspectAfter is the time without an answer after which a worker is suspected.
	SuspectAfter time.Duration
	// Freshness is the maximum age of a holder's view of the log. Margin allows for clock drift and for pauses of a
	// process.
	Freshness time.Duration
	Margin    time.Duration
	// ListInterval is the interval at which the instance list is read.
	ListInterval time.Duration
	// PollInterval is the interval at which a shard looks for workers that are due to be served.
	PollInterval time.Duration
}

// WithDefaults returns the settings with default values for zero ones.
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

// Check returns ErrConfig if a setting is missing or out of range.
func (c Config) Check() error {
	if c.Instance == "" || c.DataCentre == "" {
		return fmt.Errorf("%w: instance and data centre must be set", ErrConfig)
	}
	if c.Shards < 1 || c.CallsPerShard < 1 {
		return fmt.Errorf("%w: shards %d and parallel calls %d must be at least 1", ErrConfig, c.Shards, c.CallsPerShard)
	}
	if c.RenewInterval <= 0 || c.TTL < 2*c.RenewInterval {
		return fmt.Errorf("%w: lease of %s does not outlast two renewals of %s", ErrConfig, c.TTL, c.RenewInterval)
	}
	if c.TaskTTL < c.TTL || c.SuspectAfter < c.TTL || c.Freshness <= 0 || c.Margin < 0 ||
		c.PollInterval <= 0 || c.ListInterval <= 0 {
		return fmt.Errorf("%w: task lease and suspicion must not be shorter than the worker lease, intervals must be positive",
			ErrConfig)
	}
	return nil
}

// lossDelay is the time from a suspicion until every task lease on the worker has expired. Another holder may read the
// suspicion as late as Freshness allows, and may have extended the task leases just before that.
func (c Config) lossDelay() time.Duration { return c.Freshness + c.TaskTTL + c.Margin }
