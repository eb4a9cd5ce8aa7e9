package shard

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

// workerUptime is how long the workers of a test have run before one of them restarts, so that a lease end on a clock from
// before the restart is beyond the maximum of the next incarnation.
const workerUptime = time.Minute

// newAgedHarness returns a harness whose workers have run and reported for a while.
func newAgedHarness(t testing.TB, workers ...model.WorkerID) *harness {
	t.Helper()
	h := newHarness(t, workers...)
	for range int(workerUptime / time.Second) {
		h.advance(time.Second)
		for _, id := range workers {
			h.clock[id] += time.Second
			h.report(id, agent.Report{})
		}
	}
	return h
}

// restart lets the worker's next incarnation begin under the same ID.
func (h *harness) restart(id model.WorkerID) {
	h.incarnation[id]++
	h.clock[id] = 0
}

// startElsewhere returns how long after the call the shard starts a run on another worker than the silent one, at most limit.
func (h *harness) startElsewhere(silent model.WorkerID, limit time.Duration) time.Duration {
	h.t.Helper()
	begun := h.now
	for h.now-begun < limit {
		h.advance(50 * time.Millisecond)
		for _, id := range h.workers {
			if id != silent {
				h.clock[id] += 50 * time.Millisecond
				h.report(id, agent.Report{})
			}
		}
		if len(h.confirmStarts()) > 0 {
			return h.now - begun
		}
	}
	h.t.Fatalf("no start elsewhere within %v", limit)
	return 0
}

// TestRestartedWorkersLeaseIsNotUnderestimated guards against two runs of a task at the same time: a worker restarts under its
// ID, and a command that names a lease end on the clock from before the restart gives it the longest lease that it accepts.
func TestRestartedWorkersLeaseIsNotUnderestimated(t *testing.T) {
	// A clock may run 2% slow.
	const maxLease = 10200 * time.Millisecond
	tests := []struct {
		name string
		// startFirst tells that the start reaches the next incarnation before its first report.
		startFirst bool
		// reports tells that the next incarnation reports before it falls silent.
		reports bool
	}{
		{"start after the first report", false, true},
		{"start before the first report", true, true},
		{"start and no report", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1", "w2")
			h.register("w2")
			h.restart("w1")
			start := func() StartCommand {
				h.submitJob(tasks(1))
				starts := h.confirmStarts()
				assert.Equal(t, len(starts), 1)
				assert.Equal(t, starts[0].Target.ID, model.WorkerID("w1"))
				return starts[0]
			}
			var report agent.Report
			if tt.startFirst {
				cmd := start()
				report.Running = []agent.ActiveRun{{Task: cmd.Start.Task, Run: cmd.Start.Run}}
			}
			granted := h.now
			if tt.reports {
				h.report("w1", report)
				granted = h.now
			}
			if !tt.startFirst {
				start()
			}
			h.register()
			silentSince := h.now
			waited := h.startElsewhere("w1", 20*time.Second)
			lasts := maxLease - (silentSince - granted)
			assert.Assert(t, waited > lasts, "started elsewhere after %v, the lease lasts %v", waited, lasts)
		})
	}
}

