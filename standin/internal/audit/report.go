package audit

import (
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/model"
)

// Violation names a rule that a start broke.
type Violation string

// Violations that the ledger counts.
const (
	// Overlap is a start of a task that runs already, under the same attempt or another one.
	Overlap Violation = "overlapping-runs"
	// Overcommitted is a start that takes the reservations on a worker above its capacity.
	Overcommitted Violation = "overcommitted-starts"
	// DataCentreOutOfService is a start in a data centre after the grace period since operators took it out of service.
	DataCentreOutOfService Violation = "starts-in-data-centre-out"
	// AboveLimit is a start that takes a team above its upper limit.
	AboveLimit Violation = "starts-above-team-limit"
	// RepeatedAttempt is a second start of the same attempt, on any worker.
	RepeatedAttempt Violation = "repeated-attempts"
	// StartAfterSuccess is a start of a task whose success the scheduler had acknowledged.
	StartAfterSuccess Violation = "starts-after-success"
)

// allViolations lists all names, so that a report also shows what never happened.
var allViolations = []Violation{Overlap, Overcommitted, DataCentreOutOfService, AboveLimit, RepeatedAttempt, StartAfterSuccess}

// TaskCounts counts one task's runs.
type TaskCounts struct {
	Starts int `json:"starts"`
	// Completions counts successful ends, also those that no scheduler has seen.
	Completions int `json:"completions"`
	// Acknowledged counts the successful ends that the scheduler acknowledged.
	Acknowledged int `json:"acknowledged"`
	Overlaps     int `json:"overlaps,omitempty"`
	// AfterLost counts starts that followed an attempt of which no worker could say how it ended. The audit doesn't know
	// which tasks may be rerun, so these are no violations by themselves.
	AfterLost int `json:"after-lost,omitempty"`
	Running   int `json:"running,omitempty"`
}

// TeamCounts sums up one team's runs.
type TeamCounts struct {
	Running     model.Resources `json:"running"`
	Tasks       int             `json:"tasks"`
	Peak        model.Resources `json:"peak"`
	PeakTasks   int             `json:"peak-tasks"`
	CoreSeconds float64         `json:"core-seconds"`
}

// Report is everything that was counted.
type Report struct {
	Violations map[Violation]int     `json:"violations"`
	Examples   []string              `json:"examples,omitempty"`
	Starts     int                   `json:"starts"`
	Running    int                   `json:"running"`
	Outcomes   map[model.Outcome]int `json:"outcomes"`
	// DuplicateAcknowledgements counts tasks whose success was acknowledged more than once.
	DuplicateAcknowledgements int `json:"doubled"`
	// DuplicateCompletions counts tasks that succeeded more than once, even if no scheduler saw the first time.
	DuplicateCompletions int                         `json:"completed-again"`
	Teams                map[model.TeamID]TeamCounts `json:"teams"`
	Tasks                map[model.TaskID]TaskCounts `json:"tasks"`
}

// Report returns a copy of all counts at now.
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

// teamUsage is what a team has running now, its peak in each dimension, and the time integral of its cores.
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
