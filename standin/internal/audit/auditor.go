package audit

import (
	"fmt"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// maxExamples bounds the violations that are described one by one.
const maxExamples = 50

// Declarations tells what operators have declared, as far as tests told the stand-in.
type Declarations interface {
	// OutOfServiceSince returns from when on no task may start in the data centre.
	OutOfServiceSince(dc model.DataCentreID, now time.Time) (time.Time, bool)
	// Limit returns the team's upper limit.
	Limit(team model.TeamID, now time.Time) (decl.Limit, bool)
}

// Start describes the start of an attempt on a worker.
type Start struct {
	Attempt     model.AttemptID
	Team        model.TeamID
	Worker      model.WorkerID
	DataCentre  model.DataCentreID
	Reservation model.Resources
	// TotalReserved is the sum of the reservations on the worker with this one.
	TotalReserved model.Resources
	Capacity      model.Resources
}

// runKey is one attempt on one worker.
type runKey struct {
	attempt model.AttemptID
	worker  model.WorkerID
}

// Auditor counts; events reach it in the order of their times. It isn't safe for concurrent use.
type Auditor struct {
	declarations Declarations
	report       Report
	tasks        map[model.TaskID]*TaskCounts
	running      map[model.TaskID]map[runKey]Start
	attempts     map[model.AttemptID]int
	teams        map[model.TeamID]*teamUsage
	// lostTasks holds tasks with an attempt that a worker's crash or a lapsed task lease ended.
	lostTasks map[model.TaskID]bool
}

// NewAuditor returns an empty ledger.
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

// RecordStart records that an attempt began to run, and checks all rules on starts.
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

// withinLimit compares with a limit in which a zero dimension is unbounded.
func withinLimit(sum, limit model.Resources) bool {
	return (limit.Cores == 0 || sum.Cores <= limit.Cores) &&
		(limit.Memory == 0 || sum.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || sum.Accelerators <= limit.Accelerators)
}

// RecordEnd records that an attempt no longer runs on a worker.
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

// Acknowledged records that the scheduler has taken note of an attempt's end.
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
