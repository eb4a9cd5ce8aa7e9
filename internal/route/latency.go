package route

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicroseconds   = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 2
	// latencyWindow is the number of answers after which the histogram is reset.
	latencyWindow = 500
	// firstAttemptFactor times the 95th percentile is the timeout of the first attempt of an idempotent request, at
	// least minFirstAttemptTimeout.
	firstAttemptFactor     = 4
	minFirstAttemptTimeout = 250 * time.Millisecond
	initialLatency         = 50 * time.Millisecond
)

// latencyStats measures the time to answer the requests of a class.
type latencyStats struct {
	mu      sync.Mutex
	current *hdrhistogram.Histogram
	mean    time.Duration
	p95     time.Duration
}

func newLatencyStats() *latencyStats {
	return &latencyStats{current: hdrhistogram.New(1, maxLatencyMicroseconds, latencySignificantDigits), mean: initialLatency}
}

// record adds the time of one answer.
func (l *latencyStats) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Clamped to the histogram's range, the value is always accepted; a longer time counts as the longest.
	_ = l.current.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicroseconds))
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

// meanLatency returns the mean time of an answer.
func (l *latencyStats) meanLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean
}

// firstAttemptTimeout returns how long to wait for the first attempt of an idempotent request before another endpoint
// is tried; zero while too few answers were measured.
func (l *latencyStats) firstAttemptTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.p95 == 0 {
		return 0
	}
	return max(firstAttemptFactor*l.p95, minFirstAttemptTimeout)
}
