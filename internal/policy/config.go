package policy

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// ErrBadConfig reports settings that the policy can't work with.
var ErrBadConfig = errors.New("bad policy settings")

const (
	defaultLearnAfter     = 5
	defaultMargin         = 0.10
	defaultRise           = 10 * time.Minute
	defaultDueShare       = 0.25
	defaultLotsPerTeam    = 16
	defaultQuarantineRuns = 5
	defaultQuarantineJobs = 3
	defaultQuarantine     = time.Minute
	defaultQuarantineMax  = time.Hour
	defaultOfferStep      = 500 * time.Millisecond
	defaultSettle         = 2 * time.Minute
)

// Config holds the settings of the policy.
type Config struct {
	// MinSamples is the number of succeeded attempts from which on reservations follow the estimates.
	MinSamples int
	// ReservationMargin is added to the learned percentile, as a fraction of it.
	ReservationMargin float64
	// DueSlack is the slack below which work with a "done by" time goes ahead of the shares.
	DueSlack time.Duration
	// DueShare is the part of a data centre that a job with a "done by" time is assumed to get.
	DueShare float64
	// MaxSkipsPerTeam bounds the jobs of one team that one round tries without success.
	MaxSkipsPerTeam int
	// QuarantineFailures and QuarantineJobs are the consecutive failures, and the jobs they must span, that put a worker
	// into quarantine for Quarantine, doubled each time up to QuarantineMax.
	QuarantineFailures int
	QuarantineJobs     int
	QuarantineFirst    time.Duration
	QuarantineMax      time.Duration
	// OfferDelay is how long a task waits for each data centre that ranks before another one.
	OfferDelay time.Duration
	// UnschedulableAfter is how long a job must be larger than every worker before it is refused.
	UnschedulableAfter time.Duration
}

// WithDefaults returns the settings with zero values replaced.
func (c Config) WithDefaults() Config {
	c.MinSamples = cmp.Or(c.MinSamples, defaultLearnAfter)
	c.ReservationMargin = cmp.Or(c.ReservationMargin, defaultMargin)
	c.DueSlack = cmp.Or(c.DueSlack, defaultRise)
	c.DueShare = cmp.Or(c.DueShare, defaultDueShare)
	c.MaxSkipsPerTeam = cmp.Or(c.MaxSkipsPerTeam, defaultLotsPerTeam)
	c.QuarantineFailures = cmp.Or(c.QuarantineFailures, defaultQuarantineRuns)
	c.QuarantineJobs = cmp.Or(c.QuarantineJobs, defaultQuarantineJobs)
	c.QuarantineFirst = cmp.Or(c.QuarantineFirst, defaultQuarantine)
	c.QuarantineMax = cmp.Or(c.QuarantineMax, defaultQuarantineMax)
	c.OfferDelay = cmp.Or(c.OfferDelay, defaultOfferStep)
	c.UnschedulableAfter = cmp.Or(c.UnschedulableAfter, defaultSettle)
	return c
}

// Check returns ErrBadConfig for settings out of range.
func (c Config) Check() error {
	if c.MinSamples < 1 || c.ReservationMargin < 0 {
		return fmt.Errorf("%w: learning after %d attempts with margin %g", ErrBadConfig, c.MinSamples, c.ReservationMargin)
	}
	if c.DueShare <= 0 || c.DueShare > 1 {
		return fmt.Errorf("%w: due share %g is not above 0 and at most 1", ErrBadConfig, c.DueShare)
	}
	if c.MaxSkipsPerTeam < 1 || c.QuarantineFailures < 1 || c.QuarantineJobs < 1 {
		return fmt.Errorf("%w: counts must be at least 1", ErrBadConfig)
	}
	if c.DueSlack < 0 || c.QuarantineFirst <= 0 || c.QuarantineMax < c.QuarantineFirst || c.OfferDelay < 0 || c.UnschedulableAfter < 0 {
		return fmt.Errorf("%w: durations must not be negative", ErrBadConfig)
	}
	return nil
}
