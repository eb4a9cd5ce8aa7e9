package shard

import (
	"cmp"
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/terms"
	"arbutuswing.example/internal/work"
)

// Shard is the scheduling state of one ownership. It isn't safe for concurrent use.
type Shard struct {
	cfg           Config
	configuration terms.Configuration
	// ticketlessQueues tells that tasks of a queue of the configuration start without a ticket.
	ticketlessQueues bool

	jobs    map[model.JobID]*job
	workers map[model.WorkerID]*worker
	// workersByID holds the same workers sorted by ID, so that equal inputs give equal decisions.
	workersByID []*worker
	// byFreeCores holds the same workers sorted by free cores, as of the last call of workersByFreeCores. membersChanged and
	// freeCoresChanged tell what has changed since.
	byFreeCores      []*worker
	membersChanged   bool
	freeCoresChanged bool
	// targetsVersion counts the changes of the result of Targets.
	targetsVersion uint64
	// startsUnderWay is the number of starts under way, as of the last plan and with its decisions.
	startsUnderWay int
	// lastGeneration is the highest generation of any worker. New workers begin with it: one that was known before may have
	// accepted commands of a generation up to it.
	lastGeneration int64
	// inFlightStarts holds what workers knew that are no longer listed; see worker.inFlightStarts.
	inFlightStarts map[model.WorkerID]map[runKey]time.Duration
	presumed       presumedEnds
	registry       registryReads
	// formerStartsUntil is when the starts of former owners have arrived or are lost for certain.
	formerStartsUntil time.Duration
	// unsettled holds the tasks to record once no start of them is on its way.
	unsettled []unsettledTask
	// toCommand holds at least the workers with a run that may have to be started or stopped.
	toCommand map[*worker]bool
	teamUsage map[model.TeamID]model.Resources
	teamRates map[model.TeamID]*tokenBucket
	// activeStages holds the stages of the jobs that are not final.
	activeStages []*stage
	// cancelled holds the cancelled jobs, including those whose submission has not arrived yet.
	cancelled map[model.JobID]bool
	// held holds the jobs whose records can't be decoded.
	held map[model.JobID]bool

	// adviceRequests holds the stages that wait for an advice call.
	adviceRequests []adviceRequest
	adviceBudget   adviceBudget
	// permittedShares holds, for each queue, a moving average of the share of workers that the advice service permits.
	permittedShares map[string]float64

	dirtyJobs []*job
	// commitUrgent is set when a start or a client waits for the next commit. dirtySince is the time of the first
	// uncommitted change, and lastDropAt when submissions were last deleted.
	commitUrgent bool
	dirtySince   time.Duration
	lastDropAt   time.Duration

	// droppable holds the jobs whose submissions can be deleted, once the checks of takeDroppable allow it.
	droppable []model.JobID
	finalJobs []*job
	// inboxReadAt is when the last read of the submissions began whose records have been submitted.
	inboxReadAt   time.Duration
	nextCommit    uint64
	lastCommitted uint64
	stopped       bool
	// lastTick is the time of the last tick.
	lastTick time.Duration
	replan   bool
	// commitStart is when TakeCommit returned the commit in progress, or zero. commitLatency is how long the last commit
	// took.
	commitStart   time.Duration
	commitLatency time.Duration
	// freedWorkers holds the workers that gained free capacity since the last plan. stallsCheckedAt is when stalled
	// runs were last looked for.
	freedWorkers    map[*worker]bool
	stallsCheckedAt time.Duration
	leasesCheckedAt time.Duration
}

// tokenBucket limits the rate of jobs that count as within a team's share.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// New returns a shard without jobs or workers.
func New(cfg Config) *Shard {
	cfg.TasksPerRecord = cmp.Or(cfg.TasksPerRecord, defaultTasksPerRecord)
	return &Shard{
		cfg: cfg, jobs: make(map[model.JobID]*job), workers: make(map[model.WorkerID]*worker),
		teamUsage: make(map[model.TeamID]model.Resources), teamRates: make(map[model.TeamID]*tokenBucket),
		cancelled: make(map[model.JobID]bool), held: make(map[model.JobID]bool), permittedShares: make(map[string]float64), nextCommit: 1,
		inFlightStarts: make(map[model.WorkerID]map[runKey]time.Duration),
		presumed:       newPresumedEnds(),
		freedWorkers:   make(map[*worker]bool), toCommand: make(map[*worker]bool),
	}
}

