package state_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// world is the machine under test beside the oracle, and a twin that folds the same log without ever being restored.
type world struct {
	oracle  *oracle
	machine *state.Machine
	twin    *state.Machine
	offset  model.Offset
	time    int64
	// written holds each writer's envelopes so far, landed or not; landed counts those that reached the log.
	written map[model.InstanceID][]record.Envelope
	landed  map[model.InstanceID]int
	old     [][]byte
	author  model.InstanceID
	// tasks and workers are what an observer of the events knows.
	tasks   map[model.TaskID]state.Task
	workers map[model.WorkerID]state.Worker
}

// TestWork guards against overcommitted workers, teams over their limits, tasks bound twice, and jobs lost or
// completed twice, while envelopes of several writers arrive late, in any order and repeatedly, and the state is
// restored from snapshots in between.
func TestWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"write":   w.write,
			"deliver": w.deliver,
			"take":    w.take,
			"land":    w.land,
			"repeat":  w.repeat,
			"restart": w.restart,
			"restore": w.restore,
			"":        w.check,
		})
	})
}

func newWorld(t *rapid.T) *world {
	cfg := testConfig()
	cfg.Approvers = func(_, _ decl.Set) []model.OrganisationID { return nil }
	w := &world{
		oracle: newOracle(), offset: -1, time: 1_000 * second,
		written: make(map[model.InstanceID][]record.Envelope), landed: make(map[model.InstanceID]int),
		tasks: make(map[model.TaskID]state.Task), workers: make(map[model.WorkerID]state.Worker),
	}
	var err error
	w.machine, err = state.New(cfg)
	assert.NilError(t, err)
	w.twin, err = state.New(cfg)
	assert.NilError(t, err)
	set := baseSet()
	set.Teams[0].Limit.Tasks = 5
	open := spec("j2", 4)
	open.Class = "open"
	w.append(t, record.Envelope{Writer: "operator", Sequence: 1, Time: w.time, Ops: []record.Op{
		record.Change{ID: "base", Base: model.NoOffset, Contents: patch(decl.Patch{Put: set})},
		seen("w1", "boot-1", "a"), seen("w2", "boot-1", "a"), seen("w3", "boot-1", "b"), accepted(spec("j3", 1)),
		accepted(spec("j0", 4)), accepted(spec("j1", 3).WithTeam("blue")),
		record.JobAccepted{Spec: open, Key: redKey},
	}}, true)
	return w
}

// append folds the envelope at the next offset and compares the results with the oracle's.
func (w *world) append(t *rapid.T, env record.Envelope, fresh bool) {
	w.offset++
	applied := w.machine.Apply(w.offset, env)
	w.twin.Apply(w.offset, env)
	assert.Equal(t, applied.Duplicate, !fresh)
	if !fresh {
		return
	}
	w.observe(applied.Events)
	for i, effective := range w.oracle.fold(w.offset, env) {
		assert.Equal(t, applied.Results[i] == nil, effective, "operation %d, %+v: %v", i, env.Ops[i], applied.Results[i])
	}
}

func (w *world) observe(events []state.Event) {
	for _, event := range events {
		switch event := event.(type) {
		case state.TaskQueued:
			w.tasks[event.Task.ID] = event.Task
		case state.TaskBound:
			w.tasks[event.Task.ID] = event.Task
		case state.TaskPromoted:
			w.tasks[event.Task.ID] = event.Task
		case state.TaskPulled:
			w.tasks[event.Task.ID] = event.Task
		case state.TaskStopping:
			w.tasks[event.Task.ID] = event.Task
		case state.TaskDone:
			w.tasks[event.Task.ID] = event.Task
		case state.WorkerChanged:
			w.workers[event.Worker.ID] = event.Worker
		}
	}
}

var writerNames = []model.InstanceID{"entry-1", "entry-2", "entry-3"}

// write prepares an envelope from the present state; it lands later, when the state may be another.
func (w *world) write(t *rapid.T) { w.prepare(t, w.draw) }

func (w *world) prepare(t *rapid.T, draw func(*rapid.T) []record.Op) model.InstanceID {
	name := rapid.SampledFrom(writerNames).Draw(t, "writer")
	if len(w.written[name]) > w.landed[name] {
		t.Skip("one append in flight")
	}
	w.author = name
	env := record.Envelope{Writer: name, Incarnation: 1}
	if n := len(w.written[name]); n > 0 {
		env.Incarnation, env.Sequence = w.written[name][n-1].Incarnation, w.written[name][n-1].Sequence
	}
	env.Sequence++
	w.time += second
	env.Time = w.time
	for range rapid.IntRange(1, 4).Draw(t, "operations") {
		env.Ops = append(env.Ops, draw(t)...)
	}
	w.written[name] = append(w.written[name], env)
	return name
}

// deliver writes and lands an envelope at once.
func (w *world) deliver(t *rapid.T) { w.landOf(t, w.prepare(t, w.draw)) }

// take binds tasks at once, so that workers and teams fill up.
func (w *world) take(t *rapid.T) {
	w.landOf(t, w.prepare(t, func(t *rapid.T) []record.Op {
		return []record.Op{w.drawTaken(t, w.drawAttempt(t, state.PhaseQueued), 0)}
	}))
}

