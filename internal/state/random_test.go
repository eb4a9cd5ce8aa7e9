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

// writerSim simulates several writers of one log. It compares the machine under test with the oracle, and with a
// reference machine that applies the same log and is never restored from a snapshot.
type writerSim struct {
	oracle    *oracle
	machine   *state.Machine
	reference *state.Machine
	offset    model.Offset
	time      int64
	// written holds each writer's envelopes, in order; the first appended[writer] of them are no longer in flight.
	written      map[model.InstanceID][]record.Envelope
	appended     map[model.InstanceID]int
	oldSnapshots [][]byte
	author       model.InstanceID
	// observedTasks and observedWorkers are the states that an observer of the events knows.
	observedTasks   map[model.TaskID]state.Task
	observedWorkers map[model.WorkerID]state.Worker
}

// TestMachineMatchesOracle guards against overcommitted workers, teams over their limits, tasks bound twice, and jobs
// lost or completed twice, while envelopes of several writers arrive late, in any order and more than once, and the
// state is restored from snapshots in between.
func TestMachineMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWriterSim(t)
		t.Repeat(map[string]func(*rapid.T){
			"write":   w.write,
			"deliver": w.writeAndAppend,
			"take":    w.take,
			"land":    w.appendPending,
			"repeat":  w.appendDuplicate,
			"restart": w.restart,
			"restore": w.restore,
			"":        w.check,
		})
	})
}

