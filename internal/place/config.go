package place

import (
	"cmp"
	"errors"
	"fmt"
)

// ErrBadConfig reports settings that the book can't work with.
var ErrBadConfig = errors.New("bad place settings")

// Strategy selects how a worker is chosen among those with room.
type Strategy string

// Strategies; all but Dominant exist for comparison.
const (
	// FirstFit takes the first worker with room, in the order in which workers were added.
	FirstFit Strategy = "first-fit"
	// BestFit takes the worker that keeps the least free capacity, summed over processors and memory.
	BestFit Strategy = "best-fit"
	// Dominant takes the worker that keeps the least of the task's dominant dimension and the best balance.
	Dominant Strategy = "dominant"
)

const (
	defaultShards = 8
	defaultScan   = 4
	maxShards     = 256
)

// Config holds the settings of a book.
type Config struct {
	// Shards is the number of separately locked parts of the book.
	Shards int
	// ScanLimit bounds the workers that are compared within one cell of the index.
	ScanLimit int
	// Strategy selects among the workers with room.
	Strategy Strategy
	// BalanceWeight weighs the imbalance of what stays free against the amount that stays free.
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
		return fmt.Errorf("%w: scan %d is below 1", ErrBadConfig, c.ScanLimit)
	}
	if c.BalanceWeight < 0 {
		return fmt.Errorf("%w: balance %g is negative", ErrBadConfig, c.BalanceWeight)
	}
	switch c.Strategy {
	case FirstFit, BestFit, Dominant:
		return nil
	}
	return fmt.Errorf("%w: strategy %q", ErrBadConfig, c.Strategy)
}
