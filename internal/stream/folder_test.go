package stream

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/invar"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// fakeFolder folds job cancellations as plain names.
type fakeFolder struct {
	mu     sync.Mutex
	Seen   model.Offset                           `json:"seen"`
	Last   map[model.InstanceID]map[string]int64  `json:"last"`
	Starts map[model.InstanceID]model.Incarnation `json:"starts"`
	Names  []model.JobID                          `json:"names"`
}

var errVoid = errors.New("void")

func newFakeFolder() *fakeFolder {
	return &fakeFolder{
		Seen: model.NoOffset, Last: make(map[model.InstanceID]map[string]int64),
		Starts: make(map[model.InstanceID]model.Incarnation),
	}
}

func (f *fakeFolder) Apply(offset model.Offset, env record.Envelope) state.ApplyResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset != f.Seen+1 {
		panic(fmt.Sprintf("offset %d folded after %d", offset, f.Seen))
	}
	f.Seen = offset
	if f.Last[env.Writer] == nil {
		f.Last[env.Writer] = make(map[string]int64)
	}
	key := fmt.Sprint(env.Incarnation)
	if env.Incarnation < f.Starts[env.Writer] || env.Sequence <= f.Last[env.Writer][key] {
		return state.ApplyResult{Duplicate: true}
	}
	f.Starts[env.Writer] = env.Incarnation
	f.Last[env.Writer][key] = env.Sequence
	applied := state.ApplyResult{Results: make([]error, len(env.Ops))}
	for i, op := range env.Ops {
		cancelled, ok := op.(record.JobCancelled)
		if ok && cancelled.Job == "void" {
			applied.Results[i] = errVoid
		} else if ok {
			f.Names = append(f.Names, cancelled.Job)
			applied.Events = append(applied.Events, state.TaskDone{Task: state.Task{ID: model.TaskID{Job: cancelled.Job}}})
		}
	}
	return applied
}

func (f *fakeFolder) Offset() model.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Seen
}

func (f *fakeFolder) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f)
}

func (f *fakeFolder) Restore(snapshot []byte) ([]state.Event, error) {
	next := newFakeFolder()
	if err := json.Unmarshal(snapshot, next); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Seen <= f.Seen {
		return nil, fmt.Errorf("restoring offset %d over %d", next.Seen, f.Seen)
	}
	f.Seen, f.Last, f.Starts, f.Names = next.Seen, next.Last, next.Starts, next.Names
	return nil, nil
}

func (f *fakeFolder) Describe() []state.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]state.Event, 0, len(f.Names))
	for _, name := range f.Names {
		out = append(out, state.TaskDone{Task: state.Task{ID: model.TaskID{Job: name}}})
	}
	return out
}

func (f *fakeFolder) names() []model.JobID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]model.JobID(nil), f.Names...)
}

func newMachine(t *testing.T) *state.Machine {
	t.Helper()
	machine, err := state.New(state.Config{
		ParsePatch: func([]byte) (decl.Patch, error) { return decl.Patch{}, nil },
		ApplyPatch: func(set decl.Set, _ decl.Patch) (decl.Set, error) { return set, nil },
		CheckSet:   func(decl.Set) error { return nil },
		Approvers:  func(_, _ decl.Set) []model.OrganisationID { return nil },
		Invariants: invar.New(zap.NewNop(), true),
	})
	assert.NilError(t, err)
	return machine
}
