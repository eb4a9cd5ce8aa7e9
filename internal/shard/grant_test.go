package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// TestAcceptedTokenVoidsEarlierCommands guards against a task that waits for a late command which its worker no longer carries out:
// the worker has answered a command with a higher token since.
func TestAcceptedTokenVoidsEarlierCommands(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	id := starts[0].Target.ID
	running := agent.Report{Running: []agent.ActiveRun{{Task: starts[0].Start.Task, Run: starts[0].Start.Run}}}
	h.report(id, running)
	lost := h.renewal(id)
	h.shard.HeartbeatFailed(id, agent.ErrNoAnswer, h.now)
	next, ok := h.shard.HeartbeatFor(id, h.now, true)
	assert.Assert(t, ok)
	assert.Assert(t, next.Token > lost.Token)
	h.shard.HeartbeatFailed(id, agent.ErrNotSent, h.now)
	h.report(id, running)
	silentSince := h.now
	waited := h.startElsewhere(id, 30*time.Second)
	assert.Assert(t, waited > testLease && h.now < h.shard.longestLeaseEnd(silentSince)+time.Second, "started elsewhere after %v", waited)
}

// TestRefusedHeartbeatLeavesNoDoubt guards against waiting for a command that was never carried out.
func TestRefusedHeartbeatLeavesNoDoubt(t *testing.T) {
	tests := []struct {
		name  string
		err   error
		doubt bool
	}{
		{"no answer", agent.ErrNoAnswer, true},
		{"not sent", agent.ErrNotSent, false},
		{"unhealthy worker", agent.ErrUnhealthy, false},
		{"another incarnation", agent.ErrOtherIncarnation, false},
		{"higher token of the same owner", agent.ErrFenced, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			w := h.shard.workers["w1"]
			before := w.generation
			heartbeat := h.renewal("w1")
			h.shard.HeartbeatFailed("w1", tt.err, h.now)
			assert.Equal(t, len(w.grants) > 0, tt.doubt)
			assert.Equal(t, w.generation > before, tt.doubt)
			assert.Equal(t, h.shard.Superseded("w1", heartbeat.Token), tt.doubt)
		})
	}
}

// TestTokensNeverFall guards against commands that a worker refuses for good: it was unlisted after it had accepted commands with
// a higher token, or another owner takes over.
func TestTokensNeverFall(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	heartbeat := func() int64 {
		sent, ok := h.shard.HeartbeatFor("w1", h.now, true)
		assert.Assert(t, ok)
		return sent.Token
	}
	highest := h.renewal("w1").Token
	for range 3 {
		h.shard.HeartbeatFailed("w1", agent.ErrNoAnswer, h.now)
		h.report("w1", agent.Report{})
		token := h.renewal("w1").Token
		assert.Assert(t, token > highest)
		highest = token
	}
	h.workers = []model.WorkerID{"w2"}
	h.register()
	h.workers = []model.WorkerID{"w1", "w2"}
	h.register()
	relisted := heartbeat()
	assert.Assert(t, relisted > highest, "the heartbeat that was under way may still arrive")
	highest = relisted
	h.takeOver(RecordedState{})
	assert.Assert(t, heartbeat() > highest)
}

