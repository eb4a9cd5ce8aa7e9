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
	// DataCentreOut is a start in a data centre after the grace period since operators took it out of service.
	DataCentreOut Violation = "starts-in-data-centre-out"
	// AboveLimit is a start that takes a team above its upper limit.
	AboveLimit Violation = "starts-above-team-limit"
	// RepeatedAttempt is a second start of the same attempt, on any worker.
	RepeatedAttempt Violation = "repeated-attempts"
	// AfterSuccess is a start of a task whose success the scheduler had acknowledged.
	AfterSuccess Violation = "starts-after-success"
)

// violations lists all names, so that a report also shows what never happened.
var violations = []Violation{Overlap, Overcommitted, DataCentreOut, AboveLimit, RepeatedAttempt, AfterSuccess}

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
	// Doubled counts tasks whose success was acknowledged more than once.
	Doubled int `json:"doubled"`
	// CompletedAgain counts tasks that succeeded more than once, even if no scheduler saw the first time.
	CompletedAgain int                         `json:"completed-again"`
	Teams          map[model.TeamID]TeamCounts `json:"teams"`
	Tasks          map[model.TaskID]TaskCounts `json:"tasks"`
}

// Report returns a copy of all counts at now.
func (l *Ledger) Report(now time.Time) Report {
	out := l.report
	out.Violations = maps.Clone(l.report.Violations)
	out.Outcomes = maps.Clone(l.report.Outcomes)
	out.Examples = slices.Clone(l.report.Examples)
	out.Teams = make(map[model.TeamID]TeamCounts, len(l.teams))
	out.Tasks = make(map[model.TaskID]TaskCounts, len(l.tasks))
	for id, team := range l.teams {
		team.add(now, model.Resources{}, 0)
		out.Teams[id] = TeamCounts{
			Running: team.sum, Tasks: team.count, Peak: team.peak, PeakTasks: team.peakCount, CoreSeconds: team.coreSeconds,
		}
	}
	for id, counts := range l.tasks {
		copied := *counts
		copied.Running = len(l.running[id])
		out.Running += copied.Running
		out.Tasks[id] = copied
		if copied.Acknowledged > 1 {
			out.Doubled++
		}
		if copied.Completions > 1 {
			out.CompletedAgain++
		}
	}
	return out
}

// teamSum is what a team has running now, its peak in each dimension, and the time integral of its cores.
type teamSum struct {
	sum         model.Resources
	count       int
	peak        model.Resources
	peakCount   int
	coreSeconds float64
	since       time.Time
}

func (t *teamSum) add(now time.Time, change model.Resources, tasks int) {
	if !t.since.IsZero() {
		t.coreSeconds += float64(t.sum.Cores) / 1000 * now.Sub(t.since).Seconds()
	}
	t.since = now
	t.sum = t.sum.Plus(change)
	t.count += tasks
	t.peakCount = max(t.peakCount, t.count)
	t.peak = model.Resources{
		Cores:        max(t.peak.Cores, t.sum.Cores),
		Memory:       max(t.peak.Memory, t.sum.Memory),
		Accelerators: max(t.peak.Accelerators, t.sum.Accelerators),
	}
}
