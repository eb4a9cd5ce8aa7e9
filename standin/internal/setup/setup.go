package setup

import (
	"cmp"
	"strconv"
	"time"

	"arbutuswing.example/internal/config"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/standin/internal/fleet"
	"arbutuswing.example/standin/internal/roster"
)

// Settings are the stand-in's settings.
type Settings struct {
	// Listen is the IP:port to serve on; the workers' listed addresses start with it.
	Listen   string `json:"listen"`
	LogLevel string `json:"log-level,omitempty"`
	// Seed determines run times, peaks and which calls random faults affect.
	Seed      int64            `json:"seed,omitempty"`
	Log       Log              `json:"log,omitzero"`
	ListLag   model.Duration   `json:"list-lag,omitempty"`
	Instances []ports.Instance `json:"instances,omitempty"`
	Workers   []WorkerGroup    `json:"workers,omitempty"`
	Tasks     Tasks            `json:"tasks,omitzero"`
	// SilentFor is how long the connection of an unanswered call stays open.
	SilentFor model.Duration `json:"silent-for,omitempty"`
}

// Log configures the log: the append rate, the retention in records and in time, and the size of one record.
type Log struct {
	AppendsPerSecond float64        `json:"appends-per-second,omitempty"`
	Burst            int            `json:"burst,omitempty"`
	KeepRecords      int            `json:"keep-records,omitempty"`
	KeepFor          model.Duration `json:"keep-for,omitempty"`
	MaxBytes         int            `json:"max-bytes,omitempty"`
}

// WorkerGroup configures identical workers; their IDs are Prefix and a number from 1.
type WorkerGroup struct {
	Prefix     string             `json:"prefix"`
	Count      int                `json:"count"`
	DataCentre model.DataCentreID `json:"data-centre"`
	// PerRack is 8 unless set.
	PerRack int `json:"per-rack,omitempty"`
	// Capacity is 64 cores and 256 GiB unless set.
	Capacity model.Resources `json:"capacity,omitzero"`
}

// Tasks configures how real tasks differ from their declarations, and how old reported usage is.
type Tasks struct {
	RunTime fleet.FactorRange `json:"run-time,omitzero"`
	Peak    fleet.FactorRange `json:"peak,omitzero"`
	// Scale multiplies the run times that are derived from declared ones.
	Scale    float64        `json:"scale,omitempty"`
	UsageLag model.Duration `json:"usage-lag,omitempty"`
}

const defaultPerRack = 8

// defaultCapacity is the capacity of a worker in docs/design.md: 64 cores and 256 GiB.
var defaultCapacity = model.Resources{Cores: 64_000, Memory: 256 << 10}

// WithDefaults returns the settings with the defaults from docs/design.md.
func (s Settings) WithDefaults() Settings {
	s.LogLevel = "info"
	s.Log = Log{
		AppendsPerSecond: 400, Burst: 40, KeepRecords: 200_000, KeepFor: model.Duration(time.Hour), MaxBytes: 1 << 20,
	}
	s.ListLag = model.Duration(500 * time.Millisecond)
	s.SilentFor = model.Duration(3 * time.Second)
	s.Tasks = Tasks{
		RunTime: fleet.FactorRange{Min: 0.25, Max: 4}, Peak: fleet.FactorRange{Min: 0.25, Max: 4}, Scale: 1,
		UsageLag: model.Duration(2 * time.Second),
	}
	return s
}

func (g WorkerGroup) withDefaults() WorkerGroup {
	g.PerRack = cmp.Or(g.PerRack, defaultPerRack)
	if g.Capacity.Zero() {
		g.Capacity = defaultCapacity
	}
	return g
}

// Check returns the problems of the settings.
func (s Settings) Check() []config.Problem {
	c := &config.Checker{}
	c.Address("listen", s.Listen, false)
	c.Level("log-level", s.LogLevel)
	c.Positive("log", s.Log)
	c.Positive("tasks.run-time", s.Tasks.RunTime)
	c.Positive("tasks.peak", s.Tasks.Peak)
	c.Require(s.Tasks.RunTime.Max >= s.Tasks.RunTime.Min, "tasks.run-time", "max must not be below min")
	c.Require(s.Tasks.Peak.Max >= s.Tasks.Peak.Min, "tasks.peak", "max must not be below min")
	c.Require(s.Tasks.Scale > 0, "tasks.scale", "must be greater than 0")
	c.Require(s.Tasks.UsageLag >= 0, "tasks.usage-lag", "must not be negative")
	c.Require(s.ListLag >= 0, "list-lag", "must not be negative")
	c.Require(s.SilentFor > 0, "silent-for", "must be greater than 0")
	for i, group := range s.Workers {
		path := "workers[" + strconv.Itoa(i) + "]"
		c.Require(group.Count > 0, path+".count", "must be greater than 0")
		c.Require(group.DataCentre != "", path+".data-centre", "must be set")
		c.Require(group.PerRack >= 0, path+".per-rack", "must not be negative")
		c.Require(!group.Capacity.Negative(), path+".capacity", "must not be negative")
	}
	for i, instance := range s.Instances {
		err := roster.Check(instance)
		c.Require(err == nil, "instances["+strconv.Itoa(i)+"]", "%v", err)
	}
	seen := make(map[string]bool)
	for _, instance := range s.InitialInstances() {
		c.Require(!seen[instance.ID], "listen", "instance %q is listed twice", instance.ID)
		seen[instance.ID] = true
	}
	return c.Problems()
}
