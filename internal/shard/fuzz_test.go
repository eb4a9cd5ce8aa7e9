package shard

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

var (
	drawQueue    = rapid.SampledFrom([]string{"urgent", testQueue, "advised"})
	drawTeam     = rapid.SampledFrom([]model.TeamID{"north", "north", "capped"})
	drawDelivery = rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "unanswered", "late"})
	drawEnd      = rapid.SampledFrom(
		[]agent.RunOutcome{agent.OutcomeDone, agent.OutcomeDone, agent.OutcomeDone, agent.OutcomeFailed})
)

func (cl *cluster) submit(t *rapid.T) {
	job := work.Job{Queue: drawQueue.Draw(t, "queue"), Team: drawTeam.Draw(t, "team")}
	for i := range rapid.IntRange(1, 2).Draw(t, "stages") {
		stage := work.Stage{
			Count: rapid.IntRange(1, 3).Draw(t, "count"), RunTime: model.Duration(time.Second),
			Size:        model.Resources{Cores: model.MilliCores(500 * rapid.IntRange(1, 3).Draw(t, "cores")), Memory: 500},
			Gang:        rapid.Bool().Draw(t, "gang"),
			Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
		}
		if job.Team == "capped" && stage.Size.Cores*model.MilliCores(stage.Count) > 2000 {
			// A gang above its team's limit never runs.
			stage.Gang = false
		}
		if i > 0 {
			stage.After = []int{0}
		}
		job.Stages = append(job.Stages, stage)
	}
	cl.submitJob(job)
}

func (cl *cluster) submitJob(job work.Job) {
	cl.submitted++
	job.ID, job.Accepted = model.JobID(fmt.Sprintf("j%03d", cl.submitted)), cl.wall
	cl.jobs[job.ID], cl.submissions[job.ID] = job, true
	cl.shard.Submit(job, cl.now)
}

// finishRun ends a run, unless it is being stopped or belongs to a gang that is not complete yet.
func (cl *cluster) finishRun(w *simWorker, run *simRun, outcome agent.RunOutcome) {
	if run.stopping || run.orphaned != "" {
		return
	}
	if run.gang && run.waitingSince >= 0 {
		return
	}
	cl.endRun(w, run, outcome)
}

// crashWorker ends the worker's incarnation; the next one has no state.
func (cl *cluster) crashWorker(w *simWorker) {
	cl.logf("%s (incarnation %d) ends", w.id, w.incarnation)
	for _, run := range w.sortedRuns() {
		if w.runs[run.key] == run {
			delete(w.runs, run.key)
			if run.gang {
				cl.endGangMembers(run.key, agent.OutcomeLeaseExpired)
			}
		}
	}
	w.up, w.unreachable, w.clock, w.token, w.leaseEnd, w.namedEnd, w.lastEnd, w.lastUncountedEnd = false, false, 0, 0, 0, 0, 0, 0
	clear(w.connections)
	w.ends, w.superseded, w.endedAt = nil, make(map[work.TaskRef]int), make(map[int64]int)
}

// restartWorker starts the worker's next incarnation under the same ID and address. Its entry changes when it is next written.
func (cl *cluster) restartWorker(w *simWorker) {
	cl.crashWorker(w)
	w.up = true
	w.incarnation++
}

// finishRuns ends all runs of a worker that can end with a success.
func (cl *cluster) finishRuns(w *simWorker) {
	for _, run := range w.sortedRuns() {
		if w.runs[run.key] == run {
			cl.finishRun(w, run, agent.OutcomeDone)
		}
	}
}

