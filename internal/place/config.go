package place

import (
	"cmp"
	"errors"
	"fmt"
)

// ErrBadConfig reports inventory settings out of range.
var ErrBadConfig = errors.New("bad placement settings")

// Strategy selects how a worker is chosen among those with enough free capacity.
type Strategy string

// Strategies. Dominant is the default; the others serve as a baseline in benchmarks.
const (
	// FirstFit chooses the first suitable worker in the order in which workers were added.
	FirstFit Strategy = "first-fit"
	// BestFit chooses the worker with the smallest fraction of its capacity left free, summed over processors and memory.
	BestFit Strategy = "best-fit"
	// Dominant chooses the worker with the least left free in the task's dominant dimension, and with free processors
	// and free memory in balance.
	Dominant Strategy = "dominant"
)

const (
	defaultShards = 8
	defaultScan   = 4
	maxShards     = 256
)

// Config holds the settings of an inventory; zero values select the defaults.
type Config struct {
	// Shards is the number of separately locked parts of the inventory.
	Shards int
	// ScanLimit is the number of suitable workers that are compared within one cell of the index.
	ScanLimit int
	// Strategy selects among the suitable workers.
	Strategy Strategy
	// BalanceWeight is the weight of the imbalance between free processors and free memory, relative to the amount that
	// is left free. Only Dominant uses it.
	BalanceWeight float64
}

// WithDefaults returns the settings with zero values replaced.
func (c Config) WithDefaults() Config {
	c.Shards = cmp.Or(c.Shards, defaultShards)
	c.ScanLimit = cmp.Or(c.ScanLimit, defaultScan)
	c.Strategy = cmp.Or(c.Strategy, Dominant)
	c.BalanceWeight = cmp.Or(c.BalanceWeight, defaultBalance)
	return c
}

// Check returns ErrBadConfig for settings out of range.
func (c Config) Check() error {
	if c.Shards < 1 || c.Shards > maxShards {
		return fmt.Errorf("%w: shards %d is not between 1 and %d", ErrBadConfig, c.Shards, maxShards)
	}
	if c.ScanLimit < 1 {
		return fmt.Errorf("%w: scan limit %d is below 1", ErrBadConfig, c.ScanLimit)
	}
	if c.BalanceWeight < 0 {
		return fmt.Errorf("%w: balance weight %g is negative", ErrBadConfig, c.BalanceWeight)
	}
	switch c.Strategy {
	case FirstFit, BestFit, Dominant:
		return nil
	}
	return fmt.Errorf("%w: unknown strategy %q", ErrBadConfig, c.Strategy)
}
