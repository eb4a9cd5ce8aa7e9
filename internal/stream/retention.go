package stream

import (
	"time"

	"arbutuswing.example/internal/model"
)

const (
	// minSampleInterval is the least time between two sampled records.
	minSampleInterval = time.Second
	// maxSamples bounds the sampled records; when it is reached, every second one is dropped.
	maxSamples = 4096
	// minRetention is a lower bound of the estimate: without it, a clock jump could make snapshots due all the time.
	minRetention = 30 * time.Second
)

// retentionEstimator estimates how long the log keeps records: it samples the times of records and checks how old they
// are when the log drops them. A log that keeps a fixed number of records instead of a fixed time is covered too, at
// its current rate of records.
type retentionEstimator struct {
	period  time.Duration
	samples []sample
}

type sample struct {
	offset model.Offset
	time   time.Time
}

func newRetentionEstimator(assumed time.Duration) *retentionEstimator {
	return &retentionEstimator{period: assumed}
}

// sample registers the time of a record.
func (r *retentionEstimator) sample(offset model.Offset, at time.Time) {
	if n := len(r.samples); n > 0 && at.Sub(r.samples[n-1].time) < minSampleInterval {
		return
	}
	r.samples = append(r.samples, sample{offset: offset, time: at})
	if len(r.samples) < maxSamples {
		return
	}
	kept := r.samples[:0]
	for i := 0; i < len(r.samples); i += 2 {
		kept = append(kept, r.samples[i])
	}
	r.samples = kept
}

// observe updates the estimate when the log has dropped sampled records; first is the oldest offset that the log keeps.
// The period is the age of the oldest sample that is left or, if none is left, the age of the newest one dropped.
func (r *retentionEstimator) observe(first model.Offset, now time.Time) {
	dropped := 0
	for dropped < len(r.samples) && r.samples[dropped].offset < first {
		dropped++
	}
	if dropped == 0 {
		return
	}
	age := now.Sub(r.samples[dropped-1].time)
	if dropped < len(r.samples) {
		age = now.Sub(r.samples[dropped].time)
	}
	r.period = max(age, minRetention)
	r.samples = r.samples[dropped:]
}