func newWriterSim(t *rapid.T) *writerSim {
	cfg := testConfig()
	cfg.Approvers = func(_, _ decl.Set) []model.OrganisationID { return nil }
	w := &writerSim{
		oracle: newOracle(), offset: -1, time: 1_000 * second,
		written: make(map[model.InstanceID][]record.Envelope), appended: make(map[model.InstanceID]int),
		observedTasks: make(map[model.TaskID]state.Task), observedWorkers: make(map[model.WorkerID]state.Worker),
	}
	var err error
	w.machine, err = state.New(cfg)
	assert.NilError(t, err)
	w.reference, err = state.New(cfg)
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

// append applies the envelope at the next offset and compares the results with the oracle's. Unless it is fresh, the
// envelope must be recognised as a duplicate.
func (w *writerSim) append(t *rapid.T, env record.Envelope, fresh bool) {
	w.offset++
	applied := w.machine.Apply(w.offset, env)
	w.reference.Apply(w.offset, env)
	assert.Equal(t, applied.Duplicate, !fresh)
	if !fresh {
		return
	}
	w.observe(applied.Events)
	for i, effective := range w.oracle.apply(w.offset, env) {
		assert.Equal(t, applied.Results[i] == nil, effective, "operation %d, %+v: %v", i, env.Ops[i], applied.Results[i])
	}
}

func (w *writerSim) observe(events []state.Event) {
	for _, event := range events {
		switch event := event.(type) {
		case state.TaskQueued:
			w.observedTasks[event.Task.ID] = event.Task
		case state.TaskBound:
			w.observedTasks[event.Task.ID] = event.Task
		case state.TaskPromoted:
			w.observedTasks[event.Task.ID] = event.Task
		case state.TaskPulled:
			w.observedTasks[event.Task.ID] = event.Task
		case state.TaskStopping:
			w.observedTasks[event.Task.ID] = event.Task
		case state.TaskDone:
			w.observedTasks[event.Task.ID] = event.Task
		case state.WorkerChanged:
			w.observedWorkers[event.Worker.ID] = event.Worker
		}
	}
}

var writerNames = []model.InstanceID{"entry-1", "entry-2", "entry-3"}

// write prepares an envelope from the present state. It is appended later, when the state may have changed.
func (w *writerSim) write(t *rapid.T) { w.prepare(t, w.draw) }

// prepare adds an envelope of one to four draws to a random writer that has no other one in flight.
func (w *writerSim) prepare(t *rapid.T, draw func(*rapid.T) []record.Op) model.InstanceID {
	name := rapid.SampledFrom(writerNames).Draw(t, "writer")
	if len(w.written[name]) > w.appended[name] {
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

// writeAndAppend prepares an envelope and appends it at once.
func (w *writerSim) writeAndAppend(t *rapid.T) { w.appendNext(t, w.prepare(t, w.draw)) }

// take binds tasks in an envelope that is appended at once, so that workers and teams fill up.
func (w *writerSim) take(t *rapid.T) {
	w.appendNext(t, w.prepare(t, func(t *rapid.T) []record.Op {
		return []record.Op{w.drawTaken(t, w.drawAttempt(t, state.PhaseQueued), 0)}
	}))
}

// appendPending appends the envelope that a writer has in flight.
func (w *writerSim) appendPending(t *rapid.T) {
	name := rapid.SampledFrom(writerNames).Draw(t, "writer")
	if len(w.written[name]) == w.appended[name] {
		t.Skip("nothing in flight")
	}
	w.appendNext(t, name)
}

// appendNext appends the writer's next envelope.
func (w *writerSim) appendNext(t *rapid.T, name model.InstanceID) {
	w.appended[name]++
	w.append(t, w.written[name][w.appended[name]-1], true)
}

// appendDuplicate appends an envelope a second time, as a writer does that doesn't know whether its append succeeded.
func (w *writerSim) appendDuplicate(t *rapid.T) {
	name := rapid.SampledFrom(writerNames).Draw(t, "writer")
	if w.appended[name] == 0 {
		t.Skip("nothing to repeat")
	}
	w.append(t, w.written[name][rapid.IntRange(0, w.appended[name]-1).Draw(t, "envelope")], false)
}

// restart gives a writer a new incarnation. An envelope that the old incarnation had in flight may still be appended,
// by appendDuplicate, and must then have no effect.
func (w *writerSim) restart(t *rapid.T) {
	name := rapid.SampledFrom(writerNames).Draw(t, "writer")
	n := len(w.written[name])
	if n == 0 {
		t.Skip("nothing written")
	}
	w.written[name] = append(w.written[name], record.Envelope{
		Writer: name, Incarnation: w.written[name][n-1].Incarnation + 1, Sequence: 1, Time: w.time,
	})
	w.appended[name] = n + 1
	w.append(t, w.written[name][n], true)
}

// restore continues with a machine restored from a snapshot, which must equal the reference machine.
func (w *writerSim) restore(t *rapid.T) {
	snapshot, err := w.machine.Snapshot()
	assert.NilError(t, err)
	original, err := w.reference.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(snapshot, original), "the restored machine differs from the original")
	for _, old := range w.oldSnapshots {
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
	assert.Equal(t, asJSON(events), asJSON(w.machine.StateEvents()))
	w.machine = fresh
	again, err := w.machine.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(snapshot, again), "the snapshot changed by restoring it")
	// The next envelope makes this snapshot an old one.
	w.append(t, record.Envelope{Writer: "operator", Sequence: int64(w.offset) + 2, Time: w.time}, true)
	w.oldSnapshots = append(w.oldSnapshots, snapshot)
}

// check compares the machine, and what its events reported, with the oracle.
func (w *writerSim) check(t *rapid.T) {
	w.machine.CheckInvariants()
	for id, want := range w.oracle.tasks {
		got, _, ok := w.machine.Task(id)
		assert.Assert(t, ok)
		assert.Equal(t, got, w.observedTasks[id], "the events report another state")
		got.QueuedAt, got.BoundAt, got.Lease = 0, 0, 0
		assert.DeepEqual(t, got, want)
	}
	for id, want := range w.oracle.workers {
		got, ok := w.machine.Worker(id)
		assert.Assert(t, ok)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(w.observedWorkers[id]), "the events report another state")
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

func (w *writerSim) checkJobs(t *rapid.T) {
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
