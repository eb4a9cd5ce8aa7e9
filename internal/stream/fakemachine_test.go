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

// fakeMachine is a state machine that collects the job IDs of cancellations; it rejects the one of job "void".
type fakeMachine struct {
	mu     sync.Mutex
	Seen   model.Offset                           `json:"seen"`
	Last   map[model.InstanceID]map[string]int64  `json:"last"`
	Starts map[model.InstanceID]model.Incarnation `json:"starts"`
	Names  []model.JobID                          `json:"names"`
}

var errRejected = errors.New("operation rejected")

func newFakeMachine() *fakeMachine {
	return &fakeMachine{
		Seen: model.NoOffset, Last: make(map[model.InstanceID]map[string]int64),
		Starts: make(map[model.InstanceID]model.Incarnation),
	}
}

func (m *fakeMachine) Apply(offset model.Offset, env record.Envelope) state.ApplyResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if offset != m.Seen+1 {
		panic(fmt.Sprintf("offset %d applied after %d", offset, m.Seen))
	}
	m.Seen = offset
	if m.Last[env.Writer] == nil {
		m.Last[env.Writer] = make(map[string]int64)
	}
	key := fmt.Sprint(env.Incarnation)
	if env.Incarnation < m.Starts[env.Writer] || env.Sequence <= m.Last[env.Writer][key] {
		return state.ApplyResult{Duplicate: true}
	}
	m.Starts[env.Writer] = env.Incarnation
	m.Last[env.Writer][key] = env.Sequence
	applied := state.ApplyResult{Results: make([]error, len(env.Ops))}
	for i, op := range env.Ops {
		cancelled, ok := op.(record.JobCancelled)
		if ok && cancelled.Job == "void" {
			applied.Results[i] = errRejected
		} else if ok {
			m.Names = append(m.Names, cancelled.Job)
			applied.Events = append(applied.Events, state.TaskDone{Task: state.Task{ID: model.TaskID{Job: cancelled.Job}}})
		}
	}
	return applied
}

func (m *fakeMachine) Offset() model.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Seen
}

func (m *fakeMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m)
}

func (m *fakeMachine) Restore(snapshot []byte) ([]state.Event, error) {
	next := newFakeMachine()
	if err := json.Unmarshal(snapshot, next); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.Seen <= m.Seen {
		return nil, fmt.Errorf("restoring offset %d over %d", next.Seen, m.Seen)
	}
	m.Seen, m.Last, m.Starts, m.Names = next.Seen, next.Last, next.Starts, next.Names
	return nil, nil
}

func (m *fakeMachine) StateEvents() []state.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]state.Event, 0, len(m.Names))
	for _, name := range m.Names {
		out = append(out, state.TaskDone{Task: state.Task{ID: model.TaskID{Job: name}}})
	}
	return out
}

func (m *fakeMachine) names() []model.JobID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]model.JobID(nil), m.Names...)
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
