package audit

import (
	"fmt"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// maxExamples bounds the number of violations that a report describes one by one.
const maxExamples = 50

// Declarations reports what operators have declared. The stand-in knows only the declarations that tests have set as faults.
type Declarations interface {
	// OutOfServiceSince returns the time from which no task may start in the data centre; it returns false if there is none.
	OutOfServiceSince(dc model.DataCentreID, now time.Time) (time.Time, bool)
	// Limit returns the team's upper limit, or false if it has none.
	Limit(team model.TeamID, now time.Time) (decl.Limit, bool)
}

// Start describes the start of an attempt on a worker.
type Start struct {
	Attempt     model.AttemptID
	Team        model.TeamID
	Worker      model.WorkerID
	DataCentre  model.DataCentreID
	Reservation model.Resources
	// TotalReserved is the sum of the reservations on the worker, including this one.
	TotalReserved model.Resources
	Capacity      model.Resources
}

// runKey identifies the run of an attempt on a worker.
type runKey struct {
	attempt model.AttemptID
	worker  model.WorkerID
}

// Auditor counts runs and violations. Its methods must be called in the order of the events' times; it is not safe for
// concurrent use.
type Auditor struct {
	declarations Declarations
	report       Report
	tasks        map[model.TaskID]*TaskCounts
	running      map[model.TaskID]map[runKey]Start
	attempts     map[model.AttemptID]int
	teams        map[model.TeamID]*teamUsage
	// lostTasks holds the tasks of which an attempt ended by a worker's crash or an expired task lease.
	lostTasks map[model.TaskID]bool
}

// NewAuditor returns an auditor without any counts.
func NewAuditor(declarations Declarations) *Auditor {
	a := &Auditor{
		declarations: declarations,
		report:       Report{Violations: make(map[Violation]int), Outcomes: make(map[model.Outcome]int)},
		tasks:        make(map[model.TaskID]*TaskCounts),
		running:      make(map[model.TaskID]map[runKey]Start),
		attempts:     make(map[model.AttemptID]int),
		teams:        make(map[model.TeamID]*teamUsage),
		lostTasks:    make(map[model.TaskID]bool),
	}
	for _, name := range allViolations {
		a.report.Violations[name] = 0
	}
	return a
}

// RecordStart records the start of an attempt and checks it against all rules.
func (a *Auditor) RecordStart(now time.Time, s Start) {
	task := s.Attempt.Task
	counts := a.task(task)
	counts.Starts++
	a.report.Starts++
	if a.lostTasks[task] {
		counts.AfterLost++
	}
	a.attempts[s.Attempt]++
	a.check(RepeatedAttempt, a.attempts[s.Attempt] == 1, s, "attempt started again")
	a.check(StartAfterSuccess, counts.Acknowledged == 0, s, "task had already succeeded")
	for other := range a.running[task] {
		counts.Overlaps++
		a.check(Overlap, false, s, "task runs as %s on %s", other.attempt, other.worker)
	}
	a.check(Overcommitted, s.TotalReserved.Fits(s.Capacity), s, "%v reserved of %v", s.TotalReserved, s.Capacity)
	if from, out := a.declarations.OutOfServiceSince(s.DataCentre, now); out {
		a.check(DataCentreOutOfService, now.Before(from), s, "data centre %s closed %s ago", s.DataCentre, now.Sub(from))
	}
	if a.running[task] == nil {
		a.running[task] = make(map[runKey]Start)
	}
	a.running[task][runKey{s.Attempt, s.Worker}] = s
	team := a.team(s.Team)
	team.add(now, s.Reservation, 1)
	a.checkLimit(now, s, team)
}

func (a *Auditor) checkLimit(now time.Time, s Start, team *teamUsage) {
	limit, ok := a.declarations.Limit(s.Team, now)
	if !ok {
		return
	}
	a.check(AboveLimit, withinLimit(team.running, limit.Resources) && (limit.Tasks == 0 || team.tasks <= limit.Tasks), s,
		"team %s runs %d tasks with %v; limit %d tasks, %v", s.Team, team.tasks, team.running, limit.Tasks, limit.Resources)
}

// withinLimit reports whether sum is within limit in every dimension; a zero dimension of the limit is unbounded.
func withinLimit(sum, limit model.Resources) bool {
	return (limit.Cores == 0 || sum.Cores <= limit.Cores) &&
		(limit.Memory == 0 || sum.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || sum.Accelerators <= limit.Accelerators)
}

// RecordEnd records that an attempt no longer runs on a worker, with the outcome; an attempt that is not running is ignored.
func (a *Auditor) RecordEnd(now time.Time, attempt model.AttemptID, worker model.WorkerID, outcome model.Outcome) {
	task := attempt.Task
	started, ok := a.running[task][runKey{attempt, worker}]
	if !ok {
		return
	}
	delete(a.running[task], runKey{attempt, worker})
	if len(a.running[task]) == 0 {
		delete(a.running, task)
	}
	a.team(started.Team).add(now, model.Resources{}.Minus(started.Reservation), -1)
	a.report.Outcomes[outcome]++
	if outcome == model.OutcomeLost {
		a.lostTasks[task] = true
	}
	if outcome == model.OutcomeSucceeded {
		a.task(task).Completions++
	}
}

// RecordAcknowledgement records that the scheduler has acknowledged the end of an attempt.
func (a *Auditor) RecordAcknowledgement(attempt model.AttemptID, outcome model.Outcome) {
	if outcome == model.OutcomeSucceeded {
		a.task(attempt.Task).Acknowledged++
	}
}

func (a *Auditor) check(name Violation, holds bool, s Start, format string, args ...any) {
	if holds {
		return
	}
	a.report.Violations[name]++
	if len(a.report.Examples) < maxExamples {
		a.report.Examples = append(a.report.Examples,
			fmt.Sprintf("%s: %s on %s: %s", name, s.Attempt, s.Worker, fmt.Sprintf(format, args...)))
	}
}

func (a *Auditor) task(id model.TaskID) *TaskCounts {
	counts := a.tasks[id]
	if counts == nil {
		counts = &TaskCounts{}
		a.tasks[id] = counts
	}
	return counts
}

func (a *Auditor) team(id model.TeamID) *teamUsage {
	sum := a.teams[id]
	if sum == nil {
		sum = &teamUsage{}
		a.teams[id] = sum
	}
	return sum
}
