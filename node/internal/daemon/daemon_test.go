package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStagesOfStopShareGrace guards against a stopping node that cuts a call while a part of its grace is unused, or that is killed
// before it has ended.
func TestStagesOfStopShareGrace(t *testing.T) {
	tests := []struct {
		grace, serveUntil, answerBy time.Duration
	}{
		{6 * time.Second, 4800 * time.Millisecond, 5300 * time.Millisecond},
		{10 * time.Second, 8800 * time.Millisecond, 9300 * time.Millisecond},
		{4 * time.Second, 2800 * time.Millisecond, 3300 * time.Millisecond},
		{2 * time.Second, 1300 * time.Millisecond, 1300 * time.Millisecond},
		{500 * time.Millisecond, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.grace.String(), func(t *testing.T) {
			plan := planStop(tt.grace)
			assert.Equal(t, plan.serveUntil, tt.serveUntil)
			assert.Equal(t, plan.answerBy, tt.answerBy)
			assert.Assert(t, plan.answerBy <= plan.closeBy)
			if plan.closeBy > 0 {
				assert.Equal(t, plan.closeBy+componentsTimeout+logFlushTimeout+exitMargin, tt.grace)
			}
		})
	}
}