// TestLateStartFollowsNoAcknowledgedEnd guards against a start after an acknowledged success: the first start of the run stayed
// unanswered and reaches the next incarnation of its worker. A placement ticket is valid for one incarnation only.
func TestLateStartFollowsNoAcknowledgedEnd(t *testing.T) {
	tests := []struct {
		name     string
		queue    string
		restored bool
		// recorded tells that the owner changes once the success is recorded, and open that the job has a further stage.
		recorded, open bool
		// relisted tells that the worker's entry is missing for a moment, after which the worker reports the end again.
		relisted bool
		held     time.Duration
	}{
		{"unanswered start", testQueue, false, false, false, false, maxCommandDelay},
		{"unanswered start and missing entry", testQueue, false, false, false, true, maxCommandDelay},
		{"start of a former owner", testQueue, true, false, false, false, maxCommandDelay + 3*time.Second},
		{"start of a former owner and missing entry", testQueue, true, false, false, true, maxCommandDelay + 3*time.Second},
		{"start of a former owner that recorded the success", testQueue, false, true, true, true, maxCommandDelay + 3*time.Second},
		{"start of a former owner that recorded the end of the job", testQueue, false, true, false, true, maxCommandDelay + 3*time.Second},
		{"start with a ticket", "advised", false, false, false, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1")
			stages, state := []work.Stage{tasks(1)}, work.StateCompleted
			if tt.open {
				stages, state = append(stages, tasks(1)), work.StateQueued
				stages[1].After = []int{0}
			}
			h.submitAs("j", tt.queue, stages...)
			if tt.queue == "advised" {
				for _, call := range h.nextAdviceCalls() {
					h.shard.ApplyAdvice(call, agent.Advice{
						Tickets: map[model.WorkerID]string{"w1": "ticket"}, Valid: model.Duration(2 * time.Second),
					}, nil, h.now)
				}
			}
			takeOver := func() {
				j := h.shard.jobs["j"]
				h.takeOver(RecordedState{Jobs: []work.Job{j.spec}, Progress: map[model.JobID]work.Progress{"j": h.progress("j")}})
			}
			start := h.nextCommands().Starts[0]
			begun := h.now
			h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
			if tt.restored {
				takeOver()
			}
			done := agent.Report{Ended: []agent.EndedRun{firstEnd(start, agent.OutcomeDone)}}
			h.report("w1", done)
			h.commit()
			h.requireState(state)
			if tt.recorded {
				takeOver()
			}
			if tt.relisted {
				h.workers = nil
				h.register()
				h.workers = []model.WorkerID{"w1"}
				h.register()
				h.report("w1", done)
				h.advance(dropDelay)
				h.commit()
			}
			acknowledged := func() bool {
				heartbeat, ok := h.shard.HeartbeatFor("w1", h.now, true)
				assert.Assert(t, ok)
				return heartbeat.Acked == 1
			}
			for h.now-begun < tt.held {
				assert.Assert(t, !acknowledged(), "acknowledged after %v", h.now-begun)
				h.advance(500 * time.Millisecond)
			}
			assert.Assert(t, acknowledged())
		})
	}
}

// TestLateStartFollowsNoEndWithoutRun guards against a start after an acknowledged success whose run the owner doesn't have: a former
// owner recorded the success but hadn't acknowledged it, or the run was given up. A start of the task that stayed unanswered may
// still reach the next incarnation of a worker.
func TestLateStartFollowsNoEndWithoutRun(t *testing.T) {
	recorded := func(h *harness, start StartCommand, jobs func(work.Job) []work.Job) {
		h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
		h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(start, agent.OutcomeDone)}})
		progress := h.commit()
		h.takeOver(RecordedState{
			Jobs: jobs(h.shard.jobs["j"].spec), Progress: map[model.JobID]work.Progress{"j": progress[0].Progress},
		})
	}
	tests := []struct {
		name   string
		stages []work.Stage
		// lose leaves the owner without the run, whose end is still reported.
		lose func(*harness, StartCommand)
		held time.Duration
	}{
		{"recorded success", []work.Stage{tasks(1), {Count: 1, After: []int{0}, Size: tasks(1).Size}}, func(h *harness, start StartCommand) {
			recorded(h, start, func(j work.Job) []work.Job { return []work.Job{j} })
		}, maxCommandDelay + 3*time.Second},
		{"recorded final state", []work.Stage{tasks(1)}, func(h *harness, start StartCommand) {
			recorded(h, start, func(j work.Job) []work.Job { return []work.Job{j} })
		}, maxCommandDelay + 3*time.Second},
		{"final job without its submission", []work.Stage{tasks(1)}, func(h *harness, start StartCommand) {
			recorded(h, start, func(work.Job) []work.Job { return nil })
		}, maxCommandDelay + 3*time.Second},
		{"run given up", []work.Stage{tasks(1)}, func(h *harness, start StartCommand) {
			h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
			h.shard.endUnreported(h.shard.jobs["j"].stages[0].tasks[0].attempts[0], goneLease, h.now)
		}, maxCommandDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1")
			h.submitJob(tt.stages...)
			start := h.nextCommands().Starts[0]
			begun := h.now
			tt.lose(h, start)
			h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(start, agent.OutcomeDone)}})
			// The acknowledgement waits for a commit, also if the end changed nothing.
			h.submitAs("other", testQueue, tasks(1))
			h.confirmStarts()
			acknowledged := func() bool {
				heartbeat, ok := h.shard.HeartbeatFor("w1", h.now, true)
				assert.Assert(t, ok)
				return heartbeat.Acked == 1
			}
			for h.now-begun < tt.held {
				assert.Assert(t, !acknowledged(), "acknowledged after %v", h.now-begun)
				h.advance(500 * time.Millisecond)
			}
			h.advance(500 * time.Millisecond)
			assert.Assert(t, acknowledged())
		})
	}
}

