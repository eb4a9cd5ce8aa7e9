package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// answerAdvice answers advice calls: about two thirds of the workers are permitted.
func (h *harness) answerAdvice(calls []AdviceCall) {
	for _, call := range calls {
		advice := agent.Advice{Tickets: make(map[model.WorkerID]string), Valid: model.Duration(2 * time.Second)}
		for i, id := range call.Request.Workers {
			if i%3 > 0 {
				advice.Tickets[id] = "ticket"
			}
		}
		h.shard.ApplyAdvice(call, advice, nil, h.now)
	}
}

// BenchmarkPlanWithBacklog measures a tick after a twentieth of the workers had a run that ended, on a full fleet with
// many waiting stages. The load pattern is a burst of urgent work on a large fleet: the more waits, the more a tick must
// not cost, or nothing is decided in time any more.
func BenchmarkPlanWithBacklog(b *testing.B) {
	for _, backlog := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("waiting-%d", backlog), func(b *testing.B) {
			const fleet = 1000
			workers := make([]model.WorkerID, fleet)
			for i := range workers {
				workers[i] = model.WorkerID(fmt.Sprintf("w%04d", i))
			}
			h := newHarness(b, workers...)
			reportAll := func() {
				for _, id := range workers {
					h.shard.ApplyReport(id, agent.Report{Clock: h.now, Incarnation: 1, Incomplete: true}, h.now)
				}
			}
			reportAll()
			h.submitAs("full", testQueue, sized(4*fleet, 1000, time.Hour))
			running := h.confirmStarts()
			assert.Equal(b, len(running), 4*fleet)
			for i := range backlog {
				stage := sized(4, 4000, time.Minute)
				stage.Gang = i%8 == 0
				h.submitAs(model.JobID(fmt.Sprintf("waiting-%03d", i)), "advised", stage)
			}
			for range 5 {
				h.answerAdvice(h.nextAdviceCalls())
				h.advance(100 * time.Millisecond)
			}
			numbers := make(map[model.WorkerID]int64)
			for b.Loop() {
				b.StopTimer()
				for range min(fleet/20, len(running)) {
					cmd := running[0]
					running = running[1:]
					numbers[cmd.Target.ID]++
					ended := agent.EndedRun{
						Number: numbers[cmd.Target.ID], Task: cmd.Start.Task, Run: cmd.Start.Run, Outcome: agent.OutcomeGangBroken,
					}
					h.shard.ApplyReport(cmd.Target.ID, agent.Report{
						Clock: h.now, Incarnation: 1, Ended: []agent.EndedRun{ended}, Incomplete: true,
					}, h.now)
				}
				reportAll()
				h.advance(10 * time.Millisecond)
				b.StartTimer()
				h.shard.Tick(h.now, h.wall)
				b.StopTimer()
				commands := h.shard.TakeCommands(h.now)
				h.commit()
				for _, cmd := range append(commands.Starts, h.shard.TakeCommands(h.now).Starts...) {
					h.shard.ApplyStartResult(cmd, h.clock[cmd.Target.ID], nil, h.now)
					running = append(running, cmd)
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkNextAdvice measures the choice of the next advice call. The load pattern is the loss of most nodes: the fewer are
// left, the more stages wait, and the choice must not take long enough to leave the nodes idle.
func BenchmarkNextAdvice(b *testing.B) {
	for _, waiting := range []int{10, 350, 3500} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			const now = time.Minute
			requests := make([]adviceRequest, 0, waiting)
			for i := range waiting {
				age := time.Duration(i) * 10 * time.Millisecond
				requests = append(requests, testRequest(i%3, now-age, time.Second/2, now+age/2))
			}
			budget := adviceBudget{nodes: 3, credit: -1}
			for b.Loop() {
				chosen, _ := budget.next(requests, time.Second, now)
				assert.Assert(b, chosen >= 0)
			}
		})
	}
}
