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

func (r *rig) submitAs(id model.JobID, queue string, stages ...work.Stage) {
	r.s.Submit(work.Job{ID: id, Queue: queue, Team: "north", Stages: stages, Accepted: r.wall}, r.now)
}

// TestGangCollectsRoom guards against a gang that never starts because smaller work takes each hole before enough of them
// are free at the same time.
func TestGangCollectsRoom(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.submitAs("small", testQueue, sized(6, 1000, time.Second))
	running := r.startAll()
	assert.Equal(t, len(running), 6)
	gang := sized(2, 3000, time.Second)
	gang.Gang = true
	r.submitAs("gang", testQueue, gang)
	assert.Equal(t, len(r.startAll()), 0)
	// Jobs that come later must not take what is free or becomes free.
	started := 0
	for i, o := range running {
		r.submitAs(model.JobID(fmt.Sprintf("later-%d", i)), testQueue, sized(1, 1000, time.Second))
		ended := agent.EndedRun{Number: int64(i + 1), Task: o.Start.Task, Run: o.Start.Run, Outcome: agent.OutcomeDone}
		r.report(o.Target.ID, agent.Report{Ended: []agent.EndedRun{ended}})
		for _, start := range r.startAll() {
			if start.Start.Task.Job == "gang" {
				started++
			}
		}
		if started > 0 {
			break
		}
	}
	assert.Equal(t, started, 2, "the gang starts as soon as its room is free")
}

// TestStopsWorkThatLosesLittle guards against stopping work that loses more than the work that it makes room for gains.
func TestStopsWorkThatLosesLittle(t *testing.T) {
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
			r := newRig(t, "w1")
			patient := sized(4, 1000, 30*time.Second)
			patient.Checkpoints = true
			r.submitAs("patient", testQueue, patient)
			starts := r.startAll()
			assert.Equal(t, len(starts), 4)
			report := func(percent int) {
				rows := make([]agent.ActiveRun, 0, len(starts))
				for _, o := range starts {
					rows = append(rows, agent.ActiveRun{Task: o.Start.Task, Run: o.Start.Run, Checkpoint: "saved", Percent: percent})
				}
				r.report("w1", agent.Report{Running: rows})
			}
			report(1)
			for passed := time.Duration(0); passed < test.unsaved; passed += time.Second {
				r.pass(time.Second)
				report(int(passed.Seconds()) + 2)
			}
			r.submitAs("urgent", "urgent", sized(1, 1000, 4*time.Second))
			assert.Equal(t, len(r.orders().Stops) > 0, test.stopped)
		})
	}
}
