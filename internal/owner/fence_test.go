package owner

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// TestFenceIsLoggedOnce guards against a line in the log for each command that is refused after the first one.
func TestFenceIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	ow := newOwnership(Config{Log: zap.New(core), Shard: testShard}, 1, nil)
	ow.fence("worker w1")
	ow.fence("worker w2")
	assert.Equal(t, logs.FilterMessage("ownership fenced").Len(), 1)
	assert.Assert(t, ow.ended())
}
