package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
)

// stoppedAfter plays a run that shows the percent and checkpoint that the function returns for its age, and returns after which
// time it is stopped for want of progress, or zero.
func stoppedAfter(h *harness, length time.Duration, progress func(age time.Duration) (int, string)) time.Duration {
	starts := h.confirmStarts()
	assert.Equal(h.t, len(starts), 1)
	id, begun := starts[0].Target.ID, h.now
	for h.now-begun < length {
		percent, checkpoint := progress(h.now - begun)
		h.clock[id] += 500 * time.Millisecond
		h.report(id, agent.Report{Running: []agent.ActiveRun{{
			Task: starts[0].Start.Task, Run: starts[0].Start.Run, Percent: percent, Checkpoint: checkpoint,
		}}})
		h.shard.Tick(h.now, h.wall)
		if h.shard.jobs["j"].stages[0].tasks[0].attempts[0].phase == phaseStopping {
			return h.now - begun
		}
		h.advance(500 * time.Millisecond)
	}
	return 0
}

// TestLongTaskIsNotStopped guards against a sound task that is stopped because it takes long for each percent.
func TestLongTaskIsNotStopped(t *testing.T) {
	tests := []struct {
		name       string
		perPercent time.Duration
		estimate   time.Duration
		saves      bool
	}{
		{"seconds", 100 * time.Millisecond, 10 * time.Second, false},
		{"minutes", 4 * time.Second, 400 * time.Second, false},
		{"a day", 15 * time.Minute, 25 * time.Hour, false},
		{"estimate twice too low", 4 * time.Second, 200 * time.Second, false},
		{"checkpoints only", time.Hour, 10 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2")
			h.submitJob(sized(1, 1000, tt.estimate))
			stopped := stoppedAfter(h, max(3*tt.perPercent, time.Minute), func(age time.Duration) (int, string) {
				checkpoint := ""
				if tt.saves {
					checkpoint = fmt.Sprint(int(age / (2 * time.Second)))
				}
				return int(age / tt.perPercent), checkpoint
			})
			assert.Equal(t, stopped, time.Duration(0))
		})
	}
}

// TestStandingTaskIsMoved guards against a task that stands still and is left alone.
func TestStandingTaskIsMoved(t *testing.T) {
	tests := []struct {
		name     string
		estimate time.Duration
		stalls   int
		least    time.Duration
	}{
		{"short", 6 * time.Second, 0, stallTimeout},
		{"of unknown length", 0, 0, stallTimeout},
		{"a hundred seconds", 100 * time.Second, 0, 12 * time.Second},
		{"stopped once before", 6 * time.Second, 1, 2 * stallTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2")
			h.submitJob(sized(1, 1000, tt.estimate))
			h.shard.jobs["j"].stages[0].tasks[0].stalls = tt.stalls
			stopped := stoppedAfter(h, time.Minute, func(time.Duration) (int, string) { return 0, "" })
			assert.Assert(t, stopped >= tt.least && stopped < tt.least+2*time.Second, "stopped after %v", stopped)
		})
	}
}

// TestSlowTaskEnds guards against a task that is stopped again and again although it only takes much longer than estimated.
func TestSlowTaskEnds(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(sized(1, 1000, time.Second))
	stops := 0
	for ; stops < maxStallDoublings; stops++ {
		stopped := stoppedAfter(h, 30*time.Second, func(age time.Duration) (int, string) { return int(age / (8 * time.Second)), "" })
		if stopped == 0 {
			break
		}
		h.shard.endUnreported(h.shard.jobs["j"].stages[0].tasks[0].attempts[0], goneNotListed, h.now)
		h.advance(quarantineTime)
		for _, id := range h.workers {
			h.clock[id] += quarantineTime
			h.report(id, agent.Report{})
		}
	}
	assert.Assert(t, stops > 0 && stops < 4, "stopped %d times", stops)
}
