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
