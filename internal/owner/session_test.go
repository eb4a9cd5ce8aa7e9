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
		workers         int
		busy, forCommit time.Duration
	}{
		{1, busyWait, time.Millisecond},
		{48, busyWait, 48 * time.Millisecond},
		{350, busyWait, 350 * time.Millisecond},
		{600, time.Second, maxCommitWait},
		{1100, idleWait, maxCommitWait},
		{7500, idleWait, maxCommitWait},
	}
	for _, tt := range tests {
		assert.Assert(t, (busyWaitFor(tt.workers)-tt.busy).Abs() < time.Millisecond, "%d workers: %v", tt.workers, busyWaitFor(tt.workers))
		assert.Equal(t, commitWaitFor(tt.workers), tt.forCommit)
	}
}