// TestRunOfUnknownIncarnationIsNotGivenUp guards against two runs of a task at the same time: a worker that has restarted answers
// a start, and the answer overtakes the report that this incarnation had sent before, which doesn't list the run.
func TestRunOfUnknownIncarnationIsNotGivenUp(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	h.register("w2")
	h.submitJob(tasks(1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	h.register()
	h.restart("w1")
	h.report("w1", agent.Report{})
	commands := h.nextCommands()
	assert.Equal(t, len(commands.Starts), 0, "the run may be on the next incarnation")
	assert.Equal(t, len(commands.Stops), 1)
	h.clock["w1"] += 50 * time.Millisecond
	h.shard.ApplyStopResult(commands.Stops[0], h.clock["w1"], nil, h.now)
	h.report("w1", agent.Report{})
	assert.Equal(t, len(h.confirmStarts()), 1)
}

// TestReportFromBeforeRestartProvesNothing guards against two runs of a task at the same time: the report of an incarnation that
// has ended is applied after the next incarnation has answered a start.
func TestReportFromBeforeRestartProvesNothing(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	h.register("w2")
	h.submitJob(tasks(1))
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 1)
	// The heartbeat leaves before the start is answered by the next incarnation, whose clock has begun anew.
	_, ok := h.shard.HeartbeatFor("w1", h.now, true)
	assert.Assert(t, ok)
	h.shard.ApplyStartResult(starts[0], time.Second, nil, h.now)
	h.register()
	h.clock["w1"] += time.Second
	h.shard.ApplyReport("w1", agent.Report{Clock: h.clock["w1"], Incarnation: h.incarnation["w1"]}, h.now)
	assert.Equal(t, len(h.confirmStarts()), 0, "the run is on the next incarnation")
	// The next heartbeat leaves after the answer, and so does its report.
	h.report("w1", agent.Report{})
	assert.Equal(t, len(h.confirmStarts()), 1)
}

// TestRestartWithClockSetBackIsNoticed guards against ignoring a worker that has restarted while the time of day on its machine
// had been set back, by which incarnations are identified.
func TestRestartWithClockSetBackIsNoticed(t *testing.T) {
	h := newAgedHarness(t, "w1")
	h.incarnation["w1"] = 9
	h.report("w1", agent.Report{})
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 1)
	h.report("w1", agent.Report{Running: []agent.ActiveRun{{Task: first[0].Start.Task, Run: first[0].Start.Run}}})
	h.incarnation["w1"], h.clock["w1"] = 5, 0
	h.advance(time.Second)
	h.report("w1", agent.Report{})
	second := h.confirmStarts()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Start.Run, 2)
}

// TestRecordedIncarnationsProveNothing guards against two runs of a task at the same time: a start reached its worker's next
// incarnation, but was recorded with the one before, and another run was recorded with the next one before the owner changed.
func TestRecordedIncarnationsProveNothing(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	h.register("w2")
	h.submitAs("first", testQueue, tasks(1))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 1)
	recorded := h.progress("first")
	h.restart("w1")
	running := agent.Report{Running: []agent.ActiveRun{{Task: first[0].Start.Task, Run: first[0].Start.Run}}}
	h.report("w1", running)
	h.submitAs("second", testQueue, tasks(1))
	second := h.confirmStarts()
	assert.Equal(t, len(second), 1)
	j1, j2 := h.shard.jobs["first"], h.shard.jobs["second"]
	restored := RecordedState{
		Jobs: []work.Job{j1.spec, j2.spec}, Progress: map[model.JobID]work.Progress{"first": recorded, "second": h.progress("second")},
	}
	h.takeOver(restored)
	h.register()
	h.report("w2", agent.Report{})
	for _, cmd := range h.confirmStarts() {
		t.Fatalf("%v is started again on %s while it runs on w1", cmd.Start.Task, cmd.Target.ID)
	}
	running.Running = append(running.Running, agent.ActiveRun{Task: second[0].Start.Task, Run: second[0].Start.Run})
	h.report("w1", running)
	assert.Equal(t, len(h.confirmStarts()), 0)
	assert.Assert(t, !slices.ContainsFunc(h.shard.workersByID, func(w *worker) bool { return len(w.unknownRuns) > 0 }))
}

