package setup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/fleet"
	"arbutuswing.example/standin/internal/roster"
)

// ErrBadSettings reports settings that can't be used.
var ErrBadSettings = errors.New("bad settings")

var errTrailing = errors.New("more than one JSON value")

// Settings are the stand-in's settings.
type Settings struct {
	// Listen is host:port; workers are listed under it.
	Listen   string `json:"listen"`
	LogLevel string `json:"log-level,omitempty"`
	// Seed fixes run times, peaks and the chances of faults.
	Seed      int64            `json:"seed,omitempty"`
	Log       Log              `json:"log,omitzero"`
	ListLag   *model.Duration  `json:"list-lag,omitempty"`
	Instances []ports.Instance `json:"instances,omitempty"`
	Workers   []Group          `json:"workers,omitempty"`
	Tasks     Tasks            `json:"tasks,omitzero"`
	// SilentFor is how long a caller waits that gets no answer, before its connection is closed.
	SilentFor model.Duration `json:"silent-for,omitempty"`
}

// Log describes the log.
type Log struct {
	AppendsPerSecond float64        `json:"appends-per-second,omitempty"`
	Burst            int            `json:"burst,omitempty"`
	KeepRecords      int            `json:"keep-records,omitempty"`
	KeepFor          model.Duration `json:"keep-for,omitempty"`
	MaxBytes         int            `json:"max-bytes,omitempty"`
}

// Group describes workers that are alike; they are named Prefix and a number, which starts at 1.
type Group struct {
	Prefix     string             `json:"prefix"`
	Count      int                `json:"count"`
	DataCentre model.DataCentreID `json:"data-centre"`
	PerRack    int                `json:"per-rack,omitempty"`
	Capacity   model.Resources    `json:"capacity,omitzero"`
}

// Tasks describes how real tasks differ from what was declared.
type Tasks struct {
	RunTime fleet.Range `json:"run-time,omitzero"`
	Peak    fleet.Range `json:"peak,omitzero"`
	// Scale multiplies all run times.
	Scale    float64         `json:"scale,omitempty"`
	UsageLag *model.Duration `json:"usage-lag,omitempty"`
}

const (
	defaultAppendsPerSecond = 400
	defaultKeepRecords      = 200_000
	defaultKeepFor          = time.Hour
	defaultMaxBytes         = 1 << 20
	defaultListLag          = 500 * time.Millisecond
	defaultUsageLag         = 2 * time.Second
	defaultSilentFor        = 3 * time.Second
	defaultPerRack          = 8
	defaultFactorMin        = 0.25
	defaultFactorMax        = 4
	defaultLevel            = "info"
)

// defaultCapacity is that of the workers in docs/design.md: 64 cores and 256 GB.
var defaultCapacity = model.Resources{Cores: 64_000, Memory: 256 << 10}

// Load reads settings from a JSON file, fills in defaults and checks them; it returns ErrBadSettings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrBadSettings, err)
	}
	settings, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	settings = settings.WithDefaults()
	return settings, settings.Check()
}

// Parse decodes settings and refuses unknown keys with ErrBadSettings.
func Parse(data []byte) (Settings, error) {
	var settings Settings
	if err := Decode(data, &settings); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrBadSettings, err)
	}
	return settings, nil
}

// Decode reads one JSON value and refuses unknown keys.
func Decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errTrailing
	}
	return nil
}

// WithDefaults returns the settings with defaults for what is unset.
func (s Settings) WithDefaults() Settings {
	s.LogLevel = orElse(s.LogLevel, defaultLevel)
	s.Log = s.Log.withDefaults()
	s.ListLag = orElse(s.ListLag, pointer(defaultListLag))
	s.SilentFor = orElse(s.SilentFor, model.Duration(defaultSilentFor))
	s.Tasks.RunTime = orElse(s.Tasks.RunTime, fleet.Range{Min: defaultFactorMin, Max: defaultFactorMax})
	s.Tasks.Peak = orElse(s.Tasks.Peak, fleet.Range{Min: defaultFactorMin, Max: defaultFactorMax})
	s.Tasks.Scale = orElse(s.Tasks.Scale, 1)
	s.Tasks.UsageLag = orElse(s.Tasks.UsageLag, pointer(defaultUsageLag))
	groups := make([]Group, 0, len(s.Workers))
	for _, group := range s.Workers {
		group.PerRack = orElse(group.PerRack, defaultPerRack)
		group.Capacity = orElse(group.Capacity, defaultCapacity)
		groups = append(groups, group)
	}
	s.Workers = groups
	return s
}

func (l Log) withDefaults() Log {
	l.AppendsPerSecond = orElse(l.AppendsPerSecond, defaultAppendsPerSecond)
	l.Burst = orElse(l.Burst, max(1, int(l.AppendsPerSecond/10)))
	l.KeepRecords = orElse(l.KeepRecords, defaultKeepRecords)
	l.KeepFor = orElse(l.KeepFor, model.Duration(defaultKeepFor))
	l.MaxBytes = orElse(l.MaxBytes, defaultMaxBytes)
	return l
}

func orElse[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func pointer(d time.Duration) *model.Duration {
	value := model.Duration(d)
	return &value
}

// Check returns ErrBadSettings for settings that can't be used.
func (s Settings) Check() error {
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		return fmt.Errorf("%w: listen: %w", ErrBadSettings, err)
	}
	for _, check := range []struct {
		name string
		fine bool
	}{
		{"log.appends-per-second", s.Log.AppendsPerSecond > 0},
		{"log.burst", s.Log.Burst > 0},
		{"log.keep-records", s.Log.KeepRecords > 0},
		{"log.keep-for", s.Log.KeepFor > 0},
		{"log.max-bytes", s.Log.MaxBytes > 0},
		{"list-lag", *s.ListLag >= 0},
		{"silent-for", s.SilentFor > 0},
		{"tasks.run-time", s.Tasks.RunTime.Min > 0 && s.Tasks.RunTime.Max >= s.Tasks.RunTime.Min},
		{"tasks.peak", s.Tasks.Peak.Min > 0 && s.Tasks.Peak.Max >= s.Tasks.Peak.Min},
		{"tasks.scale", s.Tasks.Scale > 0},
		{"tasks.usage-lag", *s.Tasks.UsageLag >= 0},
	} {
		if !check.fine {
			return fmt.Errorf("%w: %s: out of range", ErrBadSettings, check.name)
		}
	}
	return s.checkRows()
}

func (s Settings) checkRows() error {
	seen := make(map[string]bool)
	for _, row := range s.Rows() {
		if err := roster.Check(row); err != nil {
			return fmt.Errorf("%w: %w", ErrBadSettings, err)
		}
		if seen[row.ID] {
			return fmt.Errorf("%w: instance %q is listed twice", ErrBadSettings, row.ID)
		}
		seen[row.ID] = true
	}
	for _, group := range s.Workers {
		if group.Count < 1 || group.DataCentre == "" || group.PerRack < 1 || group.Capacity.Negative() {
			return fmt.Errorf("%w: workers %q: need a count, a data centre and a capacity", ErrBadSettings, group.Prefix)
		}
	}
	return nil
}
