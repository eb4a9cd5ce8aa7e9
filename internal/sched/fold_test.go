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

var errLogOut = errors.New("log is out or its answer was lost")

// journal is the platform's log; fold is an instance of the fold that is always up to date.
type journal struct {
	t        testing.TB
	clock    clockwork.Clock
	out      bool
	records  []record.Envelope
	fold     *state.Machine
	sequence int64
	base     model.Offset
	jobs     []model.JobSpec
	voids    int
	taken    int
}

func newJournal(t testing.TB, clock clockwork.Clock) *journal {
	return &journal{t: t, clock: clock, fold: newMachine(t), base: model.NoOffset}
}

// newMachine returns a fold whose changes state the whole set of declarations.
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

func (j *journal) append(env record.Envelope) (model.Offset, []error) {
	offset := model.Offset(len(j.records))
	env.Time = j.clock.Now().UnixNano()
	j.records = append(j.records, env)
	results := j.fold.Apply(offset, env).Results
	for i, op := range env.Ops {
		if results[i] != nil {
			j.voids++
		} else if _, ok := op.(record.Taken); ok {
			j.taken++
		}
	}
	return offset, results
}

// write records an operation of the test's own.
func (j *journal) write(op record.Op) model.Offset {
	j.sequence++
	offset, results := j.append(record.Envelope{Writer: "test", Incarnation: 1, Sequence: j.sequence, Ops: []record.Op{op}})
	assert.NilError(j.t, results[0])
	return offset
}

func (j *journal) declare(set decl.Set) {
	contents, err := json.Marshal(decl.Patch{Put: set})
	assert.NilError(j.t, err)
	j.base = j.write(record.Change{ID: strconv.Itoa(len(j.records)), Base: j.base, Contents: contents})
}

func (j *journal) accept(spec model.JobSpec) {
	j.jobs = append(j.jobs, spec)
	j.write(record.JobAccepted{Spec: spec, Submitted: j.clock.Now().UnixNano(), Key: testKey})
}

// cancel cancels the job unless it ended already.
func (j *journal) cancel(id model.JobID) {
	if job, ok := j.fold.Job(id); ok && !job.Finished() && !job.Cancelled {
		j.write(record.JobCancelled{Job: id, Key: testKey})
	}
}

// tasks lists all tasks of all jobs.
func (j *journal) tasks() []state.Task {
	var out []state.Task
	for _, spec := range j.jobs {
		job, _ := j.fold.Job(spec.ID)
		out = append(out, job.Tasks...)
	}
	return out
}

func (j *journal) done() int {
	return len(slices.DeleteFunc(j.tasks(), func(t state.Task) bool { return t.Phase != state.PhaseDone }))
}

// pump folds the records that the node hasn't read, unless its view is frozen.
func (n *node) pump() {
	for n.links.frozen.IsZero() && n.read < len(n.log.records) {
		offset := model.Offset(n.read)
		applied := n.fold.Apply(offset, n.log.records[n.read])
		n.read++
		n.placer.Apply(stream.Update{Offset: offset, Events: applied.Events})
	}
}

// Submit records the operations in one envelope. A node whose view is frozen doesn't learn what came of them.
func (n *node) Submit(_ context.Context, ops ...record.Op) ([]error, error) {
	if n.log.out || n.links.cut {
		return nil, errLogOut
	}
	n.sequence++
	_, results := n.log.append(record.Envelope{Writer: n.name, Incarnation: 1, Sequence: n.sequence, Ops: ops})
	n.pump()
	if !n.links.frozen.IsZero() {
		return nil, errLogOut
	}
	return results, nil
}