// TestAnswerFromBeforeRestartDoesNotHoldRun guards against a task that waits for good: a command is answered by a worker that
// has restarted when the answer is applied, and its clock reading is far ahead of the next incarnation's clock.
func TestAnswerFromBeforeRestartDoesNotHoldRun(t *testing.T) {
	tests := []struct {
		name string
		// stop tells that the command is a stop; otherwise it is a start.
		stop bool
		// startsWithin is the time within which the task starts again. The unanswered start of the stopped run may arrive late.
		startsWithin time.Duration
	}{
		{"start", false, 2 * time.Second},
		{"stop", true, maxCommandDelay + 2*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newAgedHarness(t, "w1")
			h.submitJob(tasks(1))
			start := h.nextCommands().Starts[0]
			before := h.clock["w1"]
			restart := func() {
				h.restart("w1")
				h.report("w1", agent.Report{})
			}
			if tt.stop {
				h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
				h.shard.stopRun(h.shard.jobs["j"].stages[0].tasks[0].attempts[0], h.now)
				stop := h.nextCommands().Stops[0]
				restart()
				h.shard.ApplyStopResult(stop, before, nil, h.now)
			} else {
				restart()
				h.shard.ApplyStartResult(start, before, nil, h.now)
			}
			starts, begun := 0, h.now
			for h.now-begun < tt.startsWithin {
				h.advance(100 * time.Millisecond)
				commands := h.nextCommands()
				for _, cmd := range commands.Stops {
					h.clock["w1"] += time.Millisecond
					h.shard.ApplyStopResult(cmd, h.clock["w1"], nil, h.now)
				}
				starts += len(commands.Starts)
				h.report("w1", agent.Report{})
			}
			assert.Equal(t, starts, 1)
		})
	}
}

// TestInFlightStartOutlivesRegistryEntry guards against two runs of a task at the same time: a worker is unlisted and starts anew
// while an unanswered start of a run that was given up may still reach it. No other run begins until then, and the start is stopped.
func TestInFlightStartOutlivesRegistryEntry(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	h.register("w2")
	h.submitJob(tasks(1))
	start := h.nextCommands().Starts[0]
	h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
	h.shard.stopRun(h.shard.jobs["j"].stages[0].tasks[0].attempts[0], h.now)
	stop := h.nextCommands().Stops[0]
	h.clock["w1"] += time.Millisecond
	h.shard.ApplyStopResult(stop, h.clock["w1"], nil, h.now)
	h.register("w1")
	h.report("w2", agent.Report{})
	h.report("w1", agent.Report{})
	assert.Equal(t, len(h.confirmStarts()), 0, "the start may still reach the next incarnation")
	h.workers = []model.WorkerID{"w2"}
	h.register()
	h.advance(time.Second)
	h.workers = []model.WorkerID{"w1", "w2"}
	h.register()
	h.restart("w1")
	h.report("w1", agent.Report{})
	commands := h.nextCommands()
	assert.Equal(t, len(commands.Starts), 0)
	assert.Equal(t, len(commands.Stops), 1, "the start may still reach the next incarnation")
	assert.Equal(t, commands.Stops[0].Stop.Run, start.Start.Run)
	h.advance(maxCommandDelay)
	h.report("w2", agent.Report{})
	assert.Equal(t, len(h.nextCommands().Starts), 0, "the start may have reached the next incarnation")
	h.report("w1", agent.Report{})
	h.advance(lateRetryDelay)
	h.report("w1", agent.Report{})
	assert.Equal(t, len(h.nextCommands().Starts), 1)
}

// TestUnansweredStartMayGrantLeaseLate guards against two runs of a task at the same time: an unanswered start reaches the next
// incarnation of its worker, which has not reported, as late as a command may, and gives it the longest lease.
func TestUnansweredStartMayGrantLeaseLate(t *testing.T) {
	const maxLease = 10200 * time.Millisecond
	h := newAgedHarness(t, "w1", "w2")
	h.register("w2")
	h.submitJob(tasks(1))
	start := h.nextCommands().Starts[0]
	assert.Equal(t, start.Target.ID, model.WorkerID("w1"))
	h.shard.ApplyStartResult(start, 0, agent.ErrNoAnswer, h.now)
	h.restart("w1")
	h.register()
	begun := h.now
	for h.now-begun < 40*time.Second {
		h.advance(50 * time.Millisecond)
		h.clock["w2"] += 50 * time.Millisecond
		h.report("w2", agent.Report{})
		for _, cmd := range h.nextCommands().Starts {
			if cmd.Target.ID == "w2" {
				waited, lasts := h.now-begun, maxCommandDelay+maxLease
				assert.Assert(t, waited > lasts, "started elsewhere after %v, the lease may last %v", waited, lasts)
				return
			}
			h.shard.ApplyStartResult(cmd, 0, agent.ErrNoAnswer, h.now)
		}
	}
	t.Fatal("no start elsewhere")
}

