package model

// JobKind tells how the tasks of a job belong together.
type JobKind string

// Job kinds.
const (
	// KindBatch runs each task on its own, once.
	KindBatch JobKind = "batch"
	// KindGang starts every task together or none.
	KindGang JobKind = "all-at-once"
	// KindService keeps its tasks running until the job is cancelled.
	KindService JobKind = "service"
)

// JobSpec is what a submitter declares about a job; sizes and run times are estimates.
type JobSpec struct {
	ID    JobID     `json:"id"`
	Team  TeamID    `json:"team"`
	Class ClassID   `json:"class"`
	Kind  JobKind   `json:"kind"`
	Tasks int       `json:"tasks"`
	Size  Resources `json:"size"`
	// RunTime is the declared run time of one task; zero for services.
	RunTime Duration `json:"run-time,omitempty"`
	// Rerun allows another attempt after one whose outcome is unknown.
	Rerun bool `json:"rerun"`
	// DataCentres restricts placement; empty allows every data centre.
	DataCentres []DataCentreID `json:"data-centres,omitempty"`
	// Profile groups jobs whose sizes and run times are alike, for learning; empty means the class.
	Profile string `json:"profile,omitempty"`
	// Payload is handed to the worker unread.
	Payload string `json:"payload,omitempty"`
}

// WithTeam returns the specification owned by team.
func (j JobSpec) WithTeam(team TeamID) JobSpec {
	j.Team = team
	return j
}

// Outcome tells how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	// OutcomeSucceeded ends the task.
	OutcomeSucceeded Outcome = "succeeded"
	// OutcomeFailed means the task itself failed; it is tried again a limited number of times.
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped means the task was stopped because its job was cancelled.
	OutcomeStopped Outcome = "stopped"
	// OutcomePreempted means the task gave way to other work; it is queued again.
	OutcomePreempted Outcome = "preempted"
	// OutcomeNeverStarted means the worker gave proof that the attempt never started.
	OutcomeNeverStarted Outcome = "never-started"
	// OutcomeLost means the worker is gone; whether the attempt had finished is unknown.
	OutcomeLost Outcome = "lost"
)

// Usage is what an attempt really used.
type Usage struct {
	Peak    Resources `json:"peak"`
	RunTime Duration  `json:"run-time"`
}
