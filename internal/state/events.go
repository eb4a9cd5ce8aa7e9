package state

import (
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// TaskPhase is where a task stands.
type TaskPhase string

// Phases of tasks.
const (
	// PhaseQueued waits for a worker.
	PhaseQueued TaskPhase = "queued"
	// PhaseBound is bound to a worker; the worker knows whether it runs.
	PhaseBound TaskPhase = "bound"
	// PhasePulled is with a team's own runner.
	PhasePulled TaskPhase = "pulled"
	// PhaseDone ended for good.
	PhaseDone TaskPhase = "done"
)

// Task is a copy of a task's state.
type Task struct {
	ID    model.TaskID `json:"id"`
	Phase TaskPhase    `json:"phase"`
	// Attempt is the number of the current attempt, or of the last one; zero before the first.
	Attempt int `json:"attempt"`
	// Worker, Boot, Reservation and Behind are set while the task is bound; Reservation also while it is pulled.
	Worker      model.WorkerID  `json:"worker,omitempty"`
	Boot        model.BootID    `json:"boot,omitempty"`
	Reservation model.Resources `json:"reservation,omitzero"`
	Behind      bool            `json:"behind,omitempty"`
	// BoundAt is the writer's wall clock of the envelope that bound or handed out the current attempt, in nanoseconds
	// since 1970.
	BoundAt int64 `json:"bound-at,omitempty"`
	// Lease is how long the team's own runner may keep a pulled task without reporting.
	Lease model.Duration `json:"lease,omitempty"`
	// Outcome is set once the task is done; empty with PhaseDone means cancelled before it ran.
	Outcome model.Outcome `json:"outcome,omitempty"`
	// Checkpoint is the run time that the last checkpoint covers.
	Checkpoint model.Duration `json:"checkpoint,omitempty"`
	// Failures counts failed attempts.
	Failures int `json:"failures,omitempty"`
	// Stopping is set when the job was cancelled while the task was bound.
	Stopping bool `json:"stopping,omitempty"`
	// QueuedAt is the writer's wall clock of the envelope that queued the task, in nanoseconds since 1970.
	QueuedAt int64 `json:"queued-at"`
}

// CurrentAttempt returns the identifier of the task's current attempt.
func (t Task) CurrentAttempt() model.AttemptID {
	return model.AttemptID{Task: t.ID, Number: t.Attempt}
}

// NextAttempt returns the identifier of the attempt that follows.
func (t Task) NextAttempt() model.AttemptID {
	return model.AttemptID{Task: t.ID, Number: t.Attempt + 1}
}

// Job is a copy of a job's state.
type Job struct {
	Spec model.JobSpec `json:"spec"`
	// Accepted is the offset of the job's record.
	Accepted  model.Offset `json:"accepted"`
	Submitted int64        `json:"submitted"`
	Cancelled bool         `json:"cancelled,omitempty"`
	// Refused is the reason for which the job can never run, or empty.
	Refused string `json:"refused,omitempty"`
	// Outcome summarises a finished job: lost or failed if any task was, stopped if it was cancelled, never-started if
	// it was refused, else succeeded.
	Outcome model.Outcome `json:"outcome,omitempty"`
	// Done counts tasks that ended for good.
	Done int `json:"done"`
	// Tasks is empty for a finished job of which only the outcome is still kept.
	Tasks []Task `json:"tasks,omitempty"`
}

// Finished reports whether every task ended for good.
func (j Job) Finished() bool { return j.Outcome != "" }

// Worker is a copy of a worker's state.
type Worker struct {
	ID         model.WorkerID     `json:"id"`
	Boot       model.BootID       `json:"boot"`
	Capacity   model.Resources    `json:"capacity"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Rack       model.RackID       `json:"rack"`
	// Committed is the sum of the reservations of bound attempts that are not behind.
	Committed model.Resources `json:"committed"`
	// Suspicion is the offset of the latest suspicion, or model.NoOffset.
	Suspicion model.Offset `json:"suspicion"`
	Lost      bool         `json:"lost,omitempty"`
	// Bound lists the tasks bound to the worker in bound order.
	Bound []model.TaskID `json:"bound,omitempty"`
}

// Member is an entry instance recorded in the log.
type Member struct {
	Instance     model.InstanceID   `json:"instance"`
	Incarnation  model.Incarnation  `json:"incarnation"`
	DataCentre   model.DataCentreID `json:"data-centre"`
	PeerAddress  string             `json:"peer-address"`
	AdminAddress string             `json:"admin-address"`
	// Joined is the offset of the member's record.
	Joined model.Offset `json:"joined"`
}

// Proposal is a change that waits for approval.
type Proposal struct {
	Change record.Change `json:"change"`
	// Recorded is the offset of the proposal's record.
	Recorded model.Offset `json:"recorded"`
	// Time is the writer's wall clock of that record, in nanoseconds since 1970.
	Time int64 `json:"time"`
	// Needed and Approved list organisations in name order.
	Needed   []model.OrganisationID `json:"needed"`
	Approved []model.OrganisationID `json:"approved,omitempty"`
}

// Usage is what a team has bound or pulled.
type Usage struct {
	Resources model.Resources `json:"resources"`
	Tasks     int             `json:"tasks"`
}

// Event tells observers what an envelope changed; the set of implementations is closed.
type Event interface{ event() }

// TaskQueued reports a task that waits for a worker, new or again.
type TaskQueued struct {
	Task Task
	Spec model.JobSpec
}

// TaskBound reports a task bound to a worker.
type TaskBound struct {
	Task Task
	Spec model.JobSpec
}

// TaskPromoted reports a task that no longer waits behind others on its worker.
type TaskPromoted struct{ Task Task }

// TaskPulled reports a task handed to a team's own runner.
type TaskPulled struct{ Task Task }

// TaskStopping reports a bound task whose job was cancelled.
type TaskStopping struct{ Task Task }

// AttemptEnded reports the end of an attempt; a TaskQueued event follows if the task is tried again.
type AttemptEnded struct {
	Task    Task
	Attempt model.AttemptID
	Worker  model.WorkerID
	Outcome model.Outcome
	Usage   model.Usage
	Spec    model.JobSpec
}

// TaskDone reports a task that ended for good, run or not.
type TaskDone struct{ Task Task }

// WorkerChanged reports a worker's new state.
type WorkerChanged struct{ Worker Worker }

// DeclarationsChanged reports the declarations now in force.
type DeclarationsChanged struct {
	Offset model.Offset
	Set    decl.Set
}

// MembersChanged reports the members now recorded.
type MembersChanged struct {
	Offset  model.Offset
	Members []Member
}

func (TaskQueued) event()          {}
func (TaskBound) event()           {}
func (TaskPromoted) event()        {}
func (TaskPulled) event()          {}
func (TaskStopping) event()        {}
func (AttemptEnded) event()        {}
func (TaskDone) event()            {}
func (WorkerChanged) event()       {}
func (DeclarationsChanged) event() {}
func (MembersChanged) event()      {}
