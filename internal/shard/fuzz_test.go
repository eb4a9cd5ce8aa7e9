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

var (
	drawQueue  = rapid.SampledFrom([]string{"urgent", testQueue, "advised"})
	drawTeam   = rapid.SampledFrom([]model.TeamID{"north", "north", "capped"})
	drawAnswer = rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "unanswered", "late"})
	drawEnd    = rapid.SampledFrom([]agent.RunOutcome{agent.OutcomeDone, agent.OutcomeDone, agent.OutcomeDone, agent.OutcomeFailed})
)

func (w *world) submit(t *rapid.T) {
	w.next++
	job := work.Job{
		ID: model.JobID(fmt.Sprintf("j%03d", w.next)), Queue: drawQueue.Draw(t, "queue"), Team: drawTeam.Draw(t, "team"), Accepted: w.wall,
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "stages") {
		stage := work.Stage{
			Count: rapid.IntRange(1, 3).Draw(t, "count"), RunTime: model.Duration(time.Second),
			Size:        model.Resources{Cores: model.MilliCores(500 * rapid.IntRange(1, 3).Draw(t, "cores")), Memory: 500},
			Gang:        rapid.Bool().Draw(t, "gang"),
			Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
		}
		if job.Team == "capped" && stage.Size.Cores*model.MilliCores(stage.Count) > 2000 {
			// A gang over its team's limit never runs.
			stage.Gang = false
		}
		if i > 0 {
			stage.After = []int{0}
		}
		job.Stages = append(job.Stages, stage)
	}
	w.jobs[job.ID] = job
	w.shard.Submit(job, w.now)
}

// finishRun ends a run that is at work: a gang only if all its members are present.
func (w *world) finishRun(s *sim, p *present, how agent.RunOutcome) {
	if p.stopping {
		return
	}
	if p.gang && p.waits >= 0 {
		return
	}
	w.end(s, p, how)
}

// crash ends a worker's life; the next one knows nothing.
func (w *world) crash(s *sim) {
	for _, p := range s.sorted() {
		if s.runs[p.key] == p {
			delete(s.runs, p.key)
			if p.gang {
				w.breakGang(p.key, agent.OutcomeLeaseExpired)
			}
		}
	}
	s.up, s.cut, s.clock, s.token, s.leaseEnd, s.last = false, false, 0, 0, 0, 0
	s.ends, s.refused = nil, make(map[work.TaskRef]int)
}

func (w *world) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *sim { return rapid.SampledFrom(w.sims).Draw(t, "worker") }
	return map[string]func(*rapid.T){
		"submit": w.submit,
		"cancel": func(t *rapid.T) {
			if w.next > 0 {
				id := model.JobID(fmt.Sprintf("j%03d", rapid.IntRange(1, w.next).Draw(t, "job")))
				w.cancels[id] = true
				w.shard.Cancel(id, w.now)
			}
		},
		"send": func(t *rapid.T) { w.send(func() string { return drawAnswer.Draw(t, "answer") }) },
		"hold": func(t *rapid.T) { w.hold(pick(t)) },
		"pass": func(t *rapid.T) {
			w.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"end": func(t *rapid.T) {
			s := pick(t)
			if runs := s.sorted(); len(runs) > 0 && s.up {
				w.finishRun(s, runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")], drawEnd.Draw(t, "how"))
			}
		},
		"cut":   func(t *rapid.T) { s := pick(t); s.cut = !s.cut },
		"crash": func(t *rapid.T) { w.crash(pick(t)) },
		"back": func(t *rapid.T) {
			if s := pick(t); !s.up {
				s.up = true
				s.born++
				w.register()
			}
		},
		"commit": func(*rapid.T) { w.commit() },
		"store":  func(*rapid.T) { w.down = !w.down },
		"owner": func(*rapid.T) {
			w.down = false
			w.takeOver()
		},
		"": func(*rapid.T) { w.check() },
	}
}

// settle heals everything and requires that each job that was not cancelled ends.
func (w *world) settle(t *rapid.T) {
	w.down = false
	for _, s := range w.sims {
		s.cut = false
		if !s.up {
			s.up = true
			s.born++
		}
	}
	w.register()
	for range 1200 {
		for _, s := range w.sims {
			w.hold(s)
			for _, p := range s.sorted() {
				if s.runs[p.key] == p {
					w.finishRun(s, p, agent.OutcomeDone)
				}
			}
			w.hold(s)
		}
		w.send(func() string { return "answered" })
		w.pass(100 * time.Millisecond)
	}
	for id := range w.jobs {
		state, known := w.shard.State(id)
		if !known || !state.Final() {
			t.Fatalf("%s is %q (known %v) long after everything was healed: %+v, %s", id, state, known, w.jobs[id], w.describe(id))
		}
	}
}

// describe tells what the owner believes of a job's runs.
func (w *world) describe(id model.JobID) string {
	text := ""
	for _, st := range w.shard.jobs[id].stages {
		for i := range st.tasks {
			task := &st.tasks[i]
			text += fmt.Sprintf("[stage %d task %d done %v last run %d failed %v", st.index, i, task.done, task.lastRun, task.failedRuns)
			for _, a := range task.attempts {
				text += fmt.Sprintf(" (run %d on %s phase %d settled %v calling %v)", a.run, a.worker.id, a.phase, a.settled, a.calling)
			}
			text += "]"
		}
	}
	return text
}

// TestSharedFleet guards the promises about what runs where, against orders that are lost, unanswered or late, workers
// that are cut off, crash and come back, failing tasks, cancellations, and new owners at any moment.
func TestSharedFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.settle(t)
	})
}

// TestNewOwnerWaitsForSilentWorker guards against a second run of a task that a former owner started on a worker that
// the new owner can't reach.
func TestNewOwnerWaitsForSilentWorker(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.submit(tasks(1))
	first := r.startAll()
	assert.Equal(t, len(first), 1)
	silent := first[0].Target.ID
	progress := r.s.jobs["j"].progress()
	other := r.names[slices.IndexFunc(r.names, func(id model.WorkerID) bool { return id != silent })]
	r.takeOver(Restored{Jobs: []work.Job{r.s.jobs["j"].spec}, Progress: map[model.JobID]work.Progress{"j": progress}})
	// The former owner may have renewed the lease of 7 s for 3 s.
	for range 10 {
		r.report(other, agent.Report{})
		assert.Equal(t, len(r.startAll()), 0)
		r.pass(time.Second)
	}
	r.pass(time.Second)
	r.report(other, agent.Report{})
	second := r.startAll()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Start.Run, 2)
}
