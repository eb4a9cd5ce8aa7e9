package work

import (
	"encoding/json"
	"errors"
	"fmt"

	"arbutuswing.example/internal/model"
)

// State is the state of a job as reported to its submitter.
type State string

// States of jobs.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// Binding is a run of a task that may exist on a worker.
type Binding struct {
	Run    int            `json:"run"`
	Worker model.WorkerID `json:"worker"`
	// Incarnation identifies the worker's process: its start in milliseconds since 1970 by the worker's clock.
	Incarnation int64 `json:"born"`
}

// TaskProgress is the recorded progress of a task; tasks without progress are omitted.
type TaskProgress struct {
	Occurrence int  `json:"occurrence,omitempty"`
	Stage      int  `json:"stage,omitempty"`
	Index      int  `json:"index,omitempty"`
	Done       bool `json:"done,omitempty"`
	// LastRun is the highest run number used so far.
	LastRun int `json:"last-run,omitempty"`
	// FailedRuns lists the runs that failed, so that a failure that is reported again to a later owner counts only once.
	FailedRuns []int     `json:"failed-runs,omitempty"`
	Bindings   []Binding `json:"bindings,omitempty"`
	// Checkpoint is the latest checkpoint, as reported by the worker.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Progress is the complete recorded progress of a job; each record replaces the previous one.
type Progress struct {
	// Final is the final state, or empty while the job has none.
	Final State `json:"final,omitempty"`
	// Begun tells whether a task of the job has been started.
	Begun bool           `json:"begun,omitempty"`
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// Encode returns the stored form of the progress.
func (p Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// ErrInvalidProgress reports recorded progress that can't be understood.
var ErrInvalidProgress = errors.New("bad progress")

// DecodeProgress parses the stored form of a job's progress. It returns ErrInvalidProgress for progress that is malformed or
// names an impossible task, run or state.
func DecodeProgress(data []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return Progress{}, fmt.Errorf("%w: %w", ErrInvalidProgress, err)
	}
	if p.Final != "" && !p.Final.Final() {
		return Progress{}, fmt.Errorf("%w: final state %.100q", ErrInvalidProgress, p.Final)
	}
	for _, t := range p.Tasks {
		valid := t.Occurrence >= 0 && t.Stage >= 0 && t.Index >= 0 && t.LastRun >= 0
		for _, b := range t.Bindings {
			valid = valid && b.Run > 0 && b.Run <= t.LastRun && b.Worker != ""
		}
		if !valid {
			return Progress{}, fmt.Errorf("%w: task %d/%d/%d", ErrInvalidProgress, t.Occurrence, t.Stage, t.Index)
		}
	}
	return p, nil
}

// Encode returns the stored form of the job.
func (j Job) Encode() ([]byte, error) { return json.Marshal(j) }

// DecodeJob parses the stored form of a job. It returns ErrInvalidJob for a job that is malformed or not valid.
func DecodeJob(data []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(data, &j); err != nil {
		return Job{}, fmt.Errorf("%w: %w", ErrInvalidJob, err)
	}
	return j, j.Validate()
}