// TestLateStartOfOtherRunFollowsNoAcknowledgedEnd guards against the same start if it is that of a later run, which began when the run
// that succeeds had been given up.
func TestLateStartOfOtherRunFollowsNoAcknowledgedEnd(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	first := h.confirmStarts()[0]
	h.shard.endUnreported(h.shard.jobs["j"].stages[0].tasks[0].attempts[0], goneLease, h.now)
	second := h.nextCommands().Starts[0]
	h.shard.ApplyStartResult(second, 0, agent.ErrNoAnswer, h.now)
	h.report(first.Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(first, agent.OutcomeDone)}})
	h.commit()
	for begun := h.now; h.now-begun < maxCommandDelay-time.Second; h.advance(500 * time.Millisecond) {
		heartbeat, ok := h.shard.HeartbeatFor(first.Target.ID, h.now, true)
		assert.Assert(t, ok && heartbeat.Acked == 0, "acknowledged after %v", h.now-begun)
	}
}

// TestWaitingHeartbeatLeavesNoDoubt guards against a task that waits for a late renewal of a lease, because its worker went silent
// while it delayed its answer to a heartbeat.
func TestWaitingHeartbeatLeavesNoDoubt(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	id := starts[0].Target.ID
	// By then the leases that a former owner may have granted have expired.
	for range 5 {
		assert.Assert(t, h.renewal(id).Prompt)
		h.clock[id] += h.shard.cfg.RenewInterval()
		h.shard.ApplyReport(id, agent.Report{
			Clock: h.clock[id], Incarnation: h.incarnation[id],
			Running: []agent.ActiveRun{{Task: starts[0].Start.Task, Run: starts[0].Start.Run}},
		}, h.now)
	}
	waiting, ok := h.shard.HeartbeatFor(id, h.now, true)
	assert.Assert(t, ok && !waiting.Prompt && waiting.LeaseEnd == 0)
	waited := h.startElsewhere(id, 30*time.Second)
	assert.Assert(t, waited > testLease && waited < testLease+time.Second, "started elsewhere after %v", waited)
}

// TestGoneWorkerIsNotWaitedForAfterTakeover guards against tasks of a worker that is gone for good which a new owner starts again
// only after late commands of its predecessor could have arrived there.
func TestGoneWorkerIsNotWaitedForAfterTakeover(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
		most   time.Duration
	}{
		{"listed", true, 30 * time.Second},
		{"entry missing", false, 15 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1", "w2")
			h.submitAs("j", "advised", tasks(1))
			for _, call := range h.nextAdviceCalls() {
				h.shard.ApplyAdvice(call, agent.Advice{
					Tickets: map[model.WorkerID]string{"w1": "ticket"}, Valid: model.Duration(2 * time.Second),
				}, nil, h.now)
			}
			assert.Equal(t, len(h.confirmStarts()), 1)
			j := h.shard.jobs["j"]
			recorded := RecordedState{Jobs: []work.Job{j.spec}, Progress: map[model.JobID]work.Progress{"j": h.progress("j")}}
			if !tt.listed {
				h.workers = []model.WorkerID{"w2"}
			}
			begun := h.now
			h.takeOver(recorded)
			for h.now-begun < 40*time.Second && len(h.shard.jobs["j"].stages[0].tasks[0].attempts) > 0 {
				h.advance(100 * time.Millisecond)
				h.report("w2", agent.Report{})
				h.shard.Tick(h.now, h.wall)
			}
			waited := h.now - begun
			assert.Assert(t, waited > 13*time.Second && waited < tt.most, "given up after %v", waited)
			assert.Equal(t, waited > 28*time.Second, tt.listed)
		})
	}
}

