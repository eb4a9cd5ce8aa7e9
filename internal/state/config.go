package state

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/strict"
)

// ErrConfig reports an unusable Config.
var ErrConfig = errors.New("unusable state configuration")

// Defaults of Config.
const (
	// DefaultFinishedJobs covers about five hours at 91,000 jobs a day.
	DefaultFinishedJobs = 20_000
	// DefaultIDRetention is longer than any submitter retries a submission.
	DefaultIDRetention = model.Duration(48 * time.Hour)
	// DefaultMaxFailures is the number of failed attempts after which a task is done.
	DefaultMaxFailures = 3
	// DefaultMaxTasks bounds the work of applying one operation, which emits an event of about 0.5 KB for each task of
	// an accepted or cancelled job.
	DefaultMaxTasks = 10_000
)

// Config holds the functions and limits of a machine. All instances that apply the same log must use the same ones, or
// their states diverge.
type Config struct {
	// ParsePatch decodes the contents of a change.
	ParsePatch func(data []byte) (decl.Patch, error)
	// ApplyPatch returns a copy of the set with the patch applied.
	ApplyPatch func(set decl.Set, patch decl.Patch) (decl.Set, error)
	// CheckSet returns an error for a set that must not come into force.
	CheckSet func(set decl.Set) error
	// Approvers returns the organisations that must approve the change from old to changed.
	Approvers func(old, changed decl.Set) []model.OrganisationID
	// Invariants counts violated invariants.
	Invariants *invar.Checker
	// FinishedJobs is the number of finished jobs that are kept in full, with their tasks.
	FinishedJobs int
	// IDRetention is how long, in log time, the ID and outcome of a finished job are kept after it finished. Members,
	// writers and workers that are gone are kept as long.
	IDRetention model.Duration
	// MaxFailures is the number of failed attempts after which a task is done.
	MaxFailures int
	// MaxTasks is the maximum number of tasks of one job.
	MaxTasks int
}

// WithDefaults returns the configuration with default limits for zero values, and the functions of package decl for nil
// ones.
func (c Config) WithDefaults() Config {
	if c.ParsePatch == nil {
		c.ParsePatch = func(data []byte) (decl.Patch, error) { return decl.ParsePatch("change", data) }
	}
	if c.ApplyPatch == nil {
		c.ApplyPatch = decl.Set.Apply
	}
	if c.CheckSet == nil {
		c.CheckSet = func(set decl.Set) error { return strict.Problems(decl.Check(set)).Err() }
	}
	if c.Approvers == nil {
		c.Approvers = decl.Approvers
	}
	c.FinishedJobs = cmp.Or(c.FinishedJobs, DefaultFinishedJobs)
	c.IDRetention = cmp.Or(c.IDRetention, DefaultIDRetention)
	c.MaxFailures = cmp.Or(c.MaxFailures, DefaultMaxFailures)
	c.MaxTasks = cmp.Or(c.MaxTasks, DefaultMaxTasks)
	return c
}

// Check returns ErrConfig if a function or the invariant checker is missing, or if a limit is out of range.
func (c Config) Check() error {
	switch {
	case c.ParsePatch == nil || c.ApplyPatch == nil || c.CheckSet == nil || c.Approvers == nil:
		return fmt.Errorf("%w: a declarations function is missing", ErrConfig)
	case c.Invariants == nil:
		return fmt.Errorf("%w: the invariant checker is missing", ErrConfig)
	case c.FinishedJobs < 1 || c.IDRetention < 1 || c.MaxFailures < 1 || c.MaxTasks < 1:
		return fmt.Errorf("%w: bounds must be positive", ErrConfig)
	}
	return nil
}
