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
	// objective is the time by which the job should be completed.
	objective time.Duration
	// overShare tells whether the team was submitting more jobs per second than its share when the job was received.
	overShare bool
	cancelled bool
	started   bool
	final     work.State
	// finalCommit is the number of the commit that records the final state, which is reported to clients only after
	// that.
	finalCommit uint64
	finalAt     time.Duration
	// pendingDrops counts the deletions of the job's submission that are not recorded yet. The progress record has to
	// outlive the submission, because a submission without progress is a new job to the next owner.
	pendingDrops int
	stages       []*stage
	dirty        bool
	// dirtyParts holds the parts of the tasks whose records have to be written, recordedParts those that have a record. Both
	// are empty for a job whose main record holds its tasks.
	dirtyParts    map[int]bool
	recordedParts map[int]bool
	// avoided holds the workers on which a task of the job has failed or stalled lately, with the time of the last such event;
	// lastAvoidedAt is the latest of these.
	avoided       map[model.WorkerID]time.Duration
	lastAvoidedAt time.Duration
}

// stage is the state of one occurrence of a stage.
type stage struct {
	job        *job
	spec       *work.Stage
	occurrence int
	index      int
	tasks      []task
	// firstTask is the number of tasks in the job's earlier stages.
	firstTask int
	// left is the number of tasks that have not succeeded.
	left int
	// criticalPath is the estimated run time from the start of the stage to the end of the job.
	criticalPath time.Duration
	// answers holds the advice received for each worker.
	answers map[model.WorkerID]workerAdvice
	// advicePending tells that the stage waits for an advice call or its answer, and adviceSent that the call is under way.
	advicePending bool
	adviceSent    bool
	// ticketsValidUntil is when the tickets of the last call expire.
	ticketsValidUntil time.Duration
	// advisedAt is when the last answer to an advice call arrived.
	advisedAt time.Duration
	// nextAdviceAt is the earliest time for the next advice call, or zero.
	nextAdviceAt time.Duration
	// reserved is the capacity reserved during an advice call, until preempted runs have ended, or until a gang fits.
	reserved      map[*worker]model.Resources
	reservedUntil time.Duration
	// retry makes the next plan consider the stage; otherwise it is considered when an eligible worker has free
	// capacity again, which capacityFreed tells. It was last considered at triedAt, and last searched for runs to
	// preempt at preemptTriedAt.
	retry          bool
	capacityFreed  bool
	triedAt        time.Duration
	preemptTriedAt time.Duration
	// onlyAvoidedLeft tells that every worker that could run the stage is avoided by its job.
	onlyAvoidedLeft bool
	// lateStartsDueAt is when to look again at the tasks that wait for late starts, or zero.
	lateStartsDueAt time.Duration
	// waitsFor is what the stage lacked when it was last considered.
	waitsFor waitReason
}

// waitReason is what a stage with tasks to start lacks.
type waitReason string

const (
	waitTeamLimit waitReason = "team-limit"
	waitAdvice    waitReason = "advice"
	waitCapacity  waitReason = "room"
	// waitWorker means that the stage wouldn't fit on its eligible workers if these were empty.
	waitWorker waitReason = "worker"
	// waitStarts means that enough starts are under way, or that commits lag.
	waitStarts waitReason = "starts"
	// waitLateStart means that the start of an earlier run may still arrive at its worker.
	waitLateStart waitReason = "late-start"
)

// workerAdvice is the advice about one worker for a stage, with its ticket and when that expires.
type workerAdvice struct {
	permitted bool
	ticket    string
	expires   time.Duration
	// validUntil is when the worker certainly no longer accepts the ticket.
	validUntil time.Duration
}

// task is the state of one task of a stage.
type task struct {
	done    bool
	lastRun int
	// notBefore is when the starts of earlier runs have arrived or are lost for certain: until then, the next incarnation of their
	// worker might carry one out. That worker is lateStartOn, which is empty if there may be several.
	notBefore   time.Duration
	lateStartOn model.WorkerID
	// settled tells that a former owner recorded that none of its starts was on its way.
	settled bool
	// startsOfEnded counts the starts under way whose runs have ended.
	startsOfEnded int
	failedRuns    []int
	// stalls counts the runs that were stopped for want of progress.
	stalls     int
	attempts   []*attempt
	checkpoint string
}

// phase is how far a run has got.
type phase int

const (
	// phaseBound means that the run is bound to a worker and no start has been confirmed; the binding may not be
	// recorded yet.
	phaseBound phase = iota
	phaseStarted
	phaseStopping
)

// attempt is the state of one run of a task while that run may be on a worker. In this package a run is one execution of
// a task, identified by its runKey; only a run that belongs to a known job and may be on a worker has an attempt. An
// unknownRun is a run without one.
type attempt struct {
	stage        *stage
	index        int
	run          int
	worker       *worker
	phase        phase
	commitNumber uint64
	ticket       string
	// ticketValidUntil is when the worker certainly no longer accepts the ticket.
	ticketValidUntil time.Duration
	// commandPending is set while a command is in flight, startPending while a start is, and startUnanswered once one went
	// unanswered.
	commandPending  bool
	startPending    bool
	startUnanswered bool
	// startInFlightUntil is when the last unanswered start has arrived or is lost for certain; zero if each start was
	// answered. It stays set when a repeated start succeeds, because the first one may still reach a later incarnation.
	startInFlightUntil time.Duration
	// notBefore is the earliest time for the run's next command.
	notBefore time.Duration
	// answeredAt is when a start was last answered with success.
	answeredAt time.Duration
	// listed tells that a report of the worker's incarnation has listed the run.
	listed bool
	// visibleSince is a reading of the worker's clock: a later report that doesn't list the run proves that it is gone.
	// It is negative while no such reading is known.
	visibleSince time.Duration
	checkpoint   string
	percent      int
	progressAt   time.Duration
	// longestGap is the longest time without progress that reports have shown before there was some. unchanged tells that a report
	// has shown none since progressAt.
	longestGap time.Duration
	unchanged  bool
	// savedAt is when the run was last seen to have saved a checkpoint, or else when it was bound.
	savedAt time.Duration
}

