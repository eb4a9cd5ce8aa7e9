package work

import (
	"errors"
	"fmt"
	"time"

	"arbutuswing.example/internal/model"
)

// ErrInvalidJob reports a job that is not well-formed.
var ErrInvalidJob = errors.New("bad job")

const (
	maxStages = 64
	// maxTasks bounds the tasks of a stage, and maxJobTasks those of all stages and occurrences of a job, which an owner
	// keeps in memory together with the occurrences.
	maxTasks       = 10_000
	maxJobTasks    = 100_000
	maxOccurrences = 10_000
	// maxSpan bounds the time from the first to the last occurrence, and maxRunTime a stage's estimate, so that sums of
	// them fit into their type.
	maxSpan    = 100 * 365 * 24 * time.Hour
	maxRunTime = 365 * 24 * time.Hour
	// maxAmount bounds each dimension of a task's size.
	maxAmount = 1 << 40
)

// Stage is a set of identical tasks of a job; sizes and run times are the submitter's estimates.
type Stage struct {
	Count int             `json:"count"`
	Size  model.Resources `json:"size"`
	// RunTime is a rough estimate of one task's run time.
	RunTime model.Duration `json:"run-time,omitempty"`
	// After lists the earlier stages whose tasks must all have succeeded before this stage starts.
	After []int `json:"after,omitempty"`
	// Gang runs the tasks all at once or not at all.
	Gang bool `json:"gang,omitempty"`
	// OneRack asks for workers in the same rack, where the tasks of a gang run faster.
	OneRack bool `json:"one-rack,omitempty"`
	// Label is a label that workers must have to run the tasks; empty allows every worker.
	Label string `json:"label,omitempty"`
	// NearRack names the rack that holds the input data.
	NearRack string `json:"near-rack,omitempty"`
	// MaxPerWorker bounds how many tasks of the stage run on one worker; zero means no bound.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Speculative allows several runs of a task at the same time; the first success counts.
	Speculative bool `json:"speculative,omitempty"`
	// Service keeps the tasks running until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// Checkpoints tells whether the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Scavenger runs the tasks on resources that other tasks leave unused; their size doesn't count against a worker's
	// capacity.
	Scavenger bool `json:"scavenger,omitempty"`
	// Image names the program of the tasks.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the objective for the tail latency of a service's tasks.
	LatencyTarget model.Duration `json:"latency-target,omitempty"`
	// MaxUnavailable bounds how many tasks of a service may be unavailable because of the scheduler's own actions.
	MaxUnavailable int `json:"max-unavailable,omitempty"`
}

// Job is a submitted job. Its identifier is never used for another job.
type Job struct {
	ID     model.JobID  `json:"id"`
	Queue  string       `json:"queue"`
	Team   model.TeamID `json:"team"`
	Stages []Stage      `json:"stages"`
	// Payload is passed to the workers unchanged; the scheduler doesn't interpret it.
	Payload string `json:"payload,omitempty"`
	// Accepted is the accepting instance's wall-clock time. It only serves to estimate the job's age, and with it the objective
	// by which jobs are ordered, after a change of owner.
	Accepted time.Time `json:"accepted,omitzero"`
	// Occurrences is how often the stages run: first at Start, then each Interval after it. Zero means once and
	// immediately.
	Occurrences int            `json:"occurrences,omitempty"`
	Start       time.Time      `json:"start,omitzero"`
	Interval    model.Duration `json:"interval,omitempty"`
	// QueueTerms is nil for a job that an earlier version accepted.
	QueueTerms *QueueTerms `json:"queue-terms,omitempty"`
}

// OccurrenceCount returns how often the stages run, at least 1.
func (j Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// OccurrenceStart returns the earliest start of occurrence k, which counts from 0; the zero time means immediately.
func (j Job) OccurrenceStart(k int) time.Time {
	if j.Occurrences == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(k) * j.Interval.Std())
}

// Validate returns ErrInvalidJob for a job without tasks, with negative values, with a stage that waits for itself or for
// a later stage, or with more stages or tasks, larger sizes or longer times than allowed.
func (j Job) Validate() error {
	if len(j.Stages) == 0 || len(j.Stages) > maxStages {
		return fmt.Errorf("%w: %d stages: must be 1 to %d", ErrInvalidJob, len(j.Stages), maxStages)
	}
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences || j.Interval < 0 {
		return fmt.Errorf("%w: %d occurrences every %v: must be at most %d, and not negative", ErrInvalidJob, j.Occurrences,
			j.Interval.Std(), maxOccurrences)
	}
	if float64(j.Occurrences)*float64(j.Interval) > float64(maxSpan) {
		return fmt.Errorf("%w: %d occurrences every %v last too long", ErrInvalidJob, j.Occurrences, j.Interval.Std())
	}
	if j.QueueTerms != nil {
		if err := j.QueueTerms.validate(); err != nil {
			return err
		}
	}
	tasks := 0
	for i, stage := range j.Stages {
		if err := stage.validate(i); err != nil {
			return err
		}
		tasks += stage.Count
	}
	if j.OccurrenceCount() > maxJobTasks/tasks {
		return fmt.Errorf("%w: %d occurrences of %d tasks: at most %d tasks in all", ErrInvalidJob, j.OccurrenceCount(), tasks,
			maxJobTasks)
	}
	return nil
}

func (s Stage) validate(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("%w: stage %d has %d tasks: must be 1 to %d", ErrInvalidJob, index, s.Count, maxTasks)
	}
	if s.Size.Negative() || s.RunTime < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.LatencyTarget < 0 {
		return fmt.Errorf("%w: stage %d has a negative figure", ErrInvalidJob, index)
	}
	if s.Size.Cores > maxAmount || s.Size.Memory > maxAmount || s.Size.Accelerators > maxAmount || s.RunTime.Std() > maxRunTime {
		return fmt.Errorf("%w: stage %d has a size or run time beyond any machine", ErrInvalidJob, index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("%w: stage %d waits for stage %d, which is not an earlier one", ErrInvalidJob, index, earlier)
		}
	}
	return nil
}

// CriticalPathTime returns the estimated run time of the longest chain of dependent stages; extra is added to the run
// time of each stage.
func (j Job) CriticalPathTime(extra time.Duration) time.Duration {
	ends, longest := make([]time.Duration, len(j.Stages)), time.Duration(0)
	for i, stage := range j.Stages {
		begin := time.Duration(0)
		for _, earlier := range stage.After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + stage.RunTime.Std() + extra
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskRef identifies a task of one occurrence of a stage.
type TaskRef struct {
	Job        model.JobID
	Occurrence int
	Stage      int
	Index      int
}

// String formats the reference as job/occurrence/stage/index.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Stage, t.Index)
}

// StageRef identifies one occurrence of a stage.
type StageRef struct {
	Job        model.JobID `json:"job"`
	Occurrence int         `json:"occurrence"`
	Stage      int         `json:"stage"`
}
