package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPermissionCountsFromProof guards against an owner that goes on renewing leases and starting tasks for longer than the
// next owner waits.
func TestPermissionCountsFromProof(t *testing.T) {
	const limit = 3 * time.Second
	type call struct {
		// generation is that of the group in the answer to a renewal, or zero for an append.
		generation int64
		begun      time.Duration
	}
	appended := func(begun time.Duration) call { return call{0, begun} }
	renewed := func(generation int64, begun time.Duration) call { return call{generation, begun} }
	ms := time.Millisecond
	tests := []struct {
		name  string
		calls []call
		until time.Duration
	}{
		{"nothing proved", nil, 0},
		{"append", []call{appended(500 * ms)}, 3500 * ms},
		{"answers overtake each other", []call{appended(900 * ms), appended(500 * ms)}, 3900 * ms},
		{"renewals", []call{appended(0), renewed(1, 300*ms), renewed(1, 610*ms)}, 3610 * ms},
		{"renewals of a group that has changed", []call{
			appended(0), renewed(1, 300*ms), renewed(2, 610*ms),
		}, 3300 * ms},
		{"renewals after a lapse", []call{
			appended(0), renewed(1, 300*ms), renewed(3, 1310*ms), renewed(3, 1600*ms),
		}, 3300 * ms},
		{"append after a lapse", []call{
			appended(0), renewed(3, 1500*ms), appended(1600 * ms),
		}, 4600 * ms},
		{"renewal after a lapse and an append", []call{
			appended(0), renewed(3, 1500*ms), appended(1600 * ms), renewed(3, 1800*ms),
		}, 4600 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const start = time.Hour
			p := permission{limit: limit, epoch: 1}
			for _, c := range tt.calls {
				if c.generation > 0 {
					p.noteRenewal(c.generation, start+c.begun)
				} else {
					p.noteAppend(start + c.begun)
				}
			}
			end := start + tt.until
			assert.Equal(t, p.valid(end), false)
			assert.Equal(t, p.needsProof(end-limit/2), true)
			if tt.until > 0 {
				assert.Equal(t, p.valid(end-1), true)
				assert.Equal(t, p.needsProof(end-limit/2-1), false)
			}
		})
	}
}
