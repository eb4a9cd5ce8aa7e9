package invar

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Name is the name of an invariant.
type Name string

// The invariants of docs/design.md.
const (
	Capacity        Name = "capacity"
	SingleRun       Name = "single-run"
	TeamKey         Name = "team-key"
	UpperLimit      Name = "upper-limit"
	DataCentreOut   Name = "data-centre-out"
	WholeAnswer     Name = "whole-answer"
	TrueRefusal     Name = "true-refusal"
	AtMostOnce      Name = "at-most-once"
	LeavingEndpoint Name = "leaving-endpoint"
	GracefulStop    Name = "graceful-stop"
	ConfigForward   Name = "config-forward"
	NoLoss          Name = "no-loss"
)

// Checker counts checks and violations of invariants.
type Checker struct {
	log   *zap.Logger
	fatal bool
	// checks holds a counter for each of the invariants, because looking one up by name costs more than a check.
	checks map[Name]*metrics.Counter

	mu         sync.Mutex
	violations map[Name]int
}

// names lists all invariants.
var names = []Name{
	Capacity, SingleRun, TeamKey, UpperLimit, DataCentreOut, WholeAnswer, TrueRefusal, AtMostOnce, LeavingEndpoint,
	GracefulStop, ConfigForward, NoLoss,
}

// New returns a checker that logs violations to log; with fatal set it panics instead of going on.
func New(log *zap.Logger, fatal bool) *Checker {
	c := &Checker{
		log: log, fatal: fatal, violations: make(map[Name]int), checks: make(map[Name]*metrics.Counter, len(names)),
	}
	for _, name := range names {
		c.checks[name] = metrics.GetOrCreateCounter(fmt.Sprintf(`aw_invariant_checks_total{name=%q}`, string(name)))
	}
	return c
}

// Check records one evaluation of the invariant; detail is formatted only when holds is false.
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

// Violations returns the number of violations seen so far by name.
func (c *Checker) Violations() map[Name]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[Name]int, len(c.violations))
	for name, n := range c.violations {
		out[name] = n
	}
	return out
}
