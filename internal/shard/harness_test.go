package shard

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

const (
	testLease = 7 * time.Second
	testQueue = "batch"
	testPool  = "pool"
)

// harness drives one shard step by step: commits, command results and reports happen only when a test calls for them.
type harness struct {
	t       testing.TB
	shard   *Shard
	now     time.Duration
	wall    time.Time
	token   int64
	workers []model.WorkerID
	// records holds the progress records that were written, by their keys.
	records map[string]work.Progress
	// registryDown tells that no read of the registry succeeds.
	registryDown bool
	// tasksPerRecord is that of the next ownership, or zero for the default.
	tasksPerRecord int
	incarnation    map[model.WorkerID]int64
	clock          map[model.WorkerID]time.Duration
}

func testConfiguration() terms.Configuration {
	return terms.New(terms.Params{
		Version: 1,
		Queues: []terms.Queue{
			{Name: "urgent", Pool: testPool, Priority: 0, Attempts: 2, Stretch: 1.5, Latency: 250 * time.Millisecond},
			{Name: testQueue, Pool: testPool, Priority: 2, Attempts: 2, Stretch: 4, Latency: 3 * time.Second},
			{Name: "advised", Pool: testPool, Priority: 1, Attempts: 2, Stretch: 4, Latency: 3 * time.Second, Advice: &terms.Advice{
				BaseTime: 10 * time.Millisecond, TimePerWorker: time.Millisecond, TicketValidity: 2 * time.Second,
			}},
		},
		Teams: []terms.Team{{ID: "north", Share: 1000}, {ID: "capped", Share: 1000, Limit: model.Resources{Cores: 2000}}},
	})
}

func newHarness(t testing.TB, workers ...model.WorkerID) *harness {
	t.Helper()
	h := &harness{
		t: t, now: time.Minute, wall: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), token: 1, workers: workers,
		incarnation: make(map[model.WorkerID]int64), clock: make(map[model.WorkerID]time.Duration),
		records: make(map[string]work.Progress),
	}
	for _, id := range workers {
		h.incarnation[id] = 1
	}
	h.takeOver(RecordedState{})
	for _, id := range workers {
		h.report(id, agent.Report{})
	}
	return h
}

// takeOver starts a new ownership from recorded state.
func (h *harness) takeOver(restored RecordedState) {
	h.shard = New(Config{
		Epoch: h.token, Lease: testLease, MaxLease: 10 * time.Second, RenewLimit: 3 * time.Second,
		KillGrace: simKillGrace, GangTimeout: simGangTimeout, Retention: time.Minute,
		TasksPerRecord: h.tasksPerRecord,
	})
	h.token++
	h.shard.SetConfiguration(testConfiguration())
	h.shard.Restore(restored, h.now, h.wall)
	h.register()
}

func (h *harness) register(draining ...model.WorkerID) {
	entries := make([]agent.Entry, 0, len(h.workers))
	for _, id := range h.workers {
		entry := agent.Entry{
			ID: id, Pool: testPool, Address: string(id), DataCentre: "dc1", Capacity: model.Resources{Cores: 4000, Memory: 4000},
		}
		for _, d := range draining {
			entry.Draining = entry.Draining || d == id
		}
		entries = append(entries, entry)
	}
	h.shard.SetRegistry(entries)
}

// advance lets time pass, in which the registry is read as often as an owner reads it.
func (h *harness) advance(d time.Duration) {
	const registryInterval = 250 * time.Millisecond
	for end := h.now + d; h.now < end; {
		passed := min(end-h.now, registryInterval)
		h.now += passed
		h.wall = h.wall.Add(passed)
		if !h.registryDown {
			h.shard.NoteRegistryRead(h.now, h.now)
		}
	}
}

