package terms

import (
	"maps"
	"strings"
	"time"

	"arbutuswing.example/internal/model"
)

// Advice describes the placement advice that a queue requires.
type Advice struct {
	// BaseTime is the service's time for one call, and PerWorker what each worker named adds to it.
	BaseTime      time.Duration
	TimePerWorker time.Duration
	// TicketValidity is how long a ticket is accepted.
	TicketValidity time.Duration
}

// Queue is where jobs are handed in.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Priority orders queues; lower goes first and may preempt higher.
	Priority int
	// Attempts is how often a task may fail.
	Attempts int
	// Stretch times the longest chain of work, plus Latency, is the objective for a job's completion.
	Stretch float64
	Latency time.Duration
	// Advice is nil when every worker of the pool may run the queue's tasks.
	Advice *Advice
	// Anonymous queues need no key.
	Anonymous bool
}

// Team is an owner of jobs.
type Team struct {
	ID model.TeamID
	// Share is the team's weight, and the jobs a second up to which its work is owed.
	Share float64
	// Limit bounds what the team has running; a zero dimension is unlimited.
	Limit model.Resources
}

// Limits bounds the requests of clients.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}

// Configuration is one version of the configuration; it is immutable.
type Configuration struct {
	Version int64
	Queues  []Queue
	Teams   map[model.TeamID]Team
	Limits  Limits

	keys map[model.KeyHash]model.TeamID
	out  map[model.DataCentreID]bool
	// standby holds the pools whose workers are switched off.
	standby map[string]bool
}

// Params builds terms.
type Params struct {
	Version int64
	Queues  []Queue
	Teams   []Team
	// Keys maps the hash of each key to its team.
	Keys    map[model.KeyHash]model.TeamID
	Limits  Limits
	Standby []string
}

// New returns terms with every data centre in service.
func New(cfg Params) Configuration {
	t := Configuration{
		Version: cfg.Version, Queues: cfg.Queues, Limits: cfg.Limits, keys: cfg.Keys,
		Teams: make(map[model.TeamID]Team, len(cfg.Teams)), standby: make(map[string]bool),
	}
	for _, team := range cfg.Teams {
		t.Teams[team.ID] = team
	}
	for _, pool := range cfg.Standby {
		t.standby[pool] = true
	}
	return t
}

// WithOutOfService returns the terms with exactly these data centres out of service.
func (t Configuration) WithOutOfService(out map[model.DataCentreID]bool) Configuration {
	t.out = maps.Clone(out)
	return t
}

// OutOfService reports whether a data centre is out of service.
func (t Configuration) OutOfService(dc model.DataCentreID) bool { return t.out[dc] }

// Standby reports whether the workers of a pool are switched off.
func (t Configuration) Standby(pool string) bool { return t.standby[pool] }

// TeamOf returns the team that a key was granted to.
func (t Configuration) TeamOf(key string) (model.TeamID, bool) {
	team, ok := t.keys[model.HashKey(key)]
	return team, ok
}

// Route returns the queue whose host matches and whose prefix is the longest that the path begins with.
func (t Configuration) Route(host, path string) (Queue, bool) {
	best, found := Queue{}, false
	for _, q := range t.Queues {
		if q.Host != "" && !strings.EqualFold(q.Host, host) {
			continue
		}
		if strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns the queue of that name.
func (t Configuration) Queue(name string) (Queue, bool) {
	for _, q := range t.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