// TestGangMemberOnNextIncarnationIsNotPresumedEnded guards against two runs of a gang's member at the same time: its gang has
// ended, but a start in flight reaches the next incarnation of its worker, which reports the run and then falls silent.
func TestGangMemberOnNextIncarnationIsNotPresumedEnded(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2", "w3")
	gang := tasks(2)
	gang.Gang, gang.Size.Cores = true, 3000
	h.submitJob(gang)
	starts := h.nextCommands().Starts
	assert.Equal(t, len(starts), 2)
	ends, lasts := starts[0], starts[1]
	h.shard.ApplyStartResult(ends, h.clock[ends.Target.ID], nil, h.now)
	h.shard.ApplyStartResult(lasts, 0, agent.ErrNoAnswer, h.now)
	h.advance(commandRetryDelay)
	again := h.confirmStarts()
	assert.Equal(t, len(again), 1)
	running := agent.Report{Running: []agent.ActiveRun{{Task: lasts.Start.Task, Run: lasts.Start.Run}}}
	h.report(lasts.Target.ID, running)
	h.report(ends.Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(ends, agent.OutcomeFailed)}})
	// The first start reaches the next incarnation shortly before the member would have ended on the one before.
	h.advance(simGangTimeout)
	h.restart(lasts.Target.ID)
	h.report(lasts.Target.ID, running)
	arrived := h.now
	a := h.shard.jobs["j"].stages[0].tasks[lasts.Start.Task.Index].attempts
	assert.Equal(t, len(a), 1)
	for len(h.shard.jobs["j"].stages[0].tasks[lasts.Start.Task.Index].attempts) > 0 && h.now-arrived < 20*time.Second {
		h.advance(50 * time.Millisecond)
		h.shard.Tick(h.now, h.wall)
	}
	waited := h.now - arrived
	assert.Assert(t, waited > simGangTimeout, "presumed to have ended after %v, the member waits %v for its gang", waited, simGangTimeout)
}

// TestLateHeartbeatMayExtendLease guards against a second run while the first is on its worker: a heartbeat without an answer
// arrives late, and the worker counts the lease from then on.
func TestLateHeartbeatMayExtendLease(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 1)
	id := starts[0].Target.ID
	h.report(id, agent.Report{Running: []agent.ActiveRun{{Task: starts[0].Start.Task, Run: starts[0].Start.Run}}})
	assert.Assert(t, h.renewal(id).LeaseEnd > 0)
	waited := h.startElsewhere(id, 30*time.Second)
	assert.Assert(t, waited > maxCommandDelay+testLease, "started elsewhere after %v", waited)
}

// TestEntryOfAnotherIncarnationIsNotUsed guards against a worker over its capacity: it restarted as a smaller one under its ID and
// address, and tasks are placed by the entry from before, or sent before the restart shows in a report.
func TestEntryOfAnotherIncarnationIsNotUsed(t *testing.T) {
	entry := agent.Entry{ID: "w1", Pool: testPool, Address: "w1", Capacity: model.Resources{Cores: 4000, Memory: 4000}, Incarnation: 1}
	tests := []struct {
		name string
		// inEntry and inReport tell where the restart shows.
		inEntry, inReport bool
		// starts is the number of starts then, and later that of those once both show the restart.
		starts, later int
	}{
		{"no restart", false, false, 2, 0},
		{"entry from before the restart", false, true, 0, 1},
		{"report from before the restart", true, false, 0, 1},
		{"both after the restart", true, true, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "w1")
			before, after := entry, entry
			after.Capacity, after.Incarnation = model.Resources{Cores: 1500, Memory: 1500}, 2
			h.shard.SetRegistry([]agent.Entry{before})
			h.report("w1", agent.Report{})
			if tt.inReport {
				h.restart("w1")
				h.report("w1", agent.Report{})
			}
			if tt.inEntry {
				h.shard.SetRegistry([]agent.Entry{after})
			}
			h.submitJob(tasks(2))
			assert.Equal(t, len(h.nextCommands().Starts), tt.starts)
			h.shard.SetRegistry([]agent.Entry{after})
			if !tt.inReport {
				h.restart("w1")
			}
			h.report("w1", agent.Report{})
			h.advance(lateRetryDelay)
			assert.Equal(t, len(h.nextCommands().Starts), tt.later)
		})
	}
}

