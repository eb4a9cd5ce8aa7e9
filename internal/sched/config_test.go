package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCheckRefusesNegativeSettings guards against a duration that turns a decision around.
func TestCheckRefusesNegativeSettings(t *testing.T) {
	valid := Config{DataCentre: "dc1"}.WithDefaults()
	assert.NilError(t, valid.Check())
	tests := []struct {
		name   string
		change func(*Config)
	}{
		{"remaining run time", func(c *Config) { c.MinRemainingTime = -time.Second }},
		{"preemption delay", func(c *Config) { c.PreemptionDelay = -time.Second }},
		{"claim timeout", func(c *Config) { c.ClaimTimeout = -time.Second }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := valid
			tt.change(&c)
			assert.ErrorIs(t, c.Check(), ErrConfig)
		})
	}
}
