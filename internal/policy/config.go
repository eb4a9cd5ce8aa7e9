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
	// LearnAfter is the number of succeeded attempts from which on reservations follow the estimates.
	LearnAfter int
	// Margin is added to the learned percentile, as a fraction of it.
	Margin float64
	// Rise is the slack below which work with a "done by" time goes ahead of the shares.
	Rise time.Duration
	// DueShare is the part of a data centre that a job with a "done by" time is assumed to get.
	DueShare float64
	// LotsPerTeam bounds the jobs of one team that one round tries without success.
	LotsPerTeam int
	// QuarantineRuns and QuarantineJobs are the consecutive failures, and the jobs they must span, that put a worker
	// into quarantine for Quarantine, doubled each time up to QuarantineMax.
	QuarantineRuns int
	QuarantineJobs int
	Quarantine     time.Duration
	QuarantineMax  time.Duration
	// OfferStep is how long a task waits for each data centre that ranks before another one.
	OfferStep time.Duration
	// Settle is how long a job must be larger than every worker before it is refused.
	Settle time.Duration
}

// WithDefaults returns the settings with zero values replaced.
func (c Config) WithDefaults() Config {
	c.LearnAfter = cmp.Or(c.LearnAfter, defaultLearnAfter)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	c.Rise = cmp.Or(c.Rise, defaultRise)
	c.DueShare = cmp.Or(c.DueShare, defaultDueShare)
	c.LotsPerTeam = cmp.Or(c.LotsPerTeam, defaultLotsPerTeam)
	c.QuarantineRuns = cmp.Or(c.QuarantineRuns, defaultQuarantineRuns)
	c.QuarantineJobs = cmp.Or(c.QuarantineJobs, defaultQuarantineJobs)
	c.Quarantine = cmp.Or(c.Quarantine, defaultQuarantine)
	c.QuarantineMax = cmp.Or(c.QuarantineMax, defaultQuarantineMax)
	c.OfferStep = cmp.Or(c.OfferStep, defaultOfferStep)
	c.Settle = cmp.Or(c.Settle, defaultSettle)
	return c
}

// Check returns ErrBadConfig for settings out of range.
func (c Config) Check() error {
	if c.LearnAfter < 1 || c.Margin < 0 {
		return fmt.Errorf("%w: learning after %d attempts with margin %g", ErrBadConfig, c.LearnAfter, c.Margin)
	}
	if c.DueShare <= 0 || c.DueShare > 1 {
		return fmt.Errorf("%w: due share %g is not above 0 and at most 1", ErrBadConfig, c.DueShare)
	}
	if c.LotsPerTeam < 1 || c.QuarantineRuns < 1 || c.QuarantineJobs < 1 {
		return fmt.Errorf("%w: counts must be at least 1", ErrBadConfig)
	}
	if c.Rise < 0 || c.Quarantine <= 0 || c.QuarantineMax < c.Quarantine || c.OfferStep < 0 || c.Settle < 0 {
		return fmt.Errorf("%w: durations must not be negative", ErrBadConfig)
	}
	return nil
}
