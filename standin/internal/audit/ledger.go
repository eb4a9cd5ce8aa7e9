package audit

import (
	"fmt"
	"time"

	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
)

// maxExamples bounds the violations that are described one by one.
const maxExamples = 50

// Rules tells what operators have declared, as far as tests told the stand-in.
type Rules interface {
	// OutSince returns from when on no task may start in the data centre.
	OutSince(dc model.DataCentreID, now time.Time) (time.Time, bool)
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
	// Reserved is the sum of the reservations on the worker with this one.
	Reserved model.Resources
	Capacity model.Resources
}

// run is one attempt on one worker.
type run struct {
	attempt model.AttemptID
	worker  model.WorkerID
}

// Ledger counts; events reach it in the order of their times. It isn't safe for concurrent use.
type Ledger struct {
	rules    Rules
	report   Report
	tasks    map[model.TaskID]*TaskCounts
	running  map[model.TaskID]map[run]Start
	attempts map[model.AttemptID]int
	teams    map[model.TeamID]*teamSum
	// lost holds tasks with an attempt that a worker's crash or a lapsed task lease ended.
	lost map[model.TaskID]bool
}

// NewLedger returns an empty ledger.
func NewLedger(rules Rules) *Ledger {
	l := &Ledger{
		rules:    rules,
		report:   Report{Violations: make(map[Violation]int), Outcomes: make(map[model.Outcome]int)},
		tasks:    make(map[model.TaskID]*TaskCounts),
		running:  make(map[model.TaskID]map[run]Start),
		attempts: make(map[model.AttemptID]int),
		teams:    make(map[model.TeamID]*teamSum),
		lost:     make(map[model.TaskID]bool),
	}
	for _, name := range violations {
		l.report.Violations[name] = 0
	}
	return l
}

// Started records that an attempt began to run, and checks all rules on starts.
func (l *Ledger) Started(now time.Time, s Start) {
	task := s.Attempt.Task
	counts := l.task(task)
	counts.Starts++
	l.report.Starts++
	if l.lost[task] {
		counts.AfterLost++
	}
	l.attempts[s.Attempt]++
	l.check(RepeatedAttempt, l.attempts[s.Attempt] == 1, s, "attempt started again")
	l.check(AfterSuccess, counts.Acknowledged == 0, s, "task had already succeeded")
	for other := range l.running[task] {
		counts.Overlaps++
		l.check(Overlap, false, s, "task runs as %s on %s", other.attempt, other.worker)
	}
	l.check(Overcommitted, s.Reserved.Fits(s.Capacity), s, "%v reserved of %v", s.Reserved, s.Capacity)
	if from, out := l.rules.OutSince(s.DataCentre, now); out {
		l.check(DataCentreOut, now.Before(from), s, "data centre %s closed %s ago", s.DataCentre, now.Sub(from))
	}
	if l.running[task] == nil {
		l.running[task] = make(map[run]Start)
	}
	l.running[task][run{s.Attempt, s.Worker}] = s
	team := l.team(s.Team)
	team.add(now, s.Reservation, 1)
	l.checkLimit(now, s, team)
}

func (l *Ledger) checkLimit(now time.Time, s Start, team *teamSum) {
	limit, ok := l.rules.Limit(s.Team, now)
	if !ok {
		return
	}
	l.check(AboveLimit, within(team.sum, limit.Resources) && (limit.Tasks == 0 || team.count <= limit.Tasks), s,
		"team %s runs %d tasks with %v; limit %d tasks, %v", s.Team, team.count, team.sum, limit.Tasks, limit.Resources)
}

// within compares with a limit in which a zero dimension is unbounded.
func within(sum, limit model.Resources) bool {
	return (limit.Cores == 0 || sum.Cores <= limit.Cores) &&
		(limit.Memory == 0 || sum.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || sum.Accelerators <= limit.Accelerators)
}

// Ended records that an attempt no longer runs on a worker.
func (l *Ledger) Ended(now time.Time, attempt model.AttemptID, worker model.WorkerID, outcome model.Outcome) {
	task := attempt.Task
	started, ok := l.running[task][run{attempt, worker}]
	if !ok {
		return
	}
	delete(l.running[task], run{attempt, worker})
	if len(l.running[task]) == 0 {
		delete(l.running, task)
	}
	l.team(started.Team).add(now, model.Resources{}.Minus(started.Reservation), -1)
	l.report.Outcomes[outcome]++
	if outcome == model.OutcomeLost {
		l.lost[task] = true
	}
	if outcome == model.OutcomeSucceeded {
		l.task(task).Completions++
	}
}

// Acknowledged records that the scheduler has taken note of an attempt's end.
func (l *Ledger) Acknowledged(attempt model.AttemptID, outcome model.Outcome) {
	if outcome == model.OutcomeSucceeded {
		l.task(attempt.Task).Acknowledged++
	}
}

func (l *Ledger) check(name Violation, holds bool, s Start, format string, args ...any) {
	if holds {
		return
	}
	l.report.Violations[name]++
	if len(l.report.Examples) < maxExamples {
		l.report.Examples = append(l.report.Examples,
			fmt.Sprintf("%s: %s on %s: %s", name, s.Attempt, s.Worker, fmt.Sprintf(format, args...)))
	}
}

func (l *Ledger) task(id model.TaskID) *TaskCounts {
	counts := l.tasks[id]
	if counts == nil {
		counts = &TaskCounts{}
		l.tasks[id] = counts
	}
	return counts
}

func (l *Ledger) team(id model.TeamID) *teamSum {
	sum := l.teams[id]
	if sum == nil {
		sum = &teamSum{}
		l.teams[id] = sum
	}
	return sum
}
