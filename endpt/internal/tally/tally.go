package tally

import (
	"maps"
	"sync"
	"time"
)

// leaveGrace is how long after it began to leave an endpoint may still be offered requests.
const leaveGrace = 5 * time.Second

// Refusal is why a request did not run.
type Refusal string

// Refusals.
const (
	Busy        Refusal = "busy"
	Leaving     Refusal = "leaving"
	Connections Refusal = "connections"
)

// Report is everything that was counted.
type Report struct {
	Runs     int             `json:"runs"`
	Running  int             `json:"running"`
	Refused  map[Refusal]int `json:"refused"`
	Requests int             `json:"requests"`
	// Repeated lists requests that ran more than once, with the number of runs.
	Repeated map[string]int `json:"repeated"`
	// RepeatedAttempts counts attempts that arrived more than once; an adapter that never resends causes none.
	RepeatedAttempts int `json:"repeated-attempts"`
	// LateOffers counts requests that reached an endpoint more than 5 s after it began to leave.
	LateOffers int `json:"late-offers"`
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

// Tally counts; it is safe for concurrent use.
type Tally struct {
	mu         sync.Mutex
	runs       int
	running    int
	refused    map[Refusal]int
	requests   map[string]int
	attempts   map[string]int
	lateOffers int
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{
		refused: map[Refusal]int{Busy: 0, Leaving: 0, Connections: 0}, requests: make(map[string]int),
		attempts: make(map[string]int),
	}
}

// Offered records that an attempt arrived at an endpoint that has been leaving for a time, zero if it isn't leaving.
func (t *Tally) Offered(attempt string, leavingFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[attempt]++
	if leavingFor > leaveGrace {
		t.lateOffers++
	}
}

// Refused records a request that did not run.
func (t *Tally) Refused(why Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[why]++
}

// Began records that a request runs; requests without an ID count as runs only.
func (t *Tally) Began(request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	t.running++
	if request != "" {
		t.requests[request]++
	}
}

// Finished records that a run is over.
func (t *Tally) Finished() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// Report returns a copy of the counts; all asks for the runs of every request.
func (t *Tally) Report(all bool) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := Report{
		Runs: t.runs, Running: t.running, Refused: maps.Clone(t.refused), Requests: len(t.requests),
		Repeated: make(map[string]int), LateOffers: t.lateOffers, Endpoints: make(map[string]Load),
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
