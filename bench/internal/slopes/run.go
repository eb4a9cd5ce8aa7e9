package slopes

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"arbutuswing.example/bench/internal/files"
	"arbutuswing.example/bench/internal/fits"
)

// ErrConfig reports settings that cannot be used.
var ErrConfig = errors.New("bad slopes settings")

// Config holds the settings of a run.
type Config struct {
	// Platform is host:port of a running stand-in; without it, lease renewals are not measured.
	Platform string
	// Only holds the names of the groups to measure; empty means all.
	Only []string
	// JSON is the path of the file for the results; empty writes none.
	JSON string
	Out  io.Writer
	Log  io.Writer
}

// WithDefaults returns the settings with standard output and standard error where no writers are set.
func (c Config) WithDefaults() Config {
	if c.Out == nil {
		c.Out = os.Stdout
	}
	if c.Log == nil {
		c.Log = os.Stderr
	}
	return c
}

// group is a set of measurements that share a setup.
type group struct {
	name    string
	measure func(cfg Config) ([]fits.Series, error)
}

var groups = []group{
	{"codec", codec},
	{"fold", apply},
	{"memory", memory},
	{"snapshot", snapshot},
	{"placement", placement},
	{"rounds", rounds},
	{"ready", timeToReady},
	{"beats", heartbeats},
	{"leases", leaseRenewals},
}

// Check returns ErrConfig if a selected group does not exist.
func (c Config) Check() error {
	for _, name := range c.Only {
		exists := false
		for _, g := range groups {
			exists = exists || g.name == name
		}
		if !exists {
			return fmt.Errorf("%w: no group %q", ErrConfig, name)
		}
	}
	return nil
}

// isSelected reports whether the group is to be measured.
func (c Config) isSelected(name string) bool {
	return len(c.Only) == 0 || strings.Contains(","+strings.Join(c.Only, ",")+",", ","+name+",")
}

// Run measures the selected groups one after the other, prints the series and writes them to the JSON file.
func Run(cfg Config) error {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return err
	}
	var all []fits.Series
	for _, g := range groups {
		if !cfg.isSelected(g.name) {
			continue
		}
		_, _ = fmt.Fprintln(cfg.Log, "measuring", g.name)
		series, err := g.measure(cfg)
		if err != nil {
			return fmt.Errorf("measuring %s: %w", g.name, err)
		}
		all = append(all, series...)
	}
	if err := fits.Print(cfg.Out, all); err != nil {
		return err
	}
	return files.WriteJSON(cfg.JSON, all)
}
