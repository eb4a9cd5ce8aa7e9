package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPermissionCountsFromProof guards against an owner that goes on renewing leases and starting tasks for longer than the
// next owner waits.
func TestPermissionCountsFromProof(t *testing.T) {
	const (
		limit = 3 * time.Second
		ttl   = time.Second
	)
	type call struct {
		// generation is that of the group in the answer to a renewal, or zero for an append.
		generation      int64
		begun, answered time.Duration
	}
	appended := func(begun, answered time.Duration) call { return call{0, begun, answered} }
	renewed := func(generation int64, begun, answered time.Duration) call { return call{generation, begun, answered} }
	ms := time.Millisecond
	tests := []struct {
		name  string
		calls []call
		until time.Duration
	}{
		{"nothing proved", nil, 0},
		{"append", []call{appended(500*ms, 510*ms)}, 3500 * ms},
		{"append answered late", []call{appended(500*ms, 6000*ms)}, 3500 * ms},
		{"answers overtake each other", []call{appended(900*ms, 910*ms), appended(500*ms, 950*ms)}, 3900 * ms},
		{"renewals", []call{appended(0, 10*ms), renewed(1, 300*ms, 310*ms), renewed(2, 610*ms, 620*ms)}, 3610 * ms},
		{"renewals by a slow store", []call{
			appended(0, 400*ms), renewed(1, 800*ms, 1200*ms), renewed(1, 1500*ms, 1900*ms),
		}, 4500 * ms},
		{"renewal of a group that has changed meanwhile", []call{appended(0, 10*ms), renewed(2, 300*ms, 1001*ms)}, 3000 * ms},
		{"renewals after a lapse", []call{
			appended(0, 10*ms), renewed(1, 300*ms, 310*ms), renewed(3, 1310*ms, 1320*ms), renewed(3, 1600*ms, 1610*ms),
		}, 3300 * ms},
		{"append after a lapse", []call{
			appended(0, 10*ms), renewed(3, 1500*ms, 1510*ms), appended(1600*ms, 1610*ms),
		}, 4600 * ms},
		{"renewal after a lapse and an append", []call{
			appended(0, 10*ms), renewed(3, 1500*ms, 1510*ms), appended(1600*ms, 1610*ms), renewed(3, 1800*ms, 1810*ms),
		}, 4600 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			p := permission{limit: limit, ttl: ttl, generation: 1, renewedAt: start}
			for _, c := range tt.calls {
				if c.generation > 0 {
					p.noteRenewal(c.generation, start.Add(c.begun), start.Add(c.answered))
				} else {
					p.noteAppend(start.Add(c.begun))
				}
			}
			end := start.Add(tt.until)
			assert.Equal(t, p.valid(end), false)
			assert.Equal(t, p.needsProof(end.Add(-limit/2)), true)
			if tt.until > 0 {
				assert.Equal(t, p.valid(end.Add(-1)), true)
				assert.Equal(t, p.needsProof(end.Add(-limit/2-1)), false)
			}
		})
	}
}
