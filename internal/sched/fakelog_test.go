package sched

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
	"arbutuswing.example/internal/stream"
)

var errLogUnavailable = errors.New("log is unavailable or its answer was lost")

// fakeLog is the platform's log; machine is a state machine that is always up to date.
type fakeLog struct {
	t           testing.TB
	clock       clockwork.Clock
	unavailable bool
	records     []record.Envelope
	machine     *state.Machine
	sequence    int64
	base        model.Offset
	jobs        []model.JobSpec
	rejected    int
	bindings    int
}

func newFakeLog(t testing.TB, clock clockwork.Clock) *fakeLog {
	return &fakeLog{t: t, clock: clock, machine: newMachine(t), base: model.NoOffset}
}

// newMachine returns a state machine whose declaration changes each contain the whole set.
func newMachine(t testing.TB) *state.Machine {
	m, err := state.New(state.Config{
		ParsePatch: func(data []byte) (decl.Patch, error) {
			var patch decl.Patch
			return patch, json.Unmarshal(data, &patch)
		},
		ApplyPatch: func(_ decl.Set, patch decl.Patch) (decl.Set, error) { return patch.Put, nil },
		CheckSet:   func(decl.Set) error { return nil },
		Approvers:  func(decl.Set, decl.Set) []model.OrganisationID { return nil },
		Invariants: invar.New(zap.NewNop(), true),
	})
	assert.NilError(t, err)
	return m
}

func (l *fakeLog) append(env record.Envelope) (model.Offset, []error) {
	offset := model.Offset(len(l.records))
	env.Time = l.clock.Now().UnixNano()
	l.records = append(l.records, env)
	results := l.machine.Apply(offset, env).Results
	for i, op := range env.Ops {
		if results[i] != nil {
			l.rejected++
		} else if _, ok := op.(record.Taken); ok {
			l.bindings++
		}
	}
	return offset, results
}

// write appends an operation of the test itself.
func (l *fakeLog) write(op record.Op) model.Offset {
	l.sequence++
	offset, results := l.append(record.Envelope{Writer: "test", Incarnation: 1, Sequence: l.sequence, Ops: []record.Op{op}})
	assert.NilError(l.t, results[0])
	return offset
}

func (l *fakeLog) declare(set decl.Set) {
	contents, err := json.Marshal(decl.Patch{Put: set})
	assert.NilError(l.t, err)
	l.base = l.write(record.Change{ID: strconv.Itoa(len(l.records)), Base: l.base, Contents: contents})
}

func (l *fakeLog) accept(spec model.JobSpec) {
	l.jobs = append(l.jobs, spec)
	l.write(record.JobAccepted{Spec: spec, Submitted: l.clock.Now().UnixNano(), Key: testKey})
}

// cancel cancels the job unless it has ended.
func (l *fakeLog) cancel(id model.JobID) {
	if job, ok := l.machine.Job(id); ok && !job.Finished() && !job.Cancelled {
		l.write(record.JobCancelled{Job: id, Key: testKey})
	}
}

// tasks returns the tasks of all jobs.
func (l *fakeLog) tasks() []state.Task {
	var out []state.Task
	for _, spec := range l.jobs {
		job, _ := l.machine.Job(spec.ID)
		out = append(out, job.Tasks...)
	}
	return out
}

func (l *fakeLog) doneTasks() int {
	return len(slices.DeleteFunc(l.tasks(), func(t state.Task) bool { return t.Phase != state.PhaseDone }))
}

// applyNewRecords applies the records that the node has not applied yet, unless its view is frozen.
func (n *node) applyNewRecords() {
	for n.links.frozenAt.IsZero() && n.appliedRecords < len(n.log.records) {
		offset := model.Offset(n.appliedRecords)
		applied := n.machine.Apply(offset, n.log.records[n.appliedRecords])
		n.appliedRecords++
		n.placer.Apply(stream.Update{Offset: offset, Events: applied.Events})
	}
}

// Submit appends the operations in one envelope. A node whose view is frozen does not learn the results.
func (n *node) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	if n.log.unavailable || n.links.cutOff {
		return nil, errLogUnavailable
	}
	n.sequence++
	_, results := n.log.append(record.Envelope{Writer: n.name, Incarnation: 1, Sequence: n.sequence, Ops: ops})
	n.applyNewRecords()
	if !n.links.frozenAt.IsZero() {
		return nil, errLogUnavailable
	}
	return results, nil
}
