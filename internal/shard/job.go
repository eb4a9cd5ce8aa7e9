package shard

import (
	"slices"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// job is the state of one accepted job.
type job struct {
	spec     work.Job
	queue    terms.Queue
	received time.Duration
	// objective is the moment by which the job should be completed.
	objective time.Duration
	surplus   bool
	cancelled bool
	begun     bool
	final     work.State
	// finalBatch carries the final state; it is told only once recorded.
	finalBatch uint64
	finalAt    time.Duration
	stages     []*stage
	dirty      bool
	// avoid holds the workers on which a task of the job has failed or stalled.
	avoid map[model.WorkerID]bool
}

// stage is the state of one occurrence of a stage.
type stage struct {
	job        *job
	spec       *work.Stage
	occurrence int
	index      int
	tasks      []task
	left       int
	// tail is the estimated run time from the start of the stage to the end of the job.
	tail time.Duration
	// verdicts holds what the advice service said about workers.
	verdicts map[model.WorkerID]verdict
	asking   bool
	// advisedAt is when the last answer came.
	advisedAt time.Duration
	// askAfter is the earliest moment for another call after one that failed.
	askAfter time.Duration
	// reserved is room kept while a call for advice is under way, or until stopped runs have ended.
	reserved      map[*worker]model.Resources
	reservedUntil time.Duration
	// retry makes the next plan try the stage; otherwise it does if a worker that may run it has room again. The last try
	// was at triedAt, the last search for work to stop at preemptedAt.
	retry       bool
	triedAt     time.Duration
	preemptedAt time.Duration
	// assumed holds runs whose outcome isn't known.
	assumed []assumedRun
	// waitsFor is what the stage lacked when it was last tried.
	waitsFor waitReason
}

// waitReason tells what a stage with tasks to start lacks.
type waitReason string

const (
	waitTeamLimit waitReason = "team-limit"
	waitAdvice    waitReason = "advice"
	waitRoom      waitReason = "room"
	// waitOutcome: a failure that isn't reported yet might be the last that the queue allows.
	waitOutcome waitReason = "outcome"
)

type verdict struct {
	good    bool
	ticket  string
	expires time.Duration
}

type task struct {
	done       bool
	lastRun    int
	failedRuns []int
	attempts   []*attempt
	checkpoint string
}

type phase int

const (
	// phaseBound: the run is recorded or about to be, and no start was confirmed.
	phaseBound phase = iota
	phaseStarted
	phaseStopping
)

// attempt is a run of a task that may be present on a worker.
type attempt struct {
	stage  *stage
	index  int
	run    int
	worker *worker
	phase  phase
	batch  uint64
	ticket string
	// calling is set while a command is under way, unsettled once a start was left without an answer.
	calling   bool
	unsettled bool
	notBefore time.Duration
	// settled is the worker's clock from which on a report without this run proves its absence; negative if unknown.
	settled    time.Duration
	checkpoint string
	percent    int
	changedAt  time.Duration
	// savedAt is when the run was last seen to have saved its progress, or when it was decided.
	savedAt time.Duration
	// goneAt is when the run has ended for certain because a member of its gang was reported to have; zero if unknown.
	goneAt time.Duration
}

func (a *attempt) task() *task { return &a.stage.tasks[a.index] }

func (a *attempt) ref() work.TaskRef {
	return work.TaskRef{Job: a.stage.job.spec.ID, Occurrence: a.stage.occurrence, Stage: a.stage.index, Index: a.index}
}

func (a *attempt) size() model.Resources {
	if a.stage.spec.Scavenger {
		return model.Resources{}
	}
	return a.stage.spec.Size
}

func (a *attempt) key() runKey { return runKey{a.ref(), a.run} }

type runKey struct {
	task work.TaskRef
	run  int
}

func newJob(spec work.Job, queue terms.Queue, now time.Duration) *job {
	j := &job{spec: spec, queue: queue, received: now, avoid: make(map[model.WorkerID]bool)}
	for k := range spec.OccurrenceCount() {
		for i := range spec.Stages {
			j.stages = append(j.stages, &stage{
				job: j, spec: &j.spec.Stages[i], occurrence: k, index: i, tasks: make([]task, spec.Stages[i].Count),
				left: spec.Stages[i].Count, verdicts: make(map[model.WorkerID]verdict), retry: true,
			})
		}
	}
	j.setTails()
	j.objective = now + j.allowance()
	return j
}

func (j *job) setTails() {
	for i := len(j.stages) - 1; i >= 0; i-- {
		st := j.stages[i]
		longest := time.Duration(0)
		for _, later := range j.stages[i+1:] {
			if later.occurrence == st.occurrence && slices.Contains(later.spec.After, st.index) {
				longest = max(longest, later.tail)
			}
		}
		st.tail = longest + st.spec.RunTime.Std()
	}
}

// hopeless reports whether the job will miss its objective even if the stage starts now and the estimates are too high.
func (st *stage) hopeless(now time.Duration) bool {
	return now+time.Duration(estimateTrust*float64(st.tail)) > st.job.objective
}

// adviceWorkers is the number of workers that the objective allows one call for advice for.
const adviceWorkers = 30

// allowance is the time in which the job should be completed, by the submitter's estimates.
func (j *job) allowance() time.Duration {
	extra := time.Duration(0)
	if advice := j.queue.Advice; advice != nil {
		extra = advice.Decide + adviceWorkers*advice.PerWorker
	}
	return time.Duration(float64(j.spec.CriticalPathTime(extra))*max(j.queue.Stretch, 1)) + j.queue.Latency
}

func (j *job) stage(occurrence, index int) *stage {
	at := occurrence*len(j.spec.Stages) + index
	if occurrence < 0 || index < 0 || index >= len(j.spec.Stages) || at >= len(j.stages) {
		return nil
	}
	return j.stages[at]
}

// open reports whether tasks of the job may still be started.
func (j *job) open() bool { return j.final == "" && !j.cancelled }

// ready reports whether the stage's turn has come; wall is the time of day.
func (st *stage) ready(wall time.Time) bool {
	if due := st.job.spec.OccurrenceStart(st.occurrence); !due.IsZero() && wall.Before(due) {
		return false
	}
	for _, earlier := range st.spec.After {
		if st.job.stage(st.occurrence, earlier).left > 0 {
			return false
		}
	}
	return true
}

// waiting returns the tasks that have neither succeeded nor a run that may be present anywhere. A gang waits as a
// whole until the last run of its former members is gone.
func (st *stage) waiting() []int {
	var tasks []int
	for i := range st.tasks {
		t := &st.tasks[i]
		switch {
		case t.done:
		case len(t.attempts) == 0:
			tasks = append(tasks, i)
		case st.spec.Gang:
			return nil
		}
	}
	return tasks
}

// isWaiting reports whether there are tasks to start.
func (st *stage) isWaiting() bool {
	found := false
	for i := range st.tasks {
		t := &st.tasks[i]
		switch {
		case t.done:
		case len(t.attempts) == 0:
			found = true
			if !st.spec.Gang {
				return true
			}
		case st.spec.Gang:
			return false
		}
	}
	return found
}

func (st *stage) nextRun(index int) int {
	if !st.spec.Gang {
		return st.tasks[index].lastRun + 1
	}
	run := 0
	for i := range st.tasks {
		run = max(run, st.tasks[i].lastRun)
	}
	return run + 1
}

// countFailure notes a failed run of a task and returns how many runs of the task, or of the gang, have failed.
func (st *stage) countFailure(index, run int) int {
	t := &st.tasks[index]
	if !slices.Contains(t.failedRuns, run) {
		t.failedRuns = append(t.failedRuns, run)
	}
	if !st.spec.Gang {
		return len(t.failedRuns)
	}
	runs := make(map[int]bool)
	for i := range st.tasks {
		for _, failed := range st.tasks[i].failedRuns {
			runs[failed] = true
		}
	}
	return len(runs)
}

// startCheckpoint is the progress to start a task from; all members of a gang carry the same.
func (st *stage) startCheckpoint(index int) string {
	if !st.spec.Gang {
		return st.tasks[index].checkpoint
	}
	return st.tasks[0].checkpoint
}

func (st *stage) saveCheckpoint(index int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if !st.spec.Gang {
		st.tasks[index].checkpoint = checkpoint
		return
	}
	for i := range st.tasks {
		st.tasks[i].checkpoint = checkpoint
	}
}

// live calls f for each run of the job that may be present on a worker.
func (j *job) live(f func(*attempt)) {
	for _, st := range j.stages {
		for i := range st.tasks {
			for _, a := range append([]*attempt(nil), st.tasks[i].attempts...) {
				f(a)
			}
		}
	}
}

// hasRuns reports whether a run of the job may be present on a worker.
func (j *job) hasRuns() bool {
	for _, st := range j.stages {
		for i := range st.tasks {
			if len(st.tasks[i].attempts) > 0 {
				return true
			}
		}
	}
	return false
}

// progress returns the record of the job's state.
func (j *job) progress() work.Progress {
	p := work.Progress{Final: j.final, Begun: j.begun}
	for _, st := range j.stages {
		for i := range st.tasks {
			t := &st.tasks[i]
			if t.lastRun == 0 && !t.done {
				continue
			}
			tp := work.TaskProgress{
				Occurrence: st.occurrence, Stage: st.index, Index: i, Done: t.done, LastRun: t.lastRun,
				FailedRuns: slices.Clone(t.failedRuns),
			}
			if !t.done && j.open() {
				tp.Checkpoint = t.checkpoint
			}
			for _, a := range t.attempts {
				tp.Bindings = append(tp.Bindings, work.Binding{Run: a.run, Worker: a.worker.id, Incarnation: a.worker.born})
			}
			if j.final != "" && len(tp.Bindings) == 0 {
				continue
			}
			p.Tasks = append(p.Tasks, tp)
		}
	}
	return p
}
