package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBusyWaitBoundsHeartbeats guards against an owner that a large fleet's reports keep from deciding, and against waits
// after which a worker would count as silent.
func TestBusyWaitBoundsHeartbeats(t *testing.T) {
	tests := []struct {
		workers int
		want    time.Duration
	}{
		{1, busyWait}, {350, busyWait}, {600, time.Second}, {1100, idleWait}, {7500, idleWait},
	}
	for _, tt := range tests {
		assert.Assert(t, (busyWaitFor(tt.workers)-tt.want).Abs() < time.Millisecond, "%d workers: %v", tt.workers, busyWaitFor(tt.workers))
	}
}

// TestHeartbeatPauseGrowsWithLateness guards against reports that keep an overloaded owner from starting work. The load
// pattern: a burst on a fleet so large that its reports alone fill the owner's processor.
func TestHeartbeatPauseGrowsWithLateness(t *testing.T) {
	tests := []struct{ lateness, want time.Duration }{
		{-time.Millisecond, heartbeatPause},
		{time.Millisecond, heartbeatPause},
		{10 * time.Millisecond, 200 * time.Millisecond},
		{time.Second, maxHeartbeatPause},
	}
	for _, tt := range tests {
		assert.Equal(t, heartbeatPauseFor(tt.lateness), tt.want)
	}
	// A worker must still report twice before it counts as silent.
	assert.Assert(t, maxHeartbeatPause+idleWait < 2500*time.Millisecond)
}