func (w *world) land(t *rapid.T) {
	name := rapid.SampledFrom(writerNames).Draw(t, "writer")
	if len(w.written[name]) == w.landed[name] {
		t.Skip("nothing in flight")
	}
	w.landOf(t, name)
}

func (w *world) landOf(t *rapid.T, name model.InstanceID) {
	w.landed[name]++
	w.append(t, w.written[name][w.landed[name]-1], true)
}

// repeat appends an envelope again whose effect was unknown to its writer.
func (w *world) repeat(t *rapid.T) {
	name := rapid.SampledFrom(writerNames).Draw(t, "writer")
	if w.landed[name] == 0 {
		t.Skip("nothing to repeat")
	}
	w.append(t, w.written[name][rapid.IntRange(0, w.landed[name]-1).Draw(t, "envelope")], false)
}

// restart gives a writer a new incarnation; what the old one had in flight may land later and must have no effect.
func (w *world) restart(t *rapid.T) {
	name := rapid.SampledFrom(writerNames).Draw(t, "writer")
	n := len(w.written[name])
	if n == 0 {
		t.Skip("nothing written")
	}
	w.written[name] = append(w.written[name], record.Envelope{
		Writer: name, Incarnation: w.written[name][n-1].Incarnation + 1, Sequence: 1, Time: w.time,
	})
	w.landed[name] = n + 1
	w.append(t, w.written[name][n], true)
}

// restore goes on with a machine restored from a snapshot, which must equal the one that never was.
func (w *world) restore(t *rapid.T) {
	snapshot, err := w.machine.Snapshot()
	assert.NilError(t, err)
	twin, err := w.twin.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(snapshot, twin), "the restored machine differs from the original")
	for _, old := range w.old {
		_, err := w.machine.Restore(old)
		assert.ErrorIs(t, err, state.ErrOldSnapshot)
	}
	fresh := w.machine
	if rapid.Bool().Draw(t, "empty") {
		cfg := testConfig()
		cfg.Approvers = func(_, _ decl.Set) []model.OrganisationID { return nil }
		fresh, err = state.New(cfg)
		assert.NilError(t, err)
	}
	events, err := fresh.Restore(snapshot)
	assert.NilError(t, err)
	assert.Equal(t, asJSON(events), asJSON(w.machine.Describe()))
	w.machine = fresh
	again, err := w.machine.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(snapshot, again), "the snapshot changed by restoring it")
	// The next envelope makes this snapshot an old one.
	w.append(t, record.Envelope{Writer: "operator", Sequence: int64(w.offset) + 2, Time: w.time}, true)
	w.old = append(w.old, snapshot)
}

// check compares the machine with the oracle.
func (w *world) check(t *rapid.T) {
	w.machine.CheckInvariants()
	for id, want := range w.oracle.tasks {
		got, _, ok := w.machine.Task(id)
		assert.Assert(t, ok)
		assert.Equal(t, got, w.tasks[id], "the events tell another state")
		got.QueuedAt, got.BoundAt, got.Lease = 0, 0, 0
		assert.DeepEqual(t, got, want)
	}
	for id, want := range w.oracle.workers {
		got, ok := w.machine.Worker(id)
		assert.Assert(t, ok)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(w.workers[id]), "the events tell another state")
		assert.Equal(t, got.Committed, w.oracle.committed(id))
		assert.Assert(t, got.Committed.Fits(got.Capacity))
		assert.Equal(t, got.Boot, want.boot)
		assert.Equal(t, got.Suspicion, want.suspicion)
		assert.Equal(t, got.Lost, want.lost)
		var bound []model.TaskID
		for _, task := range w.oracle.bound {
			if w.oracle.tasks[task].Worker == id {
				bound = append(bound, task)
			}
		}
		assert.Equal(t, fmt.Sprint(got.Bound), fmt.Sprint(bound))
	}
	usage := w.machine.Usage()
	for _, name := range []model.TeamID{"red", "blue"} {
		assert.Equal(t, usage[name], w.oracle.usage(name))
	}
	w.checkJobs(t)
}

func (w *world) checkJobs(t *rapid.T) {
	for id, want := range w.oracle.jobs {
		got, ok := w.machine.Job(id)
		assert.Assert(t, ok)
		done, queued, ends := 0, 0, make(map[model.Outcome]bool)
		for _, task := range got.Tasks {
			if task.Phase == state.PhaseDone {
				done++
				ends[task.Outcome] = true
			}
		}
		if got.Finished() {
			assert.Equal(t, got.Outcome, want.outcome(ends))
		}
		for _, task := range w.machine.Queued(want.spec.Team, want.spec.Class, 1_000) {
			if task.ID.Job == id {
				queued++
			}
		}
		for i := range want.spec.Tasks {
			if w.oracle.tasks[model.TaskID{Job: id, Index: i}].Phase == state.PhaseQueued {
				queued--
			}
		}
		assert.Equal(t, queued, 0, "job %s in Queued", id)
		assert.Equal(t, got.Done, done)
		assert.Equal(t, got.Finished(), done == want.spec.Tasks)
		assert.Equal(t, got.Cancelled, want.cancelled)
	}
}
