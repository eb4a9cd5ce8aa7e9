package store

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestOffsets guards against a log that reuses, skips or reorders offsets, returns records past retention or omits retained
// ones.
func TestOffsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep, age = 5, 10 * time.Second
		clock := clockwork.NewFakeClock()
		s := New(Config{Clock: clock, AppendsPerSecond: 1e9, Burst: 1e9, KeepRecords: keep, KeepFor: age, MaxBytes: 10})
		var times []time.Time
		first := 0
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				offset, err := s.Append([]byte{byte(len(times))})
				if err != nil || offset != model.Offset(len(times)) {
					t.Fatalf("offset %d, error %v; want %d", offset, err, len(times))
				}
				times = append(times, clock.Now())
			},
			"advance": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
			},
			"truncate": func(t *rapid.T) {
				before := rapid.IntRange(0, len(times)+2).Draw(t, "before")
				s.Truncate(model.Offset(before))
				first = max(first, min(before, len(times)))
			},
			"": func(t *rapid.T) {
				for first < len(times) && (len(times)-first > keep || clock.Since(times[first]) > age) {
					first++
				}
				from := rapid.IntRange(max(0, first-1), len(times)+1).Draw(t, "from")
				batch, err := s.Read(cancelledContext(), model.Offset(from), 3)
				assert.Equal(t, batch.First, model.Offset(first))
				assert.Equal(t, batch.Next, model.Offset(len(times)))
				if from < first {
					assert.ErrorIs(t, err, ports.ErrTruncated)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, len(batch.Records), min(3, max(0, len(times)-from)))
				for i, record := range batch.Records {
					assert.Equal(t, record.Offset, model.Offset(from+i))
					assert.Equal(t, record.Data[0], byte(from+i))
				}
			},
		})
	})
}

// TestAppendRateLimit guards against appends above the rate limit, and against a limit that never allows appends again.
func TestAppendRateLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := New(Config{Clock: clock, AppendsPerSecond: 10, Burst: 2, KeepRecords: 100, KeepFor: time.Hour, MaxBytes: 10})
	accepted := 0
	for range 100 {
		if _, err := s.Append(nil); err == nil {
			accepted++
		} else {
			assert.ErrorIs(t, err, ports.ErrThrottled)
		}
		clock.Advance(10 * time.Millisecond)
	}
	assert.Equal(t, accepted, 11)
}
