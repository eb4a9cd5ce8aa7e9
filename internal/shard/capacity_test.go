package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestCapacityOfEachResource guards against starts that bring a worker over its capacity, or that lack the label: of scavenger tasks
// the cores alone don't count.
func TestCapacityOfEachResource(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		labels := []string{"", "big", "fast"}
		count := rapid.IntRange(1, 4).Draw(rt, "workers")
		entries, byID := make([]agent.Entry, 0, count), make(map[model.WorkerID]agent.Entry, count)
		for i := range count {
			entry := agent.Entry{
				ID: model.WorkerID(fmt.Sprintf("w%d", i)), Pool: testPool, Address: fmt.Sprintf("w%d", i), DataCentre: "dc1",
				Capacity: model.Resources{
					Cores:  model.MilliCores(1000 * rapid.IntRange(1, 6).Draw(rt, "cores")),
					Memory: model.Mebibytes(100 * rapid.IntRange(1, 6).Draw(rt, "memory")), Accelerators: int64(rapid.IntRange(0, 2).Draw(rt, "accelerators")),
				},
				Labels: []string{rapid.SampledFrom(labels[1:]).Draw(rt, "label")},
			}
			entries, byID[entry.ID] = append(entries, entry), entry
			h.workers, h.incarnation[entry.ID] = append(h.workers, entry.ID), 1
		}
		h.shard.SetRegistry(entries)
		type running struct {
			stage work.Stage
			run   agent.ActiveRun
		}
		on := make(map[model.WorkerID][]running)
		stages := make(map[model.JobID]work.Stage)
		ended := make(map[model.WorkerID]int64)
		for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "submit") {
				id := model.JobID(fmt.Sprintf("j%d", step))
				stages[id] = work.Stage{
					Count: rapid.IntRange(1, 5).Draw(rt, "count"), RunTime: model.Duration(time.Second),
					Size: model.Resources{
						Cores:  model.MilliCores(500 * rapid.IntRange(1, 4).Draw(rt, "cores of a task")),
						Memory: model.Mebibytes(50 * rapid.IntRange(1, 6).Draw(rt, "memory of a task")), Accelerators: int64(rapid.IntRange(0, 1).Draw(rt, "accelerators of a task")),
					},
					Scavenger: rapid.Bool().Draw(rt, "scavenger"), Gang: rapid.IntRange(0, 3).Draw(rt, "gang") == 0,
					Label: rapid.SampledFrom(labels).Draw(rt, "required"), MaxPerWorker: rapid.IntRange(0, 2).Draw(rt, "per worker"),
				}
				h.submitAs(id, rapid.SampledFrom([]string{"urgent", testQueue}).Draw(rt, "queue"), stages[id])
			}
			for _, id := range h.workers {
				var report agent.Report
				on[id] = slices.DeleteFunc(on[id], func(r running) bool {
					if !rapid.Bool().Draw(rt, "ends") {
						report.Running = append(report.Running, r.run)
						return false
					}
					ended[id]++
					report.Ended = append(report.Ended, agent.EndedRun{
						Number: ended[id], Task: r.run.Task, Run: r.run.Run, Outcome: agent.OutcomeDone,
					})
					return true
				})
				h.report(id, report)
			}
			for _, cmd := range h.confirmStarts() {
				stage, entry := stages[cmd.Start.Task.Job], byID[cmd.Target.ID]
				on[entry.ID] = append(on[entry.ID], running{stage, agent.ActiveRun{Task: cmd.Start.Task, Run: cmd.Start.Run}})
				if stage.Label != "" && !slices.Contains(entry.Labels, stage.Label) {
					rt.Fatalf("%v starts on %s without the label %s", cmd.Start.Task, entry.ID, stage.Label)
				}
				used, ofStage := model.Resources{}, 0
				for _, r := range on[entry.ID] {
					size := r.stage.Size
					if r.stage.Scavenger {
						size.Cores = 0
					}
					used = used.Plus(size)
					if r.run.Task.Job == cmd.Start.Task.Job {
						ofStage++
					}
				}
				if !used.Fits(entry.Capacity) {
					rt.Fatalf("%s of %+v holds %+v once %v starts", entry.ID, entry.Capacity, used, cmd.Start.Task)
				}
				if stage.MaxPerWorker > 0 && ofStage > stage.MaxPerWorker {
					rt.Fatalf("%s runs %d tasks of %s", entry.ID, ofStage, cmd.Start.Task.Job)
				}
			}
		}
	})
}

// TestScavengersUseIdleCores guards against a task that waits for cores which it doesn't need: only its memory is counted.
func TestScavengersUseIdleCores(t *testing.T) {
	h := newHarness(t, "w1")
	service := sized(1, 4000, time.Hour)
	service.Service = true
	h.submitAs("other", testQueue, service)
	assert.Equal(t, len(h.confirmStarts()), 1)
	scavenger := sized(6, 2000, time.Second)
	scavenger.Size.Memory, scavenger.Scavenger = 999, true
	h.submitJob(scavenger)
	assert.Equal(t, len(h.confirmStarts()), 4, "four times 999 MiB fit beside 1 MiB into 4000 MiB")
}
