package route

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyHighest = int64(time.Minute / time.Microsecond)
	latencyDigits  = 2
	// latencyWindow is the number of answers after which older ones are dropped.
	latencyWindow = 500
	// firstTryFactor times the 95th percentile is how long the first try of an idempotent request may take.
	firstTryFactor = 4
	firstTryFloor  = 250 * time.Millisecond
	assumedLatency = 50 * time.Millisecond
)

// latency learns how long answers of a class take.
type latency struct {
	mu      sync.Mutex
	current *hdrhistogram.Histogram
	mean    time.Duration
	p95     time.Duration
}

func newLatency() *latency {
	return &latency{current: hdrhistogram.New(1, latencyHighest, latencyDigits), mean: assumedLatency}
}

// record takes in one answer.
func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A value beyond the histogram's range counts as its highest.
	_ = l.current.RecordValue(min(max(d.Microseconds(), 1), latencyHighest))
	n := l.current.TotalCount()
	if n%50 != 0 {
		return
	}
	l.mean = time.Duration(l.current.Mean() * float64(time.Microsecond))
	l.p95 = time.Duration(l.current.ValueAtQuantile(95)) * time.Microsecond
	if n >= latencyWindow {
		l.current.Reset()
	}
}

// typical returns the mean time of an answer.
func (l *latency) typical() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean
}

// firstTry returns how long to wait for the first try of an idempotent request before trying elsewhere; zero while
// too little is known.
func (l *latency) firstTry() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.p95 == 0 {
		return 0
	}
	return max(firstTryFactor*l.p95, firstTryFloor)
}
