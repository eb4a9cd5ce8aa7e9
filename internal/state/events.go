package state

import (
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

// TaskPhase is the phase of a task's life cycle.
type TaskPhase string

// Phases of a task.
const (
	// PhaseQueued means that the task waits for a worker.
	PhaseQueued TaskPhase = "queued"
	// PhaseBound means that the task is assigned to a worker; only the worker knows whether it runs yet.
	PhaseBound TaskPhase = "bound"
	// PhasePulled means that a team's own runner has taken the task.
	PhasePulled TaskPhase = "pulled"
	// PhaseDone means that the task has ended and will not be tried again.
	PhaseDone TaskPhase = "done"
)

// Task is a copy of a task's state.
type Task struct {
	ID    model.TaskID `json:"id"`
	Phase TaskPhase    `json:"phase"`
	// Attempt is the number of the current attempt, or of the latest one if none is current; zero before the first.
	Attempt int `json:"attempt"`
	// Worker, Boot, Reservation and Behind are set while the task is bound; Reservation also while it is pulled. Behind
	// means that the attempt is in the worker's backlog: it reserves capacity only when attempts before it end.
	Worker      model.WorkerID  `json:"worker,omitempty"`
	Boot        model.BootID    `json:"boot,omitempty"`
	Reservation model.Resources `json:"reservation,omitzero"`
	Behind      bool            `json:"behind,omitempty"`
	// BoundAt is the timestamp of the envelope that bound or handed out the current attempt, by its writer's wall
	// clock, in nanoseconds since 1970.
	BoundAt int64 `json:"bound-at,omitempty"`
	// Lease is how long the team's own runner may keep a pulled task without reporting.
	Lease model.Duration `json:"lease,omitempty"`
	// Outcome is set once the task is done. A done task without an outcome never ran: its job was cancelled or refused.
	Outcome model.Outcome `json:"outcome,omitempty"`
	// Checkpoint is the run time that the latest checkpoint covers.
	Checkpoint model.Duration `json:"checkpoint,omitempty"`
	// Failures is the number of failed attempts.
	Failures int `json:"failures,omitempty"`
	// Stopping is set if the job was cancelled while the task was bound or pulled.
	Stopping bool `json:"stopping,omitempty"`
	// QueuedAt is the timestamp of the envelope that queued the task, by its writer's wall clock, in nanoseconds since
	// 1970.
	QueuedAt int64 `json:"queued-at"`
}

// CurrentAttempt returns the ID of the task's current attempt.
func (t Task) CurrentAttempt() model.AttemptID {
	return model.AttemptID{Task: t.ID, Number: t.Attempt}
}

// NextAttempt returns the ID of the attempt after the current one.
func (t Task) NextAttempt() model.AttemptID {
	return model.AttemptID{Task: t.ID, Number: t.Attempt + 1}
}

// Job is a copy of a job's state.
type Job struct {
	Spec model.JobSpec `json:"spec"`
	// Accepted is the offset of the envelope that accepted the job.
	Accepted  model.Offset `json:"accepted"`
	Submitted int64        `json:"submitted"`
	Cancelled bool         `json:"cancelled,omitempty"`
	// Refused is the reason for which the job can never run, or empty.
	Refused string `json:"refused,omitempty"`
	// Outcome summarises a finished job: never-started if it was refused; otherwise lost or failed if any task was;
	// otherwise stopped if the job was cancelled or a task was stopped; otherwise succeeded.
	Outcome model.Outcome `json:"outcome,omitempty"`
	// Done is the number of done tasks.
	Done int `json:"done"`
	// Tasks is empty for an old finished job, of which only the ID and the outcome are kept.
	Tasks []Task `json:"tasks,omitempty"`
}

// Finished reports whether every task is done.
func (j Job) Finished() bool { return j.Outcome != "" }

// Worker is a copy of a worker's state.
type Worker struct {
	ID         model.WorkerID     `json:"id"`
	Boot       model.BootID       `json:"boot"`
	Capacity   model.Resources    `json:"capacity"`
	DataCentre model.DataCentreID `json:"data-centre"`
	Rack       model.RackID       `json:"rack"`
	// Committed is the sum of the reservations of bound attempts, without those in the backlog (Task.Behind).
	Committed model.Resources `json:"committed"`
	// Suspicion is the offset of the operation that suspected the worker last, or model.NoOffset if it is not
	// suspected.
	Suspicion model.Offset `json:"suspicion"`
	Lost      bool         `json:"lost,omitempty"`
	// Bound lists the tasks bound to the worker, in the order in which they were bound.
	Bound []model.TaskID `json:"bound,omitempty"`
}

// Member is an entry instance that is recorded in the log.
type Member struct {
	Instance     model.InstanceID   `json:"instance"`
	Incarnation  model.Incarnation  `json:"incarnation"`
	DataCentre   model.DataCentreID `json:"data-centre"`
	PeerAddress  string             `json:"peer-address"`
	AdminAddress string             `json:"admin-address"`
	// Joined is the offset of the envelope that recorded the member.
	Joined model.Offset `json:"joined"`
}

// Proposal is a change that waits for approval.
type Proposal struct {
	Change record.Change `json:"change"`
	// Recorded is the offset of the envelope that recorded the proposal.
	Recorded model.Offset `json:"recorded"`
	// Time is the timestamp of that envelope, by its writer's wall clock, in nanoseconds since 1970.
	Time int64 `json:"time"`
	// Needed and Approved list organisations in name order: all whose approval is needed, and those that approved.
	Needed   []model.OrganisationID `json:"needed"`
	Approved []model.OrganisationID `json:"approved,omitempty"`
}

// Usage is what a team's bound and pulled tasks reserve together.
type Usage struct {
	Resources model.Resources `json:"resources"`
	Tasks     int             `json:"tasks"`
}

// Event describes one change that an envelope made to the state. Only this package implements it.
type Event interface{ event() }

// TaskQueued reports a task that waits for a worker, for the first time or again.
type TaskQueued struct {
	Task Task
	Spec model.JobSpec
}

// TaskBound reports a task bound to a worker.
type TaskBound struct {
	Task Task
	Spec model.JobSpec
}

// TaskPromoted reports a task that left its worker's backlog and now has capacity reserved.
type TaskPromoted struct{ Task Task }

// TaskPulled reports a task that was handed to a team's own runner.
type TaskPulled struct{ Task Task }

// TaskStopping reports a bound or pulled task whose job was cancelled.
type TaskStopping struct{ Task Task }

// AttemptEnded reports the end of an attempt. A TaskQueued event follows if the task will be tried again, otherwise a
// TaskDone event.
type AttemptEnded struct {
	Task    Task
	Attempt model.AttemptID
	Worker  model.WorkerID
	Outcome model.Outcome
	Usage   model.Usage
	Spec    model.JobSpec
}

// TaskDone reports a task that will not be tried again, whether or not it ran.
type TaskDone struct{ Task Task }

// WorkerChanged reports a worker's new state.
type WorkerChanged struct{ Worker Worker }

// DeclarationsChanged reports the declarations now in force and the offset of the change.
type DeclarationsChanged struct {
	Offset model.Offset
	Set    decl.Set
}

// MembersChanged reports all recorded members and the offset of the latest change to them.
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
