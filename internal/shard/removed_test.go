package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

func withoutQueue(name string) terms.Configuration {
	c := testConfiguration()
	var queues []terms.Queue
	for _, q := range c.Queues {
		if q.Name != name {
			queues = append(queues, q)
		}
	}
	return terms.New(terms.Params{Version: 2, Queues: queues, Teams: []terms.Team{{ID: "north", Share: 1000}}})
}

// TestJobOfRemovedQueueGoesOn guards against an accepted job that never goes on because its queue was removed.
func TestJobOfRemovedQueueGoesOn(t *testing.T) {
	tests := []struct {
		name            string
		beforeRead      bool
		removed, change bool
	}{
		{"removed while running, same owner", false, true, false},
		{"removed, then a new owner", false, true, true},
		{"removed before the owner reads the job", true, true, false},
		{"not removed", false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2")
			second := tasks(2)
			second.After = []int{0}
			spec := work.Job{ID: "j", Queue: testQueue, Team: "north", Stages: []work.Stage{tasks(1), second}, Accepted: h.wall}
			queue, _ := testConfiguration().Queue(testQueue)
			spec.QueueTerms = work.NewQueueTerms(queue)
			if tt.removed && tt.beforeRead {
				h.shard.SetConfiguration(withoutQueue(testQueue))
			}
			h.shard.Submit(spec, h.now)
			running := make(map[model.WorkerID][]StartCommand)
			numbers := make(map[model.WorkerID]int64)
			started := 0
			start := func() {
				for _, cmd := range h.confirmStarts() {
					running[cmd.Target.ID] = append(running[cmd.Target.ID], cmd)
					started++
				}
			}
			start()
			if tt.removed {
				h.shard.SetConfiguration(withoutQueue(testQueue))
			}
			if tt.change {
				restored := RecordedState{Jobs: []work.Job{spec}, Progress: map[model.JobID]work.Progress{"j": h.progress("j")}}
				h.takeOver(restored)
				if tt.removed {
					h.shard = New(h.shard.cfg)
					h.shard.SetConfiguration(withoutQueue(testQueue))
					h.shard.Restore(restored, h.now, h.wall)
					h.register()
				}
			}
			for range 20 {
				for _, id := range h.workers {
					report := agent.Report{}
					for _, cmd := range running[id] {
						numbers[id]++
						report.Ended = append(report.Ended, agent.EndedRun{
							Number: numbers[id], Task: cmd.Start.Task, Run: cmd.Start.Run, Outcome: agent.OutcomeDone,
						})
					}
					running[id] = nil
					h.report(id, report)
				}
				start()
				h.advance(time.Second)
			}
			assert.Equal(t, started, 3)
			h.requireState(work.StateCompleted)
		})
	}
}
