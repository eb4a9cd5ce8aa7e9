package invar

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Name is the name of an invariant.
type Name string

// The invariants, which docs/design.md states in full.
const (
	// Capacity: the reservations on a worker never exceed its capacity.
	Capacity Name = "capacity"
	// SingleRun: a task never runs on two workers at a time.
	SingleRun Name = "single-run"
	// TeamKey is stated in docs/design.md only; no code checks it.
	TeamKey Name = "team-key"
	// UpperLimit: a team's usage never exceeds its upper limit.
	UpperLimit Name = "upper-limit"
	// DataCentreOut: no task is started in a data centre that is out of service.
	DataCentreOut Name = "data-centre-out"
	// WholeAnswer: a request never gets the answer to another one.
	WholeAnswer Name = "whole-answer"
	// TrueRefusal: a request that may have run is never reported as not run.
	TrueRefusal Name = "true-refusal"
	// AtMostOnce: a request that may have run is sent again only if it is idempotent.
	AtMostOnce Name = "at-most-once"
	// LeavingEndpoint: no request is sent to an endpoint that has been known for more than 5 s to be leaving.
	LeavingEndpoint Name = "leaving-endpoint"
	// GracefulStop: a planned stop completes all open requests.
	GracefulStop Name = "graceful-stop"
	// ConfigForward: the declarations in force are never replaced by older ones.
	ConfigForward Name = "config-forward"
	// NoLoss: no accepted task is lost.
	NoLoss Name = "no-loss"
)

// Checker counts checks and violations of invariants.
type Checker struct {
	log   *zap.Logger
	fatal bool
	// checks holds the counter of checks of each invariant, because looking a counter up by name costs more than a check.
	checks map[Name]*metrics.Counter

	mu         sync.Mutex
	violations map[Name]int
}

// names lists all invariants.
var names = []Name{
	Capacity, SingleRun, TeamKey, UpperLimit, DataCentreOut, WholeAnswer, TrueRefusal, AtMostOnce, LeavingEndpoint,
	GracefulStop, ConfigForward, NoLoss,
}

// New returns a checker. It logs violations to log or, if fatal is set, panics at the first one.
func New(log *zap.Logger, fatal bool) *Checker {
	c := &Checker{
		log: log, fatal: fatal, violations: make(map[Name]int), checks: make(map[Name]*metrics.Counter, len(names)),
	}
	for _, name := range names {
		c.checks[name] = metrics.GetOrCreateCounter(fmt.Sprintf(`aw_invariant_checks_total{name=%q}`, string(name)))
	}
	return c
}

// Check counts one check of the invariant, and a violation if holds is false. Only then is the detail formatted from format
// and args.
func (c *Checker) Check(name Name, holds bool, format string, args ...any) {
	c.checks[name].Inc()
	if holds {
		return
	}
	detail := fmt.Sprintf(format, args...)
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_invariant_violations_total{name=%q}`, string(name))).Inc()
	c.mu.Lock()
	c.violations[name]++
	c.mu.Unlock()
	if c.fatal {
		panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
	}
	c.log.Error("invariant violated", zap.String("invariant", string(name)), zap.String("detail", detail))
}

// Violations returns the number of violations so far by invariant.
func (c *Checker) Violations() map[Name]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[Name]int, len(c.violations))
	for name, n := range c.violations {
		out[name] = n
	}
	return out
}