// TestDecidedStartIsNotSentToRestartedWorker guards against a worker over its capacity: it restarted as a smaller one after a start was
// decided, as its entry tells.
func TestDecidedStartIsNotSentToRestartedWorker(t *testing.T) {
	h := newHarness(t, "w1")
	entry := agent.Entry{ID: "w1", Pool: testPool, Address: "w1", Capacity: model.Resources{Cores: 4000, Memory: 4000}, Incarnation: 1}
	h.shard.SetRegistry([]agent.Entry{entry})
	h.submitJob(tasks(1))
	h.shard.Tick(h.now, h.wall)
	h.commit()
	entry.Capacity, entry.Incarnation = model.Resources{Cores: 500, Memory: 500}, 2
	h.shard.SetRegistry([]agent.Entry{entry})
	assert.Equal(t, len(h.shard.TakeCommands(h.now).Starts), 0)
}

// TestRefusalOfRepeatedStartEndsNoListedRun guards against two runs of a task at the same time: a start stayed unanswered, a report
// listed its run while the start was repeated, and the worker refused the repeat.
func TestRefusalOfRepeatedStartEndsNoListedRun(t *testing.T) {
	refusals := []error{
		agent.ErrUnhealthy, agent.ErrTicket, agent.ErrDeadlinePassed, agent.ErrNoCapacity, agent.ErrOtherIncarnation, agent.ErrRejected,
	}
	for _, queue := range []string{testQueue, "advised"} {
		for _, refusal := range refusals {
			t.Run(queue+" "+refusal.Error(), func(t *testing.T) {
				h := newAgedHarness(t, "w1", "w2")
				h.submitAs("j", queue, tasks(1))
				h.permitAll()
				first := h.nextCommands().Starts[0]
				h.shard.ApplyStartResult(first, 0, agent.ErrNoAnswer, h.now)
				h.advance(commandRetryDelay)
				repeated := h.nextCommands().Starts[0]
				assert.Equal(t, repeated.Start.Run, first.Start.Run)
				running := agent.Report{Running: []agent.ActiveRun{{Task: first.Start.Task, Run: first.Start.Run}}}
				h.report(first.Target.ID, running)
				events := h.collectEvents("refusal-ignored")
				h.shard.ApplyStartResult(repeated, 0, refusal, h.now)
				assert.Equal(t, len(*events), 1)
				for range 10 {
					h.permitAll()
					commands := h.nextCommands()
					assert.Equal(t, len(commands.Starts), 0, "the task starts again while its run is on %s", first.Target.ID)
					assert.Equal(t, len(commands.Stops), 0)
					h.advance(100 * time.Millisecond)
					h.report(first.Target.ID, running)
				}
				h.report(first.Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(first, agent.OutcomeDone)}})
				h.commit()
				h.requireState(work.StateCompleted)
			})
		}
	}
}

// permitAll answers all advice calls with a ticket for each worker.
func (h *harness) permitAll() {
	h.shard.Tick(h.now, h.wall)
	for _, call := range allAdviceCalls(h.shard, h.now) {
		tickets := make(map[model.WorkerID]string)
		for _, id := range call.Request.Workers {
			tickets[id] = "ticket"
		}
		h.shard.ApplyAdvice(call, agent.Advice{Tickets: tickets, Valid: model.Duration(2 * time.Second)}, nil, h.now)
	}
}

