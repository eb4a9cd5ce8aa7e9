package stream

import (
	"time"

	"arbutuswing.example/internal/model"
)

const (
	// sampleGap is the least time between two remembered records.
	sampleGap = time.Second
	// sampleLimit bounds the remembered records; when it is reached, every second one is dropped.
	sampleLimit = 4096
	// retentionMin keeps a clock that jumps from making snapshots due all the time.
	retentionMin = 30 * time.Second
)

// retention learns how long the log keeps records: it remembers when some were written and looks how old they are when
// the log drops them. A log that keeps a number of records rather than a time is covered by the same rule, at its
// present rate of records.
type retention struct {
	period  time.Duration
	samples []sample
}

type sample struct {
	offset model.Offset
	time   time.Time
}

func newRetention(assumed time.Duration) *retention {
	return &retention{period: assumed}
}

// sample remembers a record's time.
func (r *retention) sample(offset model.Offset, at time.Time) {
	if n := len(r.samples); n > 0 && at.Sub(r.samples[n-1].time) < sampleGap {
		return
	}
	r.samples = append(r.samples, sample{offset: offset, time: at})
	if len(r.samples) < sampleLimit {
		return
	}
	kept := r.samples[:0]
	for i := 0; i < len(r.samples); i += 2 {
		kept = append(kept, r.samples[i])
	}
	r.samples = kept
}

// observe takes the oldest offset that the log keeps; when remembered records are gone, the oldest one left tells the
// retention period, and the newest one gone bounds it.
func (r *retention) observe(first model.Offset, now time.Time) {
	gone := 0
	for gone < len(r.samples) && r.samples[gone].offset < first {
		gone++
	}
	if gone == 0 {
		return
	}
	age := now.Sub(r.samples[gone-1].time)
	if gone < len(r.samples) {
		age = now.Sub(r.samples[gone].time)
	}
	r.period = max(age, retentionMin)
	r.samples = r.samples[gone:]
}
