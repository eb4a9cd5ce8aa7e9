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

// formerStarts is how long after a takeover a start of the former owner may arrive.
const formerStarts = 3*time.Second + maxCommandDelay

// settledCase is a task of a queue without advice whose start was sent to w1, beside which w2 has room.
type settledCase struct {
	*harness
	start StartCommand
}

func newSettledCase(t *testing.T, st work.Stage) *settledCase {
	t.Helper()
	h := newAgedHarness(t, "w1")
	h.submitJob(st)
	start := h.nextCommands().Starts[0]
	h.workers, h.incarnation["w2"] = append(h.workers, "w2"), 1
	h.register()
	return &settledCase{h, start}
}

// pass lets time pass in which the workers but the silent ones report, and those listed run the task; it returns the starts.
func (c *settledCase) pass(d time.Duration, running []model.WorkerID, silent ...model.WorkerID) []StartCommand {
	var starts []StartCommand
	for end := c.now + d; c.now < end; {
		c.advance(100 * time.Millisecond)
		for _, id := range c.workers {
			if slices.Contains(silent, id) {
				continue
			}
			c.clock[id] += 100 * time.Millisecond
			var report agent.Report
			if slices.Contains(running, id) {
				report.Running = []agent.ActiveRun{{Task: c.start.Start.Task, Run: c.start.Start.Run, Percent: int(c.now / time.Second)}}
			}
			c.report(id, report)
		}
		starts = append(starts, c.confirmStarts()...)
	}
	return starts
}

// answer passes the result of the start on and lets the owner record what follows.
func (c *settledCase) answer(err error) {
	c.clock["w1"] += time.Millisecond
	c.shard.ApplyStartResult(c.start, c.clock["w1"], err, c.now)
	c.commit()
	c.shard.Tick(c.now, c.wall)
	c.commit()
}

// fail lets the task's run on w1 fail and returns after which time a next one starts, at most limit.
func (c *settledCase) fail(limit time.Duration, silent ...model.WorkerID) time.Duration {
	c.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(c.start, agent.OutcomeFailed)}})
	failed := c.now
	for c.now-failed < limit {
		if len(c.pass(100*time.Millisecond, nil, silent...)) > 0 {
			break
		}
	}
	return c.now - failed
}

// TestNewOwnerWaitsForNoAnsweredStart guards against a task of a queue without advice that idles after a change of owner: all its
// starts were answered before, so that none is on its way.
func TestNewOwnerWaitsForNoAnsweredStart(t *testing.T) {
	service := tasks(1)
	service.Service = true
	tests := []struct {
		name   string
		stage  work.Stage
		before func(c *settledCase)
	}{
		{"running task", tasks(1), func(c *settledCase) {
			c.answer(nil)
			c.takeOver(c.recorded())
		}},
		{"running service", service, func(c *settledCase) {
			c.answer(nil)
			c.takeOver(c.recorded())
		}},
		{"two changes of owner", service, func(c *settledCase) {
			c.answer(nil)
			c.takeOver(c.recorded())
			c.pass(3*time.Second, []model.WorkerID{"w1"})
			c.takeOver(c.recorded())
		}},
		{"first answer lost long ago", service, func(c *settledCase) {
			c.answer(agent.ErrNoAnswer)
			c.pass(time.Second, []model.WorkerID{"w1"})
			c.pass(maxCommandDelay, []model.WorkerID{"w1"})
			c.takeOver(c.recorded())
		}},
		{"start in doubt at a change of owner long ago", service, func(c *settledCase) {
			c.answer(agent.ErrNoAnswer)
			c.takeOver(c.recorded())
			c.pass(formerStarts+time.Second, []model.WorkerID{"w1"})
			c.takeOver(c.recorded())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newSettledCase(t, tt.stage)
			tt.before(c)
			assert.Equal(t, len(c.pass(5*time.Second, []model.WorkerID{"w1"})), 0)
			waited := c.fail(40 * time.Second)
			assert.Assert(t, waited < time.Second, "the task idles for %v", waited)
		})
	}
}

// TestNewOwnerWaitsForStartOnItsWay guards against two runs of a task at the same time: a start of the former owner reaches the next
// incarnation of its worker, which nobody can call, after the run there has ended.
func TestNewOwnerWaitsForStartOnItsWay(t *testing.T) {
	withoutSettled := func(r RecordedState) RecordedState {
		p := r.Progress["j"]
		p.Tasks = slices.Clone(p.Tasks)
		for i := range p.Tasks {
			p.Tasks[i].Settled, p.Tasks[i].LateStartOn = false, ""
			p.Tasks[i].Bindings = slices.Clone(p.Tasks[i].Bindings)
			for k := range p.Tasks[i].Bindings {
				p.Tasks[i].Bindings[k].Settled = false
			}
		}
		r.Progress["j"] = p
		return r
	}
	const maxLease = 10 * time.Second
	tests := []struct {
		name     string
		takeOver func(c *settledCase)
		// silent tells that w1 doesn't answer after the failure.
		silent bool
		least  time.Duration
	}{
		{"start not sent when recorded", func(c *settledCase) { c.takeOver(c.recorded()) }, false, formerStarts},
		{"start not sent when recorded, worker silent", func(c *settledCase) { c.takeOver(c.recorded()) }, true, formerStarts + maxLease},
		{"start in doubt", func(c *settledCase) {
			c.answer(agent.ErrNoAnswer)
			c.takeOver(c.recorded())
		}, true, formerStarts + maxLease},
		{"first start in doubt, repeat answered", func(c *settledCase) {
			c.answer(agent.ErrNoAnswer)
			c.pass(time.Second, []model.WorkerID{"w1"})
			c.takeOver(c.recorded())
		}, true, formerStarts + maxLease},
		{"failed run of a start in doubt", func(c *settledCase) {
			c.answer(agent.ErrNoAnswer)
			c.pass(time.Second, []model.WorkerID{"w1"})
			c.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(c.start, agent.OutcomeFailed)}})
			c.commit()
			c.takeOver(c.recorded())
		}, true, formerStarts + maxLease},
		{"failed run while its start is under way", func(c *settledCase) {
			c.report("w1", agent.Report{Ended: []agent.EndedRun{firstEnd(c.start, agent.OutcomeFailed)}})
			c.commit()
			c.takeOver(c.recorded())
		}, false, formerStarts + maxLease},
		{"record of an earlier version", func(c *settledCase) {
			c.answer(nil)
			c.takeOver(withoutSettled(c.recorded()))
		}, false, formerStarts + maxLease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newSettledCase(t, tasks(1))
			tt.takeOver(c)
			begun := c.now
			assert.Equal(t, len(c.pass(time.Second, []model.WorkerID{"w1"})), 0)
			var silent []model.WorkerID
			if tt.silent {
				silent = append(silent, "w1")
			}
			c.fail(60*time.Second, silent...)
			waited := c.now - begun
			assert.Assert(t, waited > tt.least, "started %v after the change of owner; a late start may run until %v", waited, tt.least)
			assert.Assert(t, waited < tt.least+2*time.Second, "the task idles until %v after the change of owner", waited)
		})
	}
}
