package tally

import (
	"maps"
	"sync"
	"time"
)

// leaveGrace is how long requests may still arrive at an endpoint after it began to leave.
const leaveGrace = 5 * time.Second

// RefusalReason tells why an endpoint refused a request.
type RefusalReason string

// Reasons for refusals: no free slot, the endpoint is leaving, or too many connections.
const (
	Busy        RefusalReason = "busy"
	Leaving     RefusalReason = "leaving"
	Connections RefusalReason = "connections"
)

// Report holds all counts.
type Report struct {
	Runs     int                   `json:"runs"`
	Running  int                   `json:"running"`
	Refused  map[RefusalReason]int `json:"refused"`
	Requests int                   `json:"requests"`
	// Repeated lists requests that ran more than once, with the number of runs.
	Repeated map[string]int `json:"repeated"`
	// RepeatedAttempts counts attempts that arrived more than once; there are none if the client never resends.
	RepeatedAttempts int `json:"repeated-attempts"`
	// LateArrivals counts requests that reached an endpoint more than 5 s after it began to leave.
	LateArrivals int `json:"late-offers"`
	// ByRequest holds the runs of every request, if asked for.
	ByRequest map[string]int  `json:"runs-by-request,omitempty"`
	Endpoints map[string]Load `json:"endpoints"`
}

// Load holds the counts of one endpoint.
type Load struct {
	Runs            int  `json:"runs"`
	Busy            int  `json:"busy"`
	Connections     int  `json:"connections"`
	PeakConnections int  `json:"peak-connections"`
	Silent          int  `json:"silent"`
	Leaving         bool `json:"leaving,omitempty"`
}

// Counters counts runs and refusals; it is safe for concurrent use.
type Counters struct {
	mu           sync.Mutex
	runs         int
	running      int
	refused      map[RefusalReason]int
	requests     map[string]int
	attempts     map[string]int
	lateArrivals int
}

// New returns counters at zero.
func New() *Counters {
	return &Counters{
		refused: map[RefusalReason]int{Busy: 0, Leaving: 0, Connections: 0}, requests: make(map[string]int),
		attempts: make(map[string]int),
	}
}

// RecordArrival records that an attempt arrived at an endpoint; leavingFor is how long it has been leaving, or zero.
func (c *Counters) RecordArrival(attempt string, leavingFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[attempt]++
	if leavingFor > leaveGrace {
		c.lateArrivals++
	}
}

// RecordRefusal records a request that the endpoint refused.
func (c *Counters) RecordRefusal(why RefusalReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[why]++
}

// RecordStart records that a request began to run; one without an ID only counts as a run.
func (c *Counters) RecordStart(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
	c.running++
	if request != "" {
		c.requests[request]++
	}
}

// RecordEnd records that a run is over.
func (c *Counters) RecordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

// Report returns a copy of the counts; with all, it includes the runs of every request.
func (c *Counters) Report(all bool) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := Report{
		Runs: c.runs, Running: c.running, Refused: maps.Clone(c.refused), Requests: len(c.requests),
		Repeated: make(map[string]int), LateArrivals: c.lateArrivals, Endpoints: make(map[string]Load),
	}
	for id, runs := range c.requests {
		if runs > 1 {
			report.Repeated[id] = runs
		}
	}
	for _, times := range c.attempts {
		if times > 1 {
			report.RepeatedAttempts++
		}
	}
	if all {
		report.ByRequest = maps.Clone(c.requests)
	}
	return report
}
