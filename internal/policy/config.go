package policy

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// ErrConfig reports policy settings out of range.
var ErrConfig = errors.New("bad policy settings")

const (
	defaultMinSamples         = 5
	defaultReservationMargin  = 0.10
	defaultDueSlack           = 10 * time.Minute
	defaultDueShare           = 0.25
	defaultMaxSkipsPerTeam    = 16
	defaultQuarantineFailures = 5
	defaultQuarantineJobs     = 3
	defaultQuarantineFirst    = time.Minute
	defaultQuarantineMax      = time.Hour
	defaultOfferDelay         = 500 * time.Millisecond
	defaultUnschedulableAfter = 2 * time.Minute
)

// Config holds the settings of the policy; zero values select the defaults.
type Config struct {
	// MinSamples is the number of succeeded attempts that an estimate must rest on before reservations and run times
	// are taken from it.
	MinSamples int
	// ReservationMargin is added to the estimated size of a task, as a fraction of that size.
	ReservationMargin float64
	// DueSlack is the slack (time left until the latest start) below which due work goes before the teams' shares.
	DueSlack time.Duration
	// DueShare is the fraction of a data centre's capacity that a due job is assumed to get, above 0 and at most 1.
	DueShare float64
	// MaxSkipsPerTeam is the number of jobs of one team that a round tries to place in vain before it skips the team.
	MaxSkipsPerTeam int
	// A worker with at least QuarantineFailures consecutive failures in at least QuarantineJobs different jobs is put
	// into quarantine, the first time for QuarantineFirst. Each further time takes twice as long, up to QuarantineMax.
	QuarantineFailures int
	QuarantineJobs     int
	QuarantineFirst    time.Duration
	QuarantineMax      time.Duration
	// OfferDelay is how long a data centre leaves a task to each data centre that ranks before it for that task.
	OfferDelay time.Duration
	// UnschedulableAfter is how long a job must have been too large for every worker before it is refused.
	UnschedulableAfter time.Duration
}

// WithDefaults returns the settings with zero values replaced.
func (c Config) WithDefaults() Config {
	c.MinSamples = cmp.Or(c.MinSamples, defaultMinSamples)
	c.ReservationMargin = cmp.Or(c.ReservationMargin, defaultReservationMargin)
	c.DueSlack = cmp.Or(c.DueSlack, defaultDueSlack)
	c.DueShare = cmp.Or(c.DueShare, defaultDueShare)
	c.MaxSkipsPerTeam = cmp.Or(c.MaxSkipsPerTeam, defaultMaxSkipsPerTeam)
	c.QuarantineFailures = cmp.Or(c.QuarantineFailures, defaultQuarantineFailures)
	c.QuarantineJobs = cmp.Or(c.QuarantineJobs, defaultQuarantineJobs)
	c.QuarantineFirst = cmp.Or(c.QuarantineFirst, defaultQuarantineFirst)
	c.QuarantineMax = cmp.Or(c.QuarantineMax, defaultQuarantineMax)
	c.OfferDelay = cmp.Or(c.OfferDelay, defaultOfferDelay)
	c.UnschedulableAfter = cmp.Or(c.UnschedulableAfter, defaultUnschedulableAfter)
	return c
}

// Check returns ErrConfig for settings out of range.
func (c Config) Check() error {
	if c.MinSamples < 1 || c.ReservationMargin < 0 {
		return fmt.Errorf("%w: min samples %d is below 1 or margin %g is negative",
			ErrConfig, c.MinSamples, c.ReservationMargin)
	}
	if c.DueShare <= 0 || c.DueShare > 1 {
		return fmt.Errorf("%w: due share %g is not above 0 and at most 1", ErrConfig, c.DueShare)
	}
	if c.MaxSkipsPerTeam < 1 || c.QuarantineFailures < 1 || c.QuarantineJobs < 1 {
		return fmt.Errorf("%w: counts must be at least 1", ErrConfig)
	}
	if c.DueSlack < 0 || c.QuarantineFirst <= 0 || c.QuarantineMax < c.QuarantineFirst || c.OfferDelay < 0 ||
		c.UnschedulableAfter < 0 {
		return fmt.Errorf("%w: durations must not be negative, and quarantines must be positive and in order", ErrConfig)
	}
	return nil
}
