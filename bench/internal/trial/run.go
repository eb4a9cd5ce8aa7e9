package trial

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"arbutuswing.example/bench/internal/files"
	"arbutuswing.example/bench/internal/fleet"
	"arbutuswing.example/bench/internal/mixes"
)

// ErrConfig reports settings that cannot be used.
var ErrConfig = errors.New("bad measure settings")

// Config holds the settings of a run.
type Config struct {
	Seed uint64
	// Baseline also runs the baseline scheduler on the same workload.
	Baseline bool
	// Load is the processor time that all tasks need, as a fraction of what the fleet provides while jobs arrive.
	Load float64
	JSON string
	Out  io.Writer
}

// WithDefaults returns the settings with default values where nothing is set; the default load keeps the fleet full
// most of the time.
func (c Config) WithDefaults() Config {
	c.Seed = cmp.Or(c.Seed, 1)
	c.Load = cmp.Or(c.Load, 0.75)
	if c.Out == nil {
		c.Out = os.Stdout
	}
	return c
}

// Check returns ErrConfig if the load is out of range.
func (c Config) Check() error {
	if c.Load <= 0 || c.Load > 2 {
		return fmt.Errorf("%w: load %g", ErrConfig, c.Load)
	}
	return nil
}

// Run simulates the workload, prints the results and writes them to the JSON file.
func Run(cfg Config) error {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return err
	}
	results := []Result{}
	for _, baseline := range []bool{false, true} {
		if baseline && !cfg.Baseline {
			continue
		}
		r, err := cfg.simulate(baseline)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	if err := printResults(cfg, results); err != nil {
		return err
	}
	return files.WriteJSON(cfg.JSON, results)
}

func (c Config) simulate(baseline bool) (Result, error) {
	cores := 0
	for _, n := range workers {
		cores += n * int(fleet.Capacity.Cores) / 1000
	}
	t := newTrial(mixes.New(c.Seed, centres, cores, c.Load))
	name := "arbutuswing"
	if baseline {
		name = "baseline"
		t.sched = newBaseline(t)
	} else {
		s, err := newSystem(t)
		if err != nil {
			return Result{}, err
		}
		t.sched = s
	}
	began := time.Now()
	if err := t.run(); err != nil {
		return Result{}, err
	}
	return t.result(name, c, time.Since(began)), nil
}
