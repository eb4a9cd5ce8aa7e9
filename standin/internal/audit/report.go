package audit

import (
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// Violation names a rule that a start broke.
type Violation string

// Violations that the audit counts.
const (
	// Overlap is a start of a task that is still running, as the same attempt or as another one.
	Overlap Violation = "overlapping-runs"
	// Overcommitted is a start that raises the reservations on a worker above its capacity.
	Overcommitted Violation = "overcommitted-starts"
	// DataCentreOutOfService is a start in a data centre that is out of service, after the grace period for the change.
	DataCentreOutOfService Violation = "starts-in-data-centre-out"
	// AboveLimit is a start that raises a team's usage above its upper limit.
	AboveLimit Violation = "starts-above-team-limit"
	// RepeatedAttempt is a second start of the same attempt, on any worker.
	RepeatedAttempt Violation = "repeated-attempts"
	// StartAfterSuccess is a start of a task whose success the scheduler has already acknowledged.
	StartAfterSuccess Violation = "starts-after-success"
)

// allViolations lists every violation, so that a report also shows those with a count of zero.
var allViolations = []Violation{Overlap, Overcommitted, DataCentreOutOfService, AboveLimit, RepeatedAttempt, StartAfterSuccess}

// TaskCounts counts one task's runs.
type TaskCounts struct {
	Starts int `json:"starts"`
	// Completions counts successful ends, including those that the scheduler never saw.
	Completions int `json:"completions"`
	// Acknowledged counts the successful ends that the scheduler acknowledged.
	Acknowledged int `json:"acknowledged"`
	Overlaps     int `json:"overlaps,omitempty"`
	// AfterLost counts starts after an attempt with the outcome "lost". The audit doesn't know which tasks may be rerun, so
	// these are not violations by themselves.
	AfterLost int `json:"after-lost,omitempty"`
	Running   int `json:"running,omitempty"`
}

// TeamCounts holds one team's usage now, its peaks and its total of core seconds.
type TeamCounts struct {
	Running     model.Resources `json:"running"`
	Tasks       int             `json:"tasks"`
	Peak        model.Resources `json:"peak"`
	PeakTasks   int             `json:"peak-tasks"`
	CoreSeconds float64         `json:"core-seconds"`
}

// Report holds all counts of the audit.
type Report struct {
	Violations map[Violation]int     `json:"violations"`
	Examples   []string              `json:"examples,omitempty"`
	Starts     int                   `json:"starts"`
	Running    int                   `json:"running"`
	Outcomes   map[model.Outcome]int `json:"outcomes"`
	// DuplicateAcknowledgements counts tasks whose success was acknowledged more than once.
	DuplicateAcknowledgements int `json:"doubled"`
	// DuplicateCompletions counts tasks that succeeded more than once, even if the scheduler never saw the first success.
	DuplicateCompletions int                         `json:"completed-again"`
	Teams                map[model.TeamID]TeamCounts `json:"teams"`
	Tasks                map[model.TaskID]TaskCounts `json:"tasks"`
}

// Report returns a copy of all counts as of now.
func (a *Auditor) Report(now time.Time) Report {
	out := a.report
	out.Violations = maps.Clone(a.report.Violations)
	out.Outcomes = maps.Clone(a.report.Outcomes)
	out.Examples = slices.Clone(a.report.Examples)
	out.Teams = make(map[model.TeamID]TeamCounts, len(a.teams))
	out.Tasks = make(map[model.TaskID]TaskCounts, len(a.tasks))
	for id, team := range a.teams {
		team.add(now, model.Resources{}, 0)
		out.Teams[id] = TeamCounts{
			Running: team.running, Tasks: team.tasks, Peak: team.peak, PeakTasks: team.peakCount, CoreSeconds: team.coreSeconds,
		}
	}
	for id, counts := range a.tasks {
		copied := *counts
		copied.Running = len(a.running[id])
		out.Running += copied.Running
		out.Tasks[id] = copied
		if copied.Acknowledged > 1 {
			out.DuplicateAcknowledgements++
		}
		if copied.Completions > 1 {
			out.DuplicateCompletions++
		}
	}
	return out
}

// teamUsage holds a team's running resources, their peak in each dimension, and the integral of its cores over time.
type teamUsage struct {
	running     model.Resources
	tasks       int
	peak        model.Resources
	peakCount   int
	coreSeconds float64
	updatedAt   time.Time
}

func (t *teamUsage) add(now time.Time, change model.Resources, tasks int) {
	if !t.updatedAt.IsZero() {
		t.coreSeconds += float64(t.running.Cores) / 1000 * now.Sub(t.updatedAt).Seconds()
	}
	t.updatedAt = now
	t.running = t.running.Plus(change)
	t.tasks += tasks
	t.peakCount = max(t.peakCount, t.tasks)
	t.peak = model.Resources{
		Cores:        max(t.peak.Cores, t.running.Cores),
		Memory:       max(t.peak.Memory, t.running.Memory),
		Accelerators: max(t.peak.Accelerators, t.running.Accelerators),
	}
}
