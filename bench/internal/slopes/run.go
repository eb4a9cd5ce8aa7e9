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

// ErrConfig reports settings that can't be measured with.
var ErrConfig = errors.New("bad slopes settings")

// Config selects what is measured.
type Config struct {
	// Platform is host:port of a running stand-in; without it, lease renewals are left out.
	Platform string
	// Only holds names of groups; empty means all.
	Only []string
	// JSON is the file for the results.
	JSON string
	Out  io.Writer
	Log  io.Writer
}

// WithDefaults returns the settings with standard output where none is set.
func (c Config) WithDefaults() Config {
	if c.Out == nil {
		c.Out = os.Stdout
	}
	if c.Log == nil {
		c.Log = os.Stderr
	}
	return c
}

// group is a set of measurements that share their preparation.
type group struct {
	name    string
	measure func(cfg Config) ([]fits.Series, error)
}

var groups = []group{
	{"codec", codec},
	{"fold", fold},
	{"memory", memory},
	{"snapshot", snapshot},
	{"placement", placement},
	{"rounds", rounds},
	{"ready", ready},
	{"beats", beats},
	{"leases", leases},
}

// Check returns ErrConfig for groups that don't exist.
func (c Config) Check() error {
	for _, name := range c.Only {
		known := false
		for _, g := range groups {
			known = known || g.name == name
		}
		if !known {
			return fmt.Errorf("%w: no group %q", ErrConfig, name)
		}
	}
	return nil
}

// wants reports whether the group is to be measured.
func (c Config) wants(name string) bool {
	return len(c.Only) == 0 || strings.Contains(","+strings.Join(c.Only, ",")+",", ","+name+",")
}

// Run measures the selected groups one after the other and prints them.
func Run(cfg Config) error {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return err
	}
	var all []fits.Series
	for _, g := range groups {
		if !cfg.wants(g.name) {
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
