package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

func sized(count int, cores model.MilliCores, runTime time.Duration) work.Stage {
	return work.Stage{Count: count, Size: model.Resources{Cores: cores, Memory: 1}, RunTime: model.Duration(runTime)}
}

func (h *harness) submitAs(id model.JobID, queue string, stages ...work.Stage) {
	h.shard.Submit(work.Job{ID: id, Queue: queue, Team: "north", Stages: stages, Accepted: h.wall}, h.now)
}

// TestGangCollectsCapacity guards against a gang that never starts because smaller jobs take each gap before enough
// capacity is free at the same time.
func TestGangCollectsCapacity(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitAs("small", testQueue, sized(6, 1000, time.Second))
	running := h.confirmStarts()
	assert.Equal(t, len(running), 6)
	gang := sized(2, 3000, time.Second)
	gang.Gang = true
	h.submitAs("gang", testQueue, gang)
	assert.Equal(t, len(h.confirmStarts()), 0)
	// Jobs submitted later must not take capacity that is free or becomes free.
	started := 0
	for i, cmd := range running {
		h.submitAs(model.JobID(fmt.Sprintf("later-%d", i)), testQueue, sized(1, 1000, time.Second))
		ended := agent.EndedRun{Number: int64(i + 1), Task: cmd.Start.Task, Run: cmd.Start.Run, Outcome: agent.OutcomeDone}
		h.report(cmd.Target.ID, agent.Report{Ended: []agent.EndedRun{ended}})
		for _, cmd := range h.confirmStarts() {
			if cmd.Start.Task.Job == "gang" {
				started++
			}
		}
		if started > 0 {
			break
		}
	}
	assert.Equal(t, started, 2, "the gang starts as soon as enough capacity is free")
}

// TestPreemptsRunsThatLoseLittle guards against preempting runs that lose more work than the preempting stage gains.
func TestPreemptsRunsThatLoseLittle(t *testing.T) {
	tests := []struct {
		name    string
		unsaved time.Duration
		stopped bool
	}{
		{"just saved", 0, true},
		{"not saved for long", 10 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			checkpointed := sized(4, 1000, 30*time.Second)
			checkpointed.Checkpoints = true
			h.submitAs("patient", testQueue, checkpointed)
			starts := h.confirmStarts()
			assert.Equal(t, len(starts), 4)
			report := func(percent int) {
				rows := make([]agent.ActiveRun, 0, len(starts))
				for _, cmd := range starts {
					rows = append(rows,
						agent.ActiveRun{Task: cmd.Start.Task, Run: cmd.Start.Run, Checkpoint: "saved", Percent: percent})
				}
				h.report("w1", agent.Report{Running: rows})
			}
			report(1)
			for passed := time.Duration(0); passed < test.unsaved; passed += time.Second {
				h.advance(time.Second)
				report(int(passed.Seconds()) + 2)
			}
			h.submitAs("urgent", "urgent", sized(1, 1000, 4*time.Second))
			assert.Equal(t, len(h.nextCommands().Stops) > 0, test.stopped)
		})
	}
}