// actions returns the actions of the property test by name. rapid sorts the names, so renaming an action changes the
// sequence that a seed gives.
func (cl *cluster) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *simWorker { return rapid.SampledFrom(cl.workers).Draw(t, "worker") }
	actions := map[string]func(*rapid.T){
		"submit": cl.submit,
		"cancel": func(t *rapid.T) {
			if cl.submitted > 0 {
				id := model.JobID(fmt.Sprintf("j%03d", rapid.IntRange(1, cl.submitted).Draw(t, "job")))
				cl.cancelled[id] = true
				cl.shard.Cancel(id, cl.now)
			}
		},
		"send": func(t *rapid.T) { cl.sendCommands(func() string { return drawDelivery.Draw(t, "answer") }) },
		"hold": func(t *rapid.T) { cl.exchangeHeartbeat(pick(t), cl.options.heartbeatDeliveries().Draw(t, "answer")) },
		"pass": func(t *rapid.T) {
			cl.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"end": func(t *rapid.T) {
			w := pick(t)
			if runs := w.sortedRuns(); len(runs) > 0 && w.up {
				cl.finishRun(w, runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")], drawEnd.Draw(t, "how"))
			}
		},
		"cut":   func(t *rapid.T) { w := pick(t); w.unreachable = !w.unreachable },
		"crash": func(t *rapid.T) { cl.crashWorker(pick(t)) },
		"back": func(t *rapid.T) {
			if w := pick(t); !w.up {
				w.up = true
				w.incarnation++
				cl.register()
			}
		},
		"restart": func(t *rapid.T) {
			if w := pick(t); w.up {
				cl.restartWorker(w)
			}
		},
		"commit": func(*rapid.T) { cl.commit() },
		"store":  func(*rapid.T) { cl.storeDown = !cl.storeDown },
		"owner": func(*rapid.T) {
			cl.storeDown = false
			cl.takeOver()
		},
		"part": func(t *rapid.T) {
			// The owner ends after it has written a part of a commit.
			records := cl.shard.TakeCommit(cl.now).Progress
			cl.writeProgress(records[:rapid.IntRange(0, len(records)).Draw(t, "records")])
			cl.storeDown = false
			cl.takeOver()
		},
		"": func(*rapid.T) { cl.checkInvariants() },
	}
	maps.Copy(actions, cl.platformActions(pick))
	if cl.options.noRestarts {
		maps.DeleteFunc(actions, func(name string, _ func(*rapid.T)) bool {
			return slices.Contains([]string{"back", "crash", "restart", "restart-hold"}, name)
		})
	}
	return actions
}

// recoverAndFinish clears all faults and requires that every job reaches a final state. New owners take over soon after the
// first jobs have ended, and again once the records of these jobs are no longer kept. Workers restart, and runs end there
// before the owner has learnt of it.
func (cl *cluster) recoverAndFinish(t *rapid.T) {
	cl.storeDown, cl.reports, cl.formers, cl.options.slowAnswers = false, nil, nil, false
	for _, w := range cl.workers {
		w.unreachable, w.unlisted, w.draining = false, false, false
		if !w.up {
			w.up = true
			w.incarnation++
		}
	}
	cl.register()
	for step := range 1200 {
		if step%60 == 5 && step < 180 {
			cl.takeOver()
			cl.formers = nil
		}
		if w := cl.workers[step%len(cl.workers)]; step%5 == 0 && step < 180 {
			cl.restartWorker(w)
			cl.sendCommands(func() string { return "answered" })
			cl.finishRuns(w)
		}
		for _, w := range cl.workers {
			cl.exchangeHeartbeat(w, "answered")
			cl.finishRuns(w)
			cl.exchangeHeartbeat(w, "answered")
		}
		cl.sendCommands(func() string { return "answered" })
		cl.advance(100 * time.Millisecond)
	}
	for id := range cl.jobs {
		state, known := cl.shard.JobState(id)
		if !known && cl.expired[id] {
			continue
		}
		if !known || !state.Final() {
			t.Fatalf("%s is %q (known %v) long after all faults were cleared: %+v, %s",
				id, state, known, cl.jobs[id], cl.describe(id))
		}
	}
}

// describe returns the owner's view of a job's runs.
func (cl *cluster) describe(id model.JobID) string {
	text := ""
	for _, st := range cl.shard.jobs[id].stages {
		for i := range st.tasks {
			task := &st.tasks[i]
			text += fmt.Sprintf("[stage %d task %d done %v last run %d failed %v",
				st.index, i, task.done, task.lastRun, task.failedRuns)
			for _, a := range task.attempts {
				text += fmt.Sprintf(" (run %d on %s phase %d visible since %v command pending %v)",
					a.run, a.worker.id, a.phase, a.visibleSince, a.commandPending)
			}
			text += "]"
		}
	}
	return text
}

// TestInvariantsUnderFaults checks the scheduling invariants while commands are lost, unanswered or delayed, workers
// become unreachable, crash and return, tasks fail, jobs are cancelled, and new owners take over at any time.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t, simOptions{})
		t.Repeat(cl.actions())
		cl.recoverAndFinish(t)
	})
}

// TestNewOwnerWaitsForSilentWorker guards against a second run of a task that a former owner started on a worker that
// the new owner can't reach.
func TestNewOwnerWaitsForSilentWorker(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submitJob(tasks(1))
	first := h.confirmStarts()
	assert.Equal(t, len(first), 1)
	silent := first[0].Target.ID
	progress := h.progress("j")
	other := h.workers[slices.IndexFunc(h.workers, func(id model.WorkerID) bool { return id != silent })]
	h.takeOver(RecordedState{Jobs: []work.Job{h.shard.jobs["j"].spec}, Progress: map[model.JobID]work.Progress{"j": progress}})
	// For 3 s the former owner may have sent commands that grant leases of at most 10 s, also if they are carried out 15 s late.
	for range 26 {
		h.report(other, agent.Report{})
		assert.Equal(t, len(h.confirmStarts()), 0)
		h.advance(time.Second)
	}
	h.advance(time.Second)
	h.report(other, agent.Report{})
	second := h.confirmStarts()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Start.Run, 2)
}
