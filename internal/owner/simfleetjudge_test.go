package owner

import (
	"fmt"
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/work"
)

// simJudge notes what breaks a rule, judged by what happens on the workers: two runs of a task at the same time, a start after an
// acknowledged success, and a start after as many acknowledged failures as a task has attempts.
type simJudge struct {
	// done holds the tasks whose success has been acknowledged, finished also those whose worker lapsed before, succeeded those with
	// any success, and restarted those that were started after a success that isn't acknowledged.
	done, finished, succeeded, restarted map[work.TaskRef]bool
	// events counts starts and ends. lastStart holds the number of the last start of a task, failedAt those of the failed ends by
	// run, and failures those that have been acknowledged.
	events             int
	lastStart          map[work.TaskRef]int
	failedAt, failures map[work.TaskRef]map[int]int
	violations         []string
	// starts counts the starts that were carried out, and lapsed the runs that ended with their lease. met counts how often a fault
	// met a run.
	starts, lapsed int
	met            map[string]int
	// suspects are the tasks with a violation.
	suspects map[work.TaskRef]bool
}

func newSimJudge() simJudge {
	return simJudge{
		done: make(map[work.TaskRef]bool), finished: make(map[work.TaskRef]bool), succeeded: make(map[work.TaskRef]bool),
		restarted: make(map[work.TaskRef]bool), lastStart: make(map[work.TaskRef]int),
		failedAt: make(map[work.TaskRef]map[int]int), failures: make(map[work.TaskRef]map[int]int), met: make(map[string]int),
		suspects: make(map[work.TaskRef]bool),
	}
}

// note adds a line to the trace.
func (f *simFleet) note(w *simWorker, task work.TaskRef, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if task != noTask {
		text = task.String() + " " + text
	}
	f.trace.addAt(f.at, w.id, text)
}

func (f *simFleet) violation(task work.TaskRef, format string, args ...any) {
	f.suspects[task] = true
	text := fmt.Sprintf(format, args...)
	f.trace.addAt(f.at, "", "violation: "+text)
	f.violations = append(f.violations, fmt.Sprintf("%.3f: %s", f.at.Seconds(), text))
}

// takeViolations returns what has broken a rule up to now.
func (f *simFleet) takeViolations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return slices.Clone(f.violations)
}

// suspect adds the tasks of a job that haven't succeeded to those with a violation.
func (f *simFleet) suspect(job work.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, stage := range job.Stages {
		for k := range stage.Count {
			if task := (work.TaskRef{Job: job.ID, Stage: i, Index: k}); !f.succeeded[task] {
				f.suspects[task] = true
			}
		}
	}
}

// judgeStart checks a start that is carried out before its run is on the worker.
func (f *simFleet) judgeStart(w *simWorker, run *simTask, cmd agent.Start, late time.Duration) {
	f.starts++
	f.events++
	f.lastStart[run.task] = f.events
	f.note(w, run.task, "run %d starts under %d on boot %d, sent %v before, lease until %v of %v", run.run, cmd.Token, w.boot, late,
		w.leaseEnd, w.clock(f.at))
	for _, id := range f.order {
		for _, other := range f.workers[id].sortedRuns() {
			if other.task == run.task {
				f.violation(run.task, "run %d of %v starts on %s under %d while run %d is on %s",
					run.run, run.task, w.id, cmd.Token, other.run, id)
			}
		}
	}
	if f.done[run.task] {
		f.violation(run.task, "run %d of %v starts on %s under %d after its acknowledged success", run.run, run.task, w.id, cmd.Token)
	}
	if f.listsSuccess(run.task) {
		f.restarted[run.task] = true
	}
	f.judgeFailures(run.task)
	if late > simCommandTimeout {
		f.met["starts that were carried out late"]++
	}
}

// listsSuccess reports whether a worker lists a success of the task that its acknowledgement would make count.
func (f *simFleet) listsSuccess(task work.TaskRef) bool {
	for _, id := range f.order {
		w := f.workers[id]
		if !w.up {
			continue
		}
		if slices.ContainsFunc(w.ended, func(end agent.EndedRun) bool {
			return end.Task == task && end.Outcome == agent.OutcomeDone && end.Number > w.lapsedNumber
		}) {
			return true
		}
	}
	return false
}

// judgeEnd notes an end that a worker lists.
func (f *simFleet) judgeEnd(run *simTask, outcome agent.RunOutcome) {
	f.events++
	switch outcome {
	case agent.OutcomeDone:
		f.eachMember(run.task, func(task work.TaskRef) { f.succeeded[task] = true })
	case agent.OutcomeFailed:
		noteEvent(f.failedAt, run.simRun, f.events)
	}
}

func noteEvent(events map[work.TaskRef]map[int]int, run simRun, event int) {
	if events[run.task] == nil {
		events[run.task] = make(map[int]int)
	}
	events[run.task][run.run] = event
}

// eachMember calls do for a task or, if it belongs to a gang, for all tasks of that: the success of one is that of all.
func (f *simFleet) eachMember(task work.TaskRef, do func(work.TaskRef)) {
	stage := f.stageOf(task)
	if !stage.Gang {
		do(task)
		return
	}
	for i := range stage.Count {
		member := task
		member.Index = i
		do(member)
	}
}

// judgeAcknowledgement notes that an end has been acknowledged.
func (f *simFleet) judgeAcknowledgement(w *simWorker, end agent.EndedRun) {
	f.note(w, end.Task, "end %d of run %d, %s, is acknowledged", end.Number, end.Run, end.Outcome)
	counts := end.Number > w.lapsedNumber
	switch {
	case end.Outcome == agent.OutcomeDone:
		f.eachMember(end.Task, func(task work.TaskRef) {
			f.finished[task] = true
			f.done[task] = f.done[task] || counts
		})
		if counts && f.restarted[end.Task] {
			f.violation(end.Task, "success of run %d of %v is acknowledged, though the task was started after it", end.Run, end.Task)
		}
	case end.Outcome == agent.OutcomeFailed && counts:
		noteEvent(f.failures, simRun{end.Task, end.Run}, f.failedAt[end.Task][end.Run])
		f.judgeFailures(end.Task)
	}
}

// judgeFailures checks that a task hasn't started after as many acknowledged failures as it has attempts.
func (f *simFleet) judgeFailures(task work.TaskRef) {
	failures := 0
	for _, event := range f.failures[task] {
		if event < f.lastStart[task] {
			failures++
		}
	}
	if failures >= f.faults.attempts() {
		f.violation(task, "%v starts after %d acknowledged failures", task, failures)
	}
}