func (s *Shard) emit(name, jobID, task string, w *worker, detail string, value int64) {
	if s.cfg.Events == nil {
		return
	}
	e := Event{Name: name, Job: jobID, Task: task, Detail: detail, Value: value}
	if w != nil {
		e.Worker = string(w.id)
	}
	s.cfg.Events(e)
}

// SetConfiguration applies a new version of the operators' configuration. Jobs of queues that were removed keep their queue's
// last settings.
func (s *Shard) SetConfiguration(configuration terms.Configuration) {
	s.configuration = configuration
	s.ticketlessQueues = slices.ContainsFunc(configuration.Queues, func(q terms.Queue) bool { return q.Advice == nil })
	for _, j := range s.jobs {
		if queue, ok := configuration.Queue(j.spec.Queue); ok {
			j.queue = queue
		}
	}
	s.retryAll()
}

// retryAll makes the next plan consider all waiting stages.
func (s *Shard) retryAll() {
	for _, st := range s.activeStages {
		st.retry = true
	}
	s.replan = true
}

// Submit adds a job unless its ID is known. The submission of a job whose final state is recorded is deleted again.
func (s *Shard) Submit(spec work.Job, now time.Duration) {
	if known, ok := s.jobs[spec.ID]; ok {
		if known.final != "" && known.finalCommit <= s.lastCommitted {
			s.dropSubmission(known)
		}
		return
	}
	if s.held[spec.ID] {
		return
	}
	j := newJob(spec, s.queueOf(spec), now)
	j.overShare = s.exceedsTeamShare(spec.Team, now)
	s.addJob(j)
	s.emit("job-taken", string(spec.ID), "", nil, spec.Queue, int64(len(s.activeStages)))
	if s.cancelled[spec.ID] {
		s.Cancel(spec.ID, now)
	}
}

// queueOf returns a job's queue or, if that was removed, the settings under which the job was accepted.
func (s *Shard) queueOf(spec work.Job) terms.Queue {
	queue, ok := s.configuration.Queue(spec.Queue)
	if !ok {
		s.emit("queue-removed", string(spec.ID), "", nil, spec.Queue, 0)
		if spec.QueueTerms != nil {
			return spec.QueueTerms.Queue(spec.Queue)
		}
	}
	return queue
}

func (s *Shard) addJob(j *job) {
	s.jobs[j.spec.ID] = j
	s.activeStages = append(s.activeStages, j.stages...)
	s.replan = true
}

