package setup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"arbutuswing.example/internal/model"
)

// ErrBadSettings reports settings that can't be used.
var ErrBadSettings = errors.New("bad settings")

var errTrailing = errors.New("more than one JSON value")

const (
	defaultSlots       = 8
	defaultConnections = 60
	defaultHost        = "127.0.0.1"
	defaultWork        = 20 * time.Millisecond
	defaultDrain       = 30 * time.Second
	defaultLinger      = time.Second
	defaultLevel       = "info"
	maxPort            = 65535
)

// Settings are the settings of a process that plays many endpoints.
type Settings struct {
	// Listen is host:port of faults and audit.
	Listen   string `json:"listen"`
	LogLevel string `json:"log-level,omitempty"`
	// Platform is host:port of the platform's list; without it the endpoints don't register.
	Platform string  `json:"platform,omitempty"`
	Seed     int64   `json:"seed,omitempty"`
	Groups   []Group `json:"groups"`
	// Drain bounds how long a planned stop waits for running requests.
	Drain model.Duration `json:"drain,omitempty"`
	// Linger is how long a leaving endpoint at least goes on refusing, so that its callers see the refusal.
	Linger *model.Duration `json:"linger,omitempty"`
}

// Group describes endpoints that are alike; they are named Prefix and a number, which starts at 1.
type Group struct {
	Prefix     string             `json:"prefix"`
	Class      model.ClassID      `json:"class"`
	Count      int                `json:"count"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Host       string             `json:"host,omitempty"`
	// FirstPort is the port of the first endpoint; the others follow.
	FirstPort   int `json:"first-port"`
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Work is how long a request takes that doesn't say so itself.
	Work model.Duration `json:"work,omitempty"`
}

// Spec describes one endpoint.
type Spec struct {
	ID          string
	Class       model.ClassID
	DataCentre  model.DataCentreID
	Address     string
	Slots       int
	Connections int
	Work        time.Duration
}

// Load reads settings from a JSON file, fills in defaults and checks them; it returns ErrBadSettings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrBadSettings, err)
	}
	var settings Settings
	if err := Decode(data, &settings); err != nil {
		return Settings{}, fmt.Errorf("%w: %s: %w", ErrBadSettings, path, err)
	}
	settings = settings.WithDefaults()
	return settings, settings.Check()
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
	s.Drain = orElse(s.Drain, model.Duration(defaultDrain))
	if s.Linger == nil {
		linger := model.Duration(defaultLinger)
		s.Linger = &linger
	}
	groups := make([]Group, 0, len(s.Groups))
	for _, g := range s.Groups {
		g.Host = orElse(g.Host, defaultHost)
		g.Slots = orElse(g.Slots, defaultSlots)
		g.Connections = orElse(g.Connections, defaultConnections)
		g.Work = orElse(g.Work, model.Duration(defaultWork))
		groups = append(groups, g)
	}
	s.Groups = groups
	return s
}

func orElse[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Check returns ErrBadSettings for settings that can't be used.
func (s Settings) Check() error {
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		return fmt.Errorf("%w: listen: %w", ErrBadSettings, err)
	}
	if len(s.Groups) == 0 || s.Drain < 0 || *s.Linger < 0 {
		return fmt.Errorf("%w: needs groups, and drain and linger from 0 on", ErrBadSettings)
	}
	for _, g := range s.Groups {
		if g.Class == "" || g.DataCentre == "" || g.Count < 1 {
			return fmt.Errorf("%w: group %q: needs a class, a data centre and a count", ErrBadSettings, g.Prefix)
		}
		if g.FirstPort < 1 || g.FirstPort+g.Count-1 > maxPort {
			return fmt.Errorf("%w: group %q: ports out of range", ErrBadSettings, g.Prefix)
		}
		if g.Slots < 1 || g.Connections < 1 || g.Work < 0 {
			return fmt.Errorf("%w: group %q: slots and connections must be positive", ErrBadSettings, g.Prefix)
		}
	}
	return s.checkUnique()
}

func (s Settings) checkUnique() error {
	seen := make(map[string]bool)
	for _, spec := range s.Specs() {
		if seen[spec.ID] || seen[spec.Address] {
			return fmt.Errorf("%w: endpoint %q at %s is there twice", ErrBadSettings, spec.ID, spec.Address)
		}
		seen[spec.ID], seen[spec.Address] = true, true
	}
	return nil
}

// Specs returns the endpoints of all groups.
func (s Settings) Specs() []Spec {
	var specs []Spec
	for _, g := range s.Groups {
		for n := range g.Count {
			specs = append(specs, Spec{
				ID: g.Prefix + strconv.Itoa(n+1), Class: g.Class, DataCentre: g.DataCentre,
				Address: net.JoinHostPort(g.Host, strconv.Itoa(g.FirstPort+n)),
				Slots:   g.Slots, Connections: g.Connections, Work: g.Work.Std(),
			})
		}
	}
	return specs
}