// TestRepeatUnderWayAtEndIsWaitedFor guards against two runs of a task at the same time: a run failed while its start was repeated, and
// the repeat, which stayed unanswered, may reach the worker's next incarnation later than the first start.
func TestRepeatUnderWayAtEndIsWaitedFor(t *testing.T) {
	h := newAgedHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	first := h.nextCommands().Starts[0]
	h.shard.ApplyStartResult(first, 0, agent.ErrNoAnswer, h.now)
	h.advance(commandRetryDelay)
	repeated := h.nextCommands().Starts[0]
	assert.Equal(t, repeated.Start.Run, first.Start.Run)
	h.report(first.Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(first, agent.OutcomeFailed)}})
	h.advance(time.Second)
	h.shard.ApplyStartResult(repeated, 0, agent.ErrNoAnswer, h.now)
	lost := h.now + maxCommandDelay
	for h.now < lost {
		for _, id := range h.workers {
			h.clock[id] += 50 * time.Millisecond
			h.report(id, agent.Report{})
		}
		commands := h.nextCommands()
		for _, stop := range commands.Stops {
			h.clock[stop.Target.ID] += time.Millisecond
			h.shard.ApplyStopResult(stop, h.clock[stop.Target.ID], nil, h.now)
		}
		if h.now < lost {
			assert.Equal(t, len(commands.Starts), 0, "the task starts %v before its last start is lost", lost-h.now)
		}
	}
}

// TestRefusalOfRepeatAfterListing checks what follows if something else happens between the report that lists a run and the refusal of
// the repeat of its start.
func TestRefusalOfRepeatAfterListing(t *testing.T) {
	const testJob = "j"
	tests := []struct {
		name string
		gang bool
		// between happens before the refusal; wantStops and wantStarts are the commands to the workers within a second after it.
		between    func(h *harness, cmd StartCommand)
		wantStops  bool
		wantStarts bool
		// waitsForLate tells that without tickets the next start waits until the first one is lost for certain.
		waitsForLate bool
	}{
		{name: "nothing", between: func(*harness, StartCommand) {}},
		{name: "nothing for a gang", gang: true, between: func(*harness, StartCommand) {}},
		{
			name: "the run succeeds",
			between: func(h *harness, cmd StartCommand) {
				h.report(cmd.Target.ID, agent.Report{Ended: []agent.EndedRun{firstEnd(cmd, agent.OutcomeDone)}})
			},
		},
		{
			name: "the job is cancelled",
			between: func(h *harness, _ StartCommand) {
				h.shard.Cancel(testJob, h.now)
			},
			wantStops: true,
		},
		{
			name: "the worker restarts",
			between: func(h *harness, cmd StartCommand) {
				h.restart(cmd.Target.ID)
				h.report(cmd.Target.ID, agent.Report{})
			},
			wantStarts: true, waitsForLate: true,
		},
	}
	for _, queue := range []string{testQueue, "advised"} {
		for _, tt := range tests {
			t.Run(queue+" "+tt.name, func(t *testing.T) {
				h := newAgedHarness(t, "w1", "w2")
				stage := tasks(1)
				if tt.gang {
					stage = tasks(2)
					stage.Gang = true
				}
				h.submitAs(testJob, queue, stage)
				h.permitAll()
				running := make(map[model.WorkerID]agent.Report)
				for _, first := range h.nextCommands().Starts {
					h.shard.ApplyStartResult(first, 0, agent.ErrNoAnswer, h.now)
					report := running[first.Target.ID]
					report.Running = append(report.Running, agent.ActiveRun{Task: first.Start.Task, Run: first.Start.Run})
					running[first.Target.ID] = report
				}
				h.advance(commandRetryDelay)
				repeated := h.nextCommands().Starts
				assert.Equal(t, len(repeated), stage.Count)
				for id, report := range running {
					h.report(id, report)
				}
				tt.between(h, repeated[0])
				for _, cmd := range repeated {
					h.shard.ApplyStartResult(cmd, 0, agent.ErrUnhealthy, h.now)
				}
				starts, stops := 0, 0
				for range 10 {
					h.advance(100 * time.Millisecond)
					h.permitAll()
					commands := h.nextCommands()
					starts, stops = starts+len(commands.Starts), stops+len(commands.Stops)
				}
				assert.Equal(t, starts > 0, tt.wantStarts && (!tt.waitsForLate || queue != testQueue))
				assert.Equal(t, stops > 0, tt.wantStops)
			})
		}
	}
}
