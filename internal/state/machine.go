package state

import (
	"errors"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// Reasons for which an operation is void.
var (
	ErrConflict       = errors.New("another change came first")
	ErrInvalid        = errors.New("the declarations fail their checks")
	ErrUnknown        = errors.New("no such object")
	ErrKeyNotGranted  = errors.New("the key is not granted to the team")
	ErrDuplicate      = errors.New("already recorded")
	ErrNotQueued      = errors.New("the task is not queued or the attempt is not its next one")
	ErrNoRoom         = errors.New("the worker has no room")
	ErrWorkerUnusable = errors.New("the worker is suspected, lost or has another boot")
	ErrOverLimit      = errors.New("the team's upper limit is reached")
	ErrOutOfService   = errors.New("the data centre is out of service")
	ErrGangIncomplete = errors.New("an all-at-once job must be taken whole")
	ErrNotCurrent     = errors.New("the attempt is not current")
	ErrNeedsApproval  = errors.New("the change touches terms that need an organisation's approval")
)

// Applied is the result of folding one envelope.
type Applied struct {
	// Duplicate is set when the envelope repeats an earlier one; nothing was changed.
	Duplicate bool
	// Results holds one entry per operation: nil, or the reason for which it is void.
	Results []error
	Events  []Event
}

// Machine is the state machine; all methods are safe for concurrent use.
type Machine struct{}

// Apply folds the envelope at offset; offsets must rise.
func (m *Machine) Apply(offset model.Offset, env record.Envelope) Applied {
	panic("not written yet")
}

// Offset returns the offset of the last envelope folded, or model.NoOffset.
func (m *Machine) Offset() model.Offset { return model.NoOffset }

// Snapshot encodes the whole state; equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) { return nil, nil }

// Restore replaces the state by a snapshot of a higher offset and returns events that describe all of it.
func (m *Machine) Restore(snapshot []byte) ([]Event, error) { return nil, nil }

// Declarations returns the declarations in force and the offset of the change that made them so.
func (m *Machine) Declarations() (decl.Set, model.Offset) { return decl.Set{}, model.NoOffset }

// Members returns the recorded members and the offset of the last change to them.
func (m *Machine) Members() ([]Member, model.Offset) { return nil, model.NoOffset }

// Job returns a job.
func (m *Machine) Job(id model.JobID) (Job, bool) { return Job{}, false }

// Task returns a task.
func (m *Machine) Task(id model.TaskID) (Task, model.JobSpec, bool) {
	return Task{}, model.JobSpec{}, false
}

// Worker returns a worker.
func (m *Machine) Worker(id model.WorkerID) (Worker, bool) { return Worker{}, false }

// Workers returns the workers of a data centre, or all for an empty name.
func (m *Machine) Workers(dc model.DataCentreID) []Worker { return nil }

// Usage returns what each team has bound or pulled.
func (m *Machine) Usage() map[model.TeamID]Usage { return nil }

// Describe returns events that describe the whole state, as Restore does.
func (m *Machine) Describe() []Event { return nil }
