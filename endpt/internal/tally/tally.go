package tally

import (
	"maps"
	"sync"
	"time"
)

// leaveGrace is how long after it began to leave an endpoint may still be offered requests.
const leaveGrace = 5 * time.Second

// RefusalReason is why a request did not run.
type RefusalReason string

// Refusals.
const (
	Busy        RefusalReason = "busy"
	Leaving     RefusalReason = "leaving"
	Connections RefusalReason = "connections"
)

// Report is everything that was counted.
type Report struct {
	Runs     int                   `json:"runs"`
	Running  int                   `json:"running"`
	Refused  map[RefusalReason]int `json:"refused"`
	Requests int                   `json:"requests"`
	// Repeated lists requests that ran more than once, with the number of runs.
	Repeated map[string]int `json:"repeated"`
	// RepeatedAttempts counts attempts that arrived more than once; an adapter that never resends causes none.
	RepeatedAttempts int `json:"repeated-attempts"`
	// LateArrivals counts requests that reached an endpoint more than 5 s after it began to leave.
	LateArrivals int `json:"late-offers"`
	// ByRequest holds the runs of every request, on demand.
	ByRequest map[string]int  `json:"runs-by-request,omitempty"`
	Endpoints map[string]Load `json:"endpoints"`
}

// Load describes one endpoint.
type Load struct {
	Runs            int  `json:"runs"`
	Busy            int  `json:"busy"`
	Connections     int  `json:"connections"`
	PeakConnections int  `json:"peak-connections"`
	Silent          int  `json:"silent"`
	Leaving         bool `json:"leaving,omitempty"`
}

// Counters counts; it is safe for concurrent use.
type Counters struct {
	mu           sync.Mutex
	runs         int
	running      int
	refused      map[RefusalReason]int
	requests     map[string]int
	attempts     map[string]int
	lateArrivals int
}

// New returns an empty tally.
func New() *Counters {
	return &Counters{
		refused: map[RefusalReason]int{Busy: 0, Leaving: 0, Connections: 0}, requests: make(map[string]int),
		attempts: make(map[string]int),
	}
}

// RecordArrival records that an attempt arrived at an endpoint that has been leaving for a time, zero if it isn't leaving.
func (t *Counters) RecordArrival(attempt string, leavingFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[attempt]++
	if leavingFor > leaveGrace {
		t.lateArrivals++
	}
}

// Refused records a request that did not run.
func (t *Counters) RecordRefusal(why RefusalReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[why]++
}

// RecordStart records that a request runs; requests without an ID count as runs only.
func (t *Counters) RecordStart(request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	t.running++
	if request != "" {
		t.requests[request]++
	}
}

// RecordEnd records that a run is over.
func (t *Counters) RecordEnd() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// Report returns a copy of the counts; all asks for the runs of every request.
func (t *Counters) Report(all bool) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := Report{
		Runs: t.runs, Running: t.running, Refused: maps.Clone(t.refused), Requests: len(t.requests),
		Repeated: make(map[string]int), LateArrivals: t.lateArrivals, Endpoints: make(map[string]Load),
	}
	for id, runs := range t.requests {
		if runs > 1 {
			report.Repeated[id] = runs
		}
	}
	for _, times := range t.attempts {
		if times > 1 {
			report.RepeatedAttempts++
		}
	}
	if all {
		report.ByRequest = maps.Clone(t.requests)
	}
	return report
}