// report sends a heartbeat to a worker and applies the given report as its answer.
func (h *harness) report(id model.WorkerID, report agent.Report) {
	h.clock[id] += 10 * time.Millisecond
	h.advance(10 * time.Millisecond)
	_, ok := h.shard.HeartbeatFor(id, h.now, true)
	assert.Assert(h.t, ok)
	report.Clock, report.Incarnation = h.clock[id], h.incarnation[id]
	h.shard.ApplyReport(id, report, h.now)
}

// renewal returns the worker's next heartbeat that renews the lease; the heartbeat is under way.
func (h *harness) renewal(id model.WorkerID) agent.Heartbeat {
	h.advance(h.shard.cfg.RenewInterval())
	heartbeat, ok := h.shard.HeartbeatFor(id, h.now, true)
	assert.Assert(h.t, ok && heartbeat.LeaseEnd > 0)
	return heartbeat
}

// commit records all pending changes, including those that could wait, and returns the progress records.
func (h *harness) commit() []JobProgress {
	h.advance(commitDelay)
	h.shard.NoteInboxRead(h.now)
	c := h.shard.TakeCommit(h.now)
	if !c.Empty() {
		h.shard.MarkCommitted(c.Number)
	}
	for _, p := range c.Progress {
		h.records[work.ProgressKey(model.JobID(p.ID), p.Part)] = p.Progress
	}
	return c.Progress
}

// recorded returns the state of the test's job that was recorded.
func (h *harness) recorded() RecordedState {
	return RecordedState{Jobs: []work.Job{h.shard.jobs["j"].spec}, Progress: map[model.JobID]work.Progress{"j": h.records["j"]}}
}

// progress returns what the shard would record of a job now.
func (h *harness) progress(id model.JobID) work.Progress {
	return h.shard.progress(h.shard.jobs[id], h.now)
}

// nextCommands runs a tick, commits the decisions and returns the commands to send.
func (h *harness) nextCommands() Commands {
	h.shard.Tick(h.now, h.wall)
	h.commit()
	return h.shard.TakeCommands(h.now)
}

// allAdviceCalls returns the advice calls that wait, as if there were a free node for each.
func allAdviceCalls(s *Shard, now time.Duration) []AdviceCall {
	var calls []AdviceCall
	for {
		call, ok := s.NextAdviceCall(AdviceNodes{Count: math.MaxInt32, LongestCall: math.MaxInt64}, now)
		if !ok {
			return calls
		}
		calls = append(calls, call)
	}
}

// nextAdviceCalls runs a tick, commits the decisions and returns the advice calls to send.
func (h *harness) nextAdviceCalls() []AdviceCall {
	h.nextCommands()
	return allAdviceCalls(h.shard, h.now)
}

// confirmStarts answers all start commands with success and returns them.
func (h *harness) confirmStarts() []StartCommand {
	commands := h.nextCommands()
	for _, cmd := range commands.Starts {
		h.clock[cmd.Target.ID] += time.Millisecond
		h.shard.ApplyStartResult(cmd, h.clock[cmd.Target.ID], nil, h.now)
	}
	return commands.Starts
}

// submitJob submits the test's job.
func (h *harness) submitJob(stages ...work.Stage) {
	h.shard.Submit(work.Job{ID: "j", Queue: testQueue, Team: "north", Stages: stages, Accepted: h.wall}, h.now)
}

// requireState requires that the shard reports this state for the test's job.
func (h *harness) requireState(want work.State) {
	h.t.Helper()
	got, ok := h.shard.JobState("j")
	assert.Assert(h.t, ok)
	assert.Equal(h.t, got, want)
}

// firstEnd returns the started run as the first ended run in a worker's report.
func firstEnd(cmd StartCommand, outcome agent.RunOutcome) agent.EndedRun {
	return agent.EndedRun{Number: 1, Task: cmd.Start.Task, Run: cmd.Start.Run, Outcome: outcome}
}

func tasks(n int) work.Stage {
	return work.Stage{Count: n, Size: model.Resources{Cores: 1000, Memory: 1000}, RunTime: model.Duration(time.Second)}
}