// exceedsTeamShare reports whether a team submits more jobs per second than its share; if not, it takes a token from
// the team's bucket.
func (s *Shard) exceedsTeamShare(team model.TeamID, now time.Duration) bool {
	rate := s.configuration.Teams[team].Share
	if rate <= 0 {
		return false
	}
	burst := max(rate, minShareBurst)
	b, ok := s.teamRates[team]
	if !ok {
		b = &tokenBucket{tokens: burst, refilledAt: now}
		s.teamRates[team] = b
	}
	b.tokens = min(burst, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// Cancel cancels a job: no further task starts, and its runs are stopped. It also applies to a job that is submitted
// later.
func (s *Shard) Cancel(id model.JobID, now time.Duration) {
	s.cancelled[id] = true
	j, ok := s.jobs[id]
	if !ok || j.final != "" {
		return
	}
	j.cancelled = true
	s.emit("job-cancelled", string(id), "", nil, "", 0)
	s.finishJob(j, work.StateCancelled, now)
}

// finishJob makes a job final and stops its remaining runs.
func (s *Shard) finishJob(j *job, state work.State, now time.Duration) {
	j.final, j.finalCommit, j.finalAt = state, s.nextCommit, now
	s.commitUrgent = true
	// Of a final job only the runs that may be on workers are recorded.
	s.markPartsDirty(j)
	s.finalJobs = append(s.finalJobs, j)
	s.dropSubmission(j)
	j.eachAttempt(func(a *attempt) { s.stopRun(a, now) })
	for _, st := range j.stages {
		s.releaseReservation(st)
		// Final jobs are kept for long, and the answers are by far their largest part.
		st.answers = nil
	}
	s.activeStages = slices.DeleteFunc(s.activeStages, func(st *stage) bool { return st.job == j })
	s.dropAdviceRequests(j)
	s.replan = true
	s.emit("job-"+string(state), string(j.spec.ID), "", nil, j.spec.Queue, (now - j.received).Milliseconds())
}

// releaseReservation releases the capacity reserved for a stage.
func (s *Shard) releaseReservation(st *stage) {
	for w := range st.reserved {
		w.unreserve(st)
		s.freedWorkers[w] = true
	}
	st.reserved = nil
}

// markDirty adds a job's main record to the next commit.
func (s *Shard) markDirty(j *job) {
	if len(s.dirtyJobs) == 0 {
		s.dirtySince = s.lastTick
	}
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// SetRegistry replaces the workers' registry entries.
func (s *Shard) SetRegistry(entries []agent.Entry) {
	listed := make(map[model.WorkerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		w := s.ensureWorker(entry.ID)
		if w.entry.Draining != entry.Draining {
			s.emit("worker-draining", "", "", w, "", entry.MinTimeLeft.Milliseconds())
		}
		if !w.listed || w.entry.Draining != entry.Draining || w.entry.Incarnation != entry.Incarnation {
			s.freedWorkers[w] = true
		}
		if w.entry.Address != entry.Address {
			s.targetsVersion++
		}
		s.freeCoresChanged = s.freeCoresChanged || w.entry.Capacity != entry.Capacity
		w.entry, w.listed, w.missing, w.gone = entry, true, false, false
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		if w.listed {
			s.emit("worker-unlisted", "", "", w, "", int64(len(w.attempts)))
		}
		w.listed = false
		if len(w.attempts) == 0 {
			// The session ends with the entry: its heartbeat may be carried out after the worker is listed again.
			s.HeartbeatFailed(id, agent.ErrNoAnswer, s.lastTick)
			delete(s.workers, id)
			delete(s.presumed.leases, id)
			s.keepInFlightStarts(w)
			s.targetsVersion++
			s.membersChanged = true
			s.workersByID = slices.DeleteFunc(s.workersByID, func(other *worker) bool { return other == w })
			s.forgetAdvice(id)
		}
	}
	s.replan = true
}

// ensureWorker returns the worker with this ID and adds it if it is unknown.
func (s *Shard) ensureWorker(id model.WorkerID) *worker {
	if w := s.workers[id]; w != nil {
		return w
	}
	w := newWorker(id, s.lastGeneration)
	if starts, ok := s.inFlightStarts[id]; ok {
		w.inFlightStarts = starts
		delete(s.inFlightStarts, id)
	}
	s.workers[id], s.membersChanged = w, true
	at, _ := slices.BinarySearchFunc(s.workersByID, id, func(w *worker, id model.WorkerID) int { return cmp.Compare(w.id, id) })
	s.workersByID = slices.Insert(s.workersByID, at, w)
	return w
}

// forgetAdvice removes the advice about a worker, so that it is requested again.
func (s *Shard) forgetAdvice(id model.WorkerID) {
	for _, st := range s.activeStages {
		delete(st.answers, id)
	}
}

// TargetsVersion returns a number that rises whenever the result of Targets changes.
func (s *Shard) TargetsVersion() uint64 { return s.targetsVersion }

// Targets returns the workers to send heartbeats to, with their addresses.
func (s *Shard) Targets() []agent.Target {
	targets := make([]agent.Target, 0, len(s.workers))
	for _, w := range s.workersByID {
		if w.entry.Address != "" {
			targets = append(targets, agent.Target{ID: w.id, Address: w.entry.Address})
		}
	}
	return targets
}

// JobState returns the recorded state of a job, or false if the job is unknown.
func (s *Shard) JobState(id model.JobID) (work.State, bool) {
	j, ok := s.jobs[id]
	switch {
	case s.held[id]:
		return work.StateRunning, true
	case !ok:
		return "", false
	case j.final != "" && j.finalCommit <= s.lastCommitted:
		return j.final, true
	case j.started:
		return work.StateRunning, true
	default:
		return work.StateQueued, true
	}
}

// QueuedJobs returns how many accepted jobs of a queue have not started.
func (s *Shard) QueuedJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.spec.Queue == queue && j.final == "" && !j.started {
			n++
		}
	}
	return n
}

// Stop ends the ownership; the shard returns no more commands.
func (s *Shard) Stop() { s.stopped = true }

// Tick applies the effects of elapsed time and plans new starts; wall is the wall-clock time.
func (s *Shard) Tick(now time.Duration, wall time.Time) {
	if s.stopped {
		return
	}
	s.lastTick = now
	s.expireLeases(now)
	s.checkUnsettled(now)
	s.stopStalledRuns(now)
	s.plan(now, wall)
}

// expireLeases ends the runs on silent workers whose lease has certainly expired.
func (s *Shard) expireLeases(now time.Duration) {
	if now-s.leasesCheckedAt < leaseCheckInterval {
		return
	}
	s.leasesCheckedAt = now
	for _, w := range s.workersByID {
		if len(w.attempts) == 0 || now-w.lastReportAt < suspectAfter {
			continue
		}
		expired := sortedAttempts(w, func(a *attempt) bool { return now > s.leaseEndOf(a) })
		if len(expired) == 0 {
			continue
		}
		s.emit("worker-lapsed", "", "", w, "", (now - w.lastReportAt).Milliseconds())
		for _, a := range expired {
			s.endUnreported(a, goneLease, now)
		}
	}
}

// stopStalledRuns stops runs that show no progress and quarantines their workers.
func (s *Shard) stopStalledRuns(now time.Duration) {
	if now-s.stallsCheckedAt < stallCheckInterval {
		return
	}
	s.stallsCheckedAt = now
	for _, w := range s.workersByID {
		if now-w.lastReportAt > suspectAfter {
			continue
		}
		for _, a := range sortedAttempts(w, func(a *attempt) bool { return a.stalled(now) }) {
			a.stage.job.avoidWorker(w, now)
			// A task that was stopped before may only be slow.
			if t := a.task(); t.stalls == 0 {
				w.quarantinedUntil = now + quarantineTime
			}
			a.task().stalls++
			s.emit("run-stalled", string(a.stage.job.spec.ID), a.ref().String(), w, "", int64(a.percent))
			s.stopRun(a, now)
		}
	}
}

// stalled reports whether a run has started and shows no progress. Services have none, and the members of a gang wait for
// each other.
func (a *attempt) stalled(now time.Duration) bool {
	return a.phase == phaseStarted && !a.stage.spec.Service && !a.stage.spec.Gang && now-a.progressAt >= a.stallLimit()
}

// stallLimit returns how long the run may show no progress. A long task takes long for each percent.
func (a *attempt) stallLimit() time.Duration {
	limit := max(stallTimeout, stallPercents*a.stage.spec.RunTime.Std()/100, stallGaps*a.longestGap)
	return limit << min(a.task().stalls, maxStallDoublings)
}

func anyAttempt(*attempt) bool { return true }

// sortedAttempts returns the runs on a worker that meet the condition, in a fixed order.
func sortedAttempts(w *worker, condition func(*attempt) bool) []*attempt {
	var list []*attempt
	for _, a := range w.attempts {
		if condition(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		x, y := a.ref(), b.ref()
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Stage, y.Stage),
			cmp.Compare(x.Index, y.Index), cmp.Compare(a.run, b.run))
	})
	return list
}
