package model

// JobKind determines how the tasks of a job are started and ended.
type JobKind string

// Job kinds.
const (
	// KindBatch runs each task independently of the others, to completion.
	KindBatch JobKind = "batch"
	// KindGang starts all tasks together or none.
	KindGang JobKind = "all-at-once"
	// KindService keeps the tasks running until the job is cancelled.
	KindService JobKind = "service"
)

// JobSpec is a job as its submitter declares it; sizes and run times are estimates.
type JobSpec struct {
	ID    JobID     `json:"id"`
	Team  TeamID    `json:"team"`
	Class ClassID   `json:"class"`
	Kind  JobKind   `json:"kind"`
	Tasks int       `json:"tasks"`
	Size  Resources `json:"size"`
	// RunTime is the declared run time of one task; zero for services.
	RunTime Duration `json:"run-time,omitempty"`
	// Rerun allows another attempt after an attempt whose outcome is unknown.
	Rerun bool `json:"rerun"`
	// DataCentres lists the data centres in which the job may run; empty allows all.
	DataCentres []DataCentreID `json:"data-centres,omitempty"`
	// Profile groups jobs of similar sizes and run times, from whose usage estimates are made; empty means the class.
	Profile string `json:"profile,omitempty"`
	// Payload is passed to the worker as it is.
	Payload string `json:"payload,omitempty"`
}

// WithTeam returns a copy of the specification that is owned by team.
func (j JobSpec) WithTeam(team TeamID) JobSpec {
	j.Team = team
	return j
}

// Outcome is the way in which an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	// OutcomeSucceeded means the task is done.
	OutcomeSucceeded Outcome = "succeeded"
	// OutcomeFailed means the task itself failed; it is retried a limited number of times.
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped means the task was stopped because its job was cancelled.
	OutcomeStopped Outcome = "stopped"
	// OutcomePreempted means the task was stopped in favour of other work; it is queued again.
	OutcomePreempted Outcome = "preempted"
	// OutcomeNeverStarted means it is certain that the worker never started the attempt.
	OutcomeNeverStarted Outcome = "never-started"
	// OutcomeLost means the worker is gone; it is unknown whether the attempt finished.
	OutcomeLost Outcome = "lost"
)

// Usage is what an attempt used.
type Usage struct {
	Peak    Resources `json:"peak"`
	RunTime Duration  `json:"run-time"`
}
