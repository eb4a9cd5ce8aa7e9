package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// endToAcknowledge returns a harness in which w1 has reported an end that may be acknowledged, and a queue has another job of one
// task.
func endToAcknowledge(t *testing.T, queue string) *harness {
	t.Helper()
	h := newHarness(t, "w1")
	h.submitJob(tasks(1))
	start := h.confirmStarts()[0]
	h.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(start, agent.OutcomeDone)}})
	h.commit()
	h.submitAs("k", queue, tasks(1))
	return h
}

// advisedCommands binds the waiting task, with a ticket if its queue needs one, and returns the commands to send.
func (h *harness) advisedCommands() Commands {
	h.shard.Tick(h.now, h.wall)
	for _, call := range allAdviceCalls(h.shard, h.now) {
		h.shard.ApplyAdvice(call, agent.Advice{
			Tickets: map[model.WorkerID]string{"w1": "ticket"}, Valid: model.Duration(2 * time.Second),
		}, nil, h.now)
	}
	return h.nextCommands()
}

// TestLateAcknowledgementMeetsNoLateStart guards against a run after an acknowledged success: a late start runs and ends on the next
// incarnation of its worker, where a late acknowledgement for the incarnation before makes the end forgotten.
func TestLateAcknowledgementMeetsNoLateStart(t *testing.T) {
	tests := []struct {
		name, queue string
		// apart tells that starts on the queue and acknowledgements must not be in flight together.
		apart bool
	}{
		{"queue without advice", testQueue, true},
		{"queue with advice", "advised", false},
	}
	for _, tt := range tests {
		t.Run(tt.name+", start first", func(t *testing.T) {
			h := endToAcknowledge(t, tt.queue)
			start := h.advisedCommands().Starts[0]
			heartbeat, _ := h.shard.HeartbeatFor("w1", h.now, false)
			assert.Equal(t, heartbeat.Acked == 0, tt.apart)
			h.shard.HeartbeatFailed("w1", agent.ErrNotSent, h.now)
			h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
			lost := h.now
			for h.now-lost < maxCommandDelay {
				heartbeat, _ = h.shard.HeartbeatFor("w1", h.now, false)
				assert.Equal(t, heartbeat.Acked == 0, tt.apart)
				assert.Equal(t, h.shard.EndsAcknowledgeable("w1", h.now), !tt.apart)
				h.shard.HeartbeatFailed("w1", agent.ErrNotSent, h.now)
				h.advance(time.Second)
			}
			heartbeat, _ = h.shard.HeartbeatFor("w1", h.now, false)
			assert.Equal(t, heartbeat.Acked, int64(1))
		})
		t.Run(tt.name+", acknowledgement first", func(t *testing.T) {
			h := endToAcknowledge(t, tt.queue)
			heartbeat, _ := h.shard.HeartbeatFor("w1", h.now, false)
			assert.Assert(t, heartbeat.Acked == 1 && heartbeat.Prompt)
			assert.Equal(t, len(h.advisedCommands().Starts) == 0, tt.apart)
			if !tt.apart {
				return
			}
			h.shard.HeartbeatFailed("w1", agent.ErrNoAnswer, h.now)
			lost := h.now
			for h.now-lost < maxCommandDelay {
				assert.Equal(t, len(h.nextCommands().Starts), 0)
				h.advance(time.Second)
				h.report("w1", agent.Report{})
			}
			h.report("w1", agent.Report{})
			assert.Equal(t, len(h.nextCommands().Starts), 1)
		})
	}
}

// TestAcknowledgementDelaysStartBriefly guards against starts that wait for longer than an acknowledgement takes to be answered.
func TestAcknowledgementDelaysStartBriefly(t *testing.T) {
	h := endToAcknowledge(t, testQueue)
	h.shard.Tick(h.now, h.wall)
	h.commit()
	heartbeat, _ := h.shard.HeartbeatFor("w1", h.now, false)
	assert.Equal(t, heartbeat.Acked, int64(1))
	assert.Equal(t, len(h.shard.TakeCommands(h.now).Starts), 0)
	h.clock["w1"] += time.Millisecond
	h.shard.ApplyReport("w1", agent.Report{Clock: h.clock["w1"], Incarnation: 1}, h.now)
	assert.Equal(t, len(h.shard.TakeCommands(h.now).Starts), 1)
}

// TestAcknowledgementIsNotRepeated guards against acknowledgements that are always in flight, so that no start could be sent.
func TestAcknowledgementIsNotRepeated(t *testing.T) {
	h := endToAcknowledge(t, testQueue)
	h.report("w1", agent.Report{})
	heartbeat, _ := h.shard.HeartbeatFor("w1", h.now, false)
	assert.Equal(t, heartbeat.Acked, int64(0))
	h.shard.HeartbeatFailed("w1", agent.ErrNotSent, h.now)
	assert.Equal(t, len(h.nextCommands().Starts), 1)
}
