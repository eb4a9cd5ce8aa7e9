package work

import (
	"encoding/json"
	"fmt"

	"arbutuswing.example/internal/model"
)

// State is what a submitter is told about a job.
type State string

// States of jobs.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// Binding is a run of a task that may be present on a worker.
type Binding struct {
	Run    int            `json:"run"`
	Worker model.WorkerID `json:"worker"`
	// Incarnation identifies the worker's life: its start in milliseconds since 1970, by the worker's clock.
	Incarnation int64 `json:"born"`
}

// TaskProgress is the recorded progress of one task; a task without any is left out.
type TaskProgress struct {
	Occurrence int  `json:"occurrence,omitempty"`
	Stage      int  `json:"stage,omitempty"`
	Index      int  `json:"index,omitempty"`
	Done       bool `json:"done,omitempty"`
	// LastRun is the highest run number used so far.
	LastRun int `json:"last-run,omitempty"`
	// FailedRuns names the runs that failed; an end may be reported again to a later owner and must count once.
	FailedRuns []int     `json:"failed-runs,omitempty"`
	Bindings   []Binding `json:"bindings,omitempty"`
	// Checkpoint is the newest saved progress, as the worker gave it.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Progress is the whole recorded progress of a job; each record replaces the one before it.
type Progress struct {
	// Final is the final state, or empty.
	Final State `json:"final,omitempty"`
	// Begun tells that a task of the job has been started.
	Begun bool           `json:"begun,omitempty"`
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// Encode returns the record of the progress.
func (p Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// DecodeProgress reads a record of progress.
func DecodeProgress(data []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return Progress{}, fmt.Errorf("decoding progress: %w", err)
	}
	return p, nil
}

// Encode returns the record of the job.
func (j Job) Encode() ([]byte, error) { return json.Marshal(j) }

// DecodeJob reads a record of a job.
func DecodeJob(data []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(data, &j); err != nil {
		return Job{}, fmt.Errorf("decoding job: %w", err)
	}
	return j, nil
}