func (a *attempt) task() *task { return &a.stage.tasks[a.index] }

func (a *attempt) ref() work.TaskRef {
	return work.TaskRef{Job: a.stage.job.spec.ID, Occurrence: a.stage.occurrence, Stage: a.stage.index, Index: a.index}
}

// size returns what the run takes of its worker's capacity.
func (a *attempt) size() model.Resources { return a.stage.demand() }

// demand returns what a task of the stage takes of its worker's capacity. Scavenger tasks use the cores that others leave unused, so
// that only their other resources count.
func (st *stage) demand() model.Resources {
	size := st.spec.Size
	if st.spec.Scavenger {
		size.Cores = 0
	}
	return size
}

// fits returns how many tasks of the stage fit into free capacity, at most n.
func (st *stage) fits(free model.Resources, n int) int {
	if st.spec.Scavenger {
		// Reservations may exceed what is free.
		free.Cores = 0
	}
	return slots(free, st.demand(), n)
}

func (a *attempt) key() runKey { return runKey{a.ref(), a.run} }

// runKey identifies a run.
type runKey struct {
	task work.TaskRef
	run  int
}

func newJob(spec work.Job, queue terms.Queue, now time.Duration) *job {
	j := &job{
		spec: spec, queue: queue, received: now, avoided: make(map[model.WorkerID]time.Duration),
		dirtyParts: make(map[int]bool), recordedParts: make(map[int]bool),
	}
	firstTask := 0
	for k := range spec.OccurrenceCount() {
		for i := range spec.Stages {
			j.stages = append(j.stages, &stage{
				job: j, spec: &j.spec.Stages[i], occurrence: k, index: i, tasks: make([]task, spec.Stages[i].Count),
				firstTask: firstTask, left: spec.Stages[i].Count, answers: make(map[model.WorkerID]workerAdvice), retry: true,
			})
			firstTask += spec.Stages[i].Count
		}
	}
	j.setCriticalPaths()
	j.objective = now + j.allowance()
	return j
}

// setCriticalPaths sets the critical path of each stage, starting from the last stage.
func (j *job) setCriticalPaths() {
	for i := len(j.stages) - 1; i >= 0; i-- {
		st := j.stages[i]
		longest := time.Duration(0)
		for _, later := range j.stages[i+1 : (st.occurrence+1)*len(j.spec.Stages)] {
			if slices.Contains(later.spec.After, st.index) {
				longest = max(longest, later.criticalPath)
			}
		}
		st.criticalPath = longest + st.spec.RunTime.Std()
	}
}

// missesObjective reports whether the job will miss its objective even if the stage starts now and takes only
// minRunTimeShare of the estimated time.
func (st *stage) missesObjective(now time.Duration) bool {
	return now+time.Duration(minRunTimeShare*float64(st.criticalPath)) > st.job.objective
}

// adviceWorkersInObjective is the number of workers in one advice call for which the objective allows time.
const adviceWorkersInObjective = 30

// allowance returns how long the job may take to meet its objective, according to the submitter's estimates.
func (j *job) allowance() time.Duration {
	extra := time.Duration(0)
	if advice := j.queue.Advice; advice != nil {
		extra = advice.BaseTime + adviceWorkersInObjective*advice.TimePerWorker
	}
	return time.Duration(float64(j.spec.CriticalPathTime(extra))*max(j.queue.Stretch, 1)) + j.queue.Latency
}

func (j *job) stage(occurrence, index int) *stage {
	if occurrence < 0 || occurrence >= j.spec.OccurrenceCount() || index < 0 || index >= len(j.spec.Stages) {
		return nil
	}
	return j.stages[occurrence*len(j.spec.Stages)+index]
}

// open reports whether tasks of the job may still be started.
func (j *job) open() bool { return j.final == "" && !j.cancelled }

// ready reports whether the stage is due and the stages before it are done; wall is the wall-clock time.
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

// waitingTasks returns the tasks that have not succeeded and have no run that may be on a worker. A gang has no waiting
// tasks while any member's previous run may be on a worker.
func (st *stage) waitingTasks() []int {
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

// hasWaitingTasks reports whether waitingTasks would return any.
func (st *stage) hasWaitingTasks() bool {
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

// nextRun returns the number of a task's next run. The members of a gang share it.
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

// countFailure records a failed run of a task and returns how many runs of the task, or of its gang, have failed.
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

// startCheckpoint returns the checkpoint to start a task from; it is the same for all members of a gang.
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

// eachAttempt calls f for each run of the job that may be on a worker.
func (j *job) eachAttempt(f func(*attempt)) {
	for _, st := range j.stages {
		for i := range st.tasks {
			for _, a := range append([]*attempt(nil), st.tasks[i].attempts...) {
				f(a)
			}
		}
	}
}

// hasRuns reports whether a run of the job may be on a worker.
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