// TestLateAcknowledgementIsVoid guards against a run after an acknowledged success: a heartbeat that acknowledges ends of one
// incarnation, and renews no lease, stays unanswered and is carried out by the next one, whose ends nobody has seen.
func TestLateAcknowledgementIsVoid(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	start := h.confirmStarts()[0]
	h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(start, agent.OutcomeDone)}})
	h.commit()
	h.renewal("w1")
	h.shard.ApplyReport("w1", agent.Report{Clock: h.clock["w1"] + time.Second, Incarnation: 1}, h.now)
	late, ok := h.shard.HeartbeatFor("w1", h.now, true)
	assert.Assert(t, ok && late.Acked == 1 && late.LeaseEnd == 0)
	h.shard.HeartbeatFailed("w1", agent.ErrNoAnswer, h.now)
	next, ok := h.shard.HeartbeatFor("w1", h.now, true)
	assert.Assert(t, ok)
	assert.Assert(t, next.Token > late.Token, "the next incarnation carries it out after it has reported")
}

// TestLateAcknowledgementFollowsNoLateStart guards against a run after an acknowledged success: a late start runs on the next
// incarnation of a silent worker and ends there, and a late heartbeat for the incarnation before acknowledges that end, which nobody
// has seen.
func TestLateAcknowledgementFollowsNoLateStart(t *testing.T) {
	tests := []struct {
		name  string
		queue string
		// heartbeatFirst tells that the heartbeat is sent before the start, and answered that the start is answered before it.
		heartbeatFirst, answered bool
		// acked tells that the heartbeat acknowledges the end, higher that the start has a higher token than the heartbeat.
		acked, higher bool
	}{
		{"start in flight", testQueue, false, false, false, false},
		{"start answered", testQueue, false, true, true, false},
		{"start with a ticket in flight", "advised", false, false, true, false},
		{"start sent while the acknowledgement is under way", testQueue, true, false, true, true},
		{"start with a ticket sent while the acknowledgement is under way", "advised", true, false, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.submitAs("first", testQueue, tasks(1))
			done := h.confirmStarts()[0]
			h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(done, agent.OutcomeDone)}})
			h.commit()
			h.submitAs("second", tt.queue, tasks(1))
			if tt.queue == "advised" {
				for _, call := range h.nextAdviceCalls() {
					h.shard.ApplyAdvice(call, agent.Advice{
						Tickets: map[model.WorkerID]string{"w1": "ticket"}, Valid: model.Duration(2 * time.Second),
					}, nil, h.now)
				}
			}
			send := func() StartCommand {
				starts := h.nextCommands().Starts
				assert.Equal(t, len(starts), 1)
				if tt.answered {
					h.shard.ApplyStartResult(starts[0], h.clock["w1"], nil, h.now)
				}
				return starts[0]
			}
			beat := func() agent.Heartbeat {
				heartbeat, ok := h.shard.HeartbeatFor("w1", h.now, true)
				assert.Assert(t, ok)
				return heartbeat
			}
			var start StartCommand
			var heartbeat agent.Heartbeat
			if tt.heartbeatFirst {
				heartbeat = beat()
				start = send()
			} else {
				start = send()
				heartbeat = beat()
			}
			assert.Equal(t, heartbeat.Acked > 0, tt.acked)
			assert.Equal(t, start.Start.Token > heartbeat.Token, tt.higher)
			if !tt.acked {
				h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
				h.advance(maxCommandDelay - time.Millisecond)
				assert.Equal(t, beat().Acked, int64(0))
				assert.Assert(t, !h.shard.EndsAcknowledgeable("w1", h.now))
				h.advance(time.Millisecond)
				assert.Equal(t, beat().Acked, int64(1))
			}
		})
	}
}
