package uptime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNowAdvances guards against a clock that stands still or has another unit.
func TestNowAdvances(t *testing.T) {
	begun, first := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	passed := Now() - first
	assert.Check(t, passed >= 20*time.Millisecond && passed <= time.Since(begun)+time.Second, "%v", passed)
}
