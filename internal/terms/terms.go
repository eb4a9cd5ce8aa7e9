package terms

import (
	"maps"
	"strings"
	"time"

	"arbutuswing.example/internal/model"
)

// Advice describes the placement advice service that a queue uses.
type Advice struct {
	// BaseTime is how long the service takes for a call, to which each worker named in the call adds TimePerWorker.
	BaseTime      time.Duration
	TimePerWorker time.Duration
	// TicketValidity is how long a ticket is accepted after it was issued.
	TicketValidity time.Duration
}

// Queue is a queue to which jobs are submitted.
type Queue struct {
	Name string
	// Host and Prefix are matched against the host and the path of a request; an empty Host matches every host.
	Host   string
	Prefix string
	// Pool is the pool of workers that run the queue's jobs.
	Pool string
	// Priority orders queues: jobs of a queue with a lower number go first and may preempt those with a higher one.
	Priority int
	// Attempts is the number of failed attempts after which a task is not tried again.
	Attempts int
	// A job's completion objective is the estimated time of its longest chain of stages, multiplied by Stretch, plus
	// Latency.
	Stretch float64
	Latency time.Duration
	// Advice is nil if every worker of the pool may run the queue's tasks without advice.
	Advice *Advice
	// Anonymous is true if jobs may be submitted without a key.
	Anonymous bool
}

// Team is a team that owns jobs.
type Team struct {
	ID model.TeamID
	// Share is the team's weight. It is also a rate in jobs per second: jobs above it yield to jobs within their team's share.
	// Zero or less means that there is no such bound.
	Share float64
	// Limit is the upper limit of the team's running work; a dimension that is zero is unlimited.
	Limit model.Resources
}

// Limits holds the largest sizes of client requests, in bytes.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}

// Configuration is one version of the operators' configuration; it is immutable.
type Configuration struct {
	Version int64
	Queues  []Queue
	Teams   map[model.TeamID]Team
	Limits  Limits

	keys         map[model.KeyHash]model.TeamID
	outOfService map[model.DataCentreID]bool
	// standby holds the pools whose workers are switched off.
	standby map[string]bool
	// topPriority is the lowest priority value of the queues.
	topPriority int
}

// Params holds the parameters of New.
type Params struct {
	Version int64
	Queues  []Queue
	Teams   []Team
	// Keys maps the hash of each key to its team.
	Keys   map[model.KeyHash]model.TeamID
	Limits Limits
	// Standby lists the pools whose workers are switched off.
	Standby []string
}

// New returns a configuration with every data centre in service.
func New(params Params) Configuration {
	c := Configuration{
		Version: params.Version, Queues: params.Queues, Limits: params.Limits, keys: params.Keys,
		Teams: make(map[model.TeamID]Team, len(params.Teams)), standby: make(map[string]bool),
	}
	for _, team := range params.Teams {
		c.Teams[team.ID] = team
	}
	for _, pool := range params.Standby {
		c.standby[pool] = true
	}
	for i, q := range params.Queues {
		if i == 0 || q.Priority < c.topPriority {
			c.topPriority = q.Priority
		}
	}
	return c
}

// WithOutOfService returns a copy of the configuration in which exactly the given data centres are out of service.
func (c Configuration) WithOutOfService(dataCentres map[model.DataCentreID]bool) Configuration {
	c.outOfService = maps.Clone(dataCentres)
	return c
}

// OutOfService reports whether the data centre is out of service.
func (c Configuration) OutOfService(dc model.DataCentreID) bool { return c.outOfService[dc] }

// Standby reports whether the workers of the pool are switched off.
func (c Configuration) Standby(pool string) bool { return c.standby[pool] }

// TopPriority returns the priority of the most urgent queues, or 0 if there are no queues.
func (c Configuration) TopPriority() int { return c.topPriority }

// TeamOf returns the team that the key belongs to; it returns false for an unknown key.
func (c Configuration) TeamOf(key string) (model.TeamID, bool) {
	team, ok := c.keys[model.HashKey(key)]
	return team, ok
}

// Route returns the queue for a request: of the queues whose host matches, the one with the longest prefix of the path.
// It returns false if there is none.
func (c Configuration) Route(host, path string) (Queue, bool) {
	best, found := Queue{}, false
	for _, q := range c.Queues {
		if q.Host != "" && !strings.EqualFold(q.Host, host) {
			continue
		}
		if strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns the queue of the given name; it returns false if there is none.
func (c Configuration) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
