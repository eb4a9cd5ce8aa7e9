package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestSilentWorkerKeepsItsRuns guards against work that is given up or started elsewhere although its worker was only
// silent or slow to report.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(2))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 2)
	silent := starts[0].Target.ID
	other := h.workers[0]
	if other == silent {
		other = h.workers[1]
	}
	running := agent.Report{}
	for _, cmd := range starts {
		running.Running = append(running.Running, agent.ActiveRun{Task: cmd.Start.Task, Run: cmd.Start.Run, Percent: 1})
	}
	h.report(silent, running)
	// The lease of the last heartbeat lasts testLease on the worker's clock.
	for range 6 {
		h.advance(time.Second)
		h.report(other, agent.Report{})
		commands := h.nextCommands()
		assert.Equal(t, len(commands.Starts)+len(commands.Stops), 0)
		h.requireState(work.StateRunning)
	}
	h.clock[silent] += 6 * time.Second
	for i := range running.Running {
		running.Running[i].Percent = 80
	}
	h.report(silent, running)
	commands := h.nextCommands()
	assert.Equal(t, len(commands.Starts)+len(commands.Stops), 0)
	assert.Equal(t, len(h.shard.workers[silent].attempts), 2)
}

// TestLeaseOfPausedOwnerEndsOnWorkersClock guards against an owner that was suspended, whose clock stood still meanwhile,
// and that extends a lease or starts a run beyond what it was allowed before.
func TestLeaseOfPausedOwnerEndsOnWorkersClock(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	read := h.clock["w1"]
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 1)
	elapsed := h.now - h.shard.workers["w1"].clockReadAt
	assert.Equal(t, starts[0].Start.LeaseEnd, read+elapsed+testLease)
	// While the owner is suspended, only the worker's clock runs: a command that leaves afterwards names the same end.
	heartbeat, ok := h.shard.HeartbeatFor("w1", h.now, true)
	assert.Assert(t, ok)
	assert.Equal(t, heartbeat.LeaseEnd, read+elapsed+testLease)
}

// TestRestoredRunOfWorkerThatLeft guards against a new owner that uses a worker which has left the registry.
func TestRestoredRunOfWorkerThatLeft(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	gone := starts[0].Target.ID
	recorded := RecordedState{
		Jobs:     []work.Job{h.shard.jobs["j"].spec},
		Progress: map[model.JobID]work.Progress{"j": h.progress("j")},
	}
	for i, id := range h.workers {
		if id == gone {
			h.workers = append(h.workers[:i:i], h.workers[i+1:]...)
			break
		}
	}
	h.takeOver(recorded)
	for range 30 {
		h.report(h.workers[0], agent.Report{})
		for _, target := range h.shard.Targets() {
			assert.Assert(t, target.ID != gone)
		}
		for _, cmd := range h.confirmStarts() {
			assert.Equal(t, cmd.Target.ID, h.workers[0])
			return
		}
		h.advance(time.Second)
	}
	t.Fatal("the run was never started elsewhere")
}
