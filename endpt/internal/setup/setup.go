package setup

import (
	"cmp"
	"net"
	"strconv"
	"time"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/model"
)

const (
	defaultSlots       = 8
	defaultConnections = 60
	defaultHost        = "127.0.0.1"
	defaultWork        = 20 * time.Millisecond
	maxPort            = 65535
)

// Settings are the settings of a process that simulates endpoints.
type Settings struct {
	// Listen is the IP:port of the admin API, which sets faults and shows the audit.
	Listen   string `json:"listen"`
	LogLevel string `json:"log-level,omitempty"`
	// Platform is the IP:port of the platform; if it is empty, the endpoints don't register.
	Platform string  `json:"platform,omitempty"`
	Seed     int64   `json:"seed,omitempty"`
	Groups   []Group `json:"groups"`
	// Drain bounds how long a planned stop waits for running requests.
	Drain model.Duration `json:"drain,omitempty"`
	// Linger is the least time for which a stopping endpoint goes on refusing requests, so that callers see that it leaves.
	Linger model.Duration `json:"linger,omitempty"`
}

// Group configures identical endpoints; their IDs are Prefix and a number from 1.
type Group struct {
	Prefix     string             `json:"prefix"`
	Class      model.ClassID      `json:"class"`
	Count      int                `json:"count"`
	DataCentre model.DataCentreID `json:"data-centre"`
	// Host is 127.0.0.1 unless set.
	Host string `json:"host,omitempty"`
	// FirstPort is the port of the first endpoint; the others have the next ports.
	FirstPort int `json:"first-port"`
	// Slots is 8 unless set.
	Slots int `json:"slots,omitempty"`
	// Connections is 60 unless set.
	Connections int `json:"connections,omitempty"`
	// Work is the run time of requests that don't set their own; 20 ms unless set.
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

// WithDefaults returns the settings with defaults; the drain time of 30 s is that of planned stops in docs/design.md.
func (s Settings) WithDefaults() Settings {
	s.LogLevel = "info"
	s.Drain = model.Duration(30 * time.Second)
	s.Linger = model.Duration(time.Second)
	return s
}

func (g Group) withDefaults() Group {
	g.Host = cmp.Or(g.Host, defaultHost)
	g.Slots = cmp.Or(g.Slots, defaultSlots)
	g.Connections = cmp.Or(g.Connections, defaultConnections)
	g.Work = cmp.Or(g.Work, model.Duration(defaultWork))
	return g
}

// Check returns the problems of the settings.
func (s Settings) Check() []config.Problem {
	c := &config.Checker{}
	c.Address("listen", s.Listen, false)
	c.Level("log-level", s.LogLevel)
	if s.Platform != "" {
		c.Address("platform", s.Platform, false)
	}
	c.Require(len(s.Groups) > 0, "groups", "must not be empty")
	c.Require(s.Drain > 0, "drain", "must be greater than 0")
	c.Require(s.Linger >= 0, "linger", "must not be negative")
	for i, group := range s.Groups {
		group.check(c, "groups["+strconv.Itoa(i)+"]")
	}
	seen := make(map[string]bool)
	for _, spec := range s.Specs() {
		c.Require(!seen[spec.ID] && !seen[spec.Address], "groups", "endpoint %q at %s is defined twice", spec.ID, spec.Address)
		seen[spec.ID], seen[spec.Address] = true, true
	}
	return c.Problems()
}

func (g Group) check(c *config.Checker, path string) {
	c.Require(g.Class != "", path+".class", "must be set")
	c.Require(g.DataCentre != "", path+".data-centre", "must be set")
	c.Require(g.Count > 0, path+".count", "must be greater than 0")
	c.Require(g.FirstPort > 0 && g.FirstPort+g.Count-1 <= maxPort, path+".first-port", "ports must be from 1 to %d", maxPort)
	c.Require(g.Slots >= 0, path+".slots", "must not be negative")
	c.Require(g.Connections >= 0, path+".connections", "must not be negative")
	c.Require(g.Work >= 0, path+".work", "must not be negative")
}

// Specs returns the endpoints of all groups.
func (s Settings) Specs() []Spec {
	var specs []Spec
	for _, g := range s.Groups {
		g = g.withDefaults()
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
