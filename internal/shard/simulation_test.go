package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/work"
)

const (
	simMaxLease    = 10 * time.Second
	simKillGrace   = 400 * time.Millisecond
	simGangTimeout = 3 * time.Second
	simRetention   = 4 * time.Second
	// simTasksPerRecord lets most jobs be recorded in parts.
	simTasksPerRecord = 2
)

// simRun is a run on a simulated worker; it uses the worker's capacity until it has ended.
type simRun struct {
	key      runKey
	size     model.Resources
	gang     bool
	stopping bool
	// stray tells that a late start brought the run to another incarnation than the one it was meant for.
	stray  bool
	stopAt time.Duration
	// waitingSince is the reading of the worker's clock when a gang member began to wait for the others; negative once
	// all members are present.
	waitingSince time.Duration
}

// simWorker is a simulated worker that behaves as the platform guarantees.
type simWorker struct {
	id          model.WorkerID
	up          bool
	unreachable bool
	draining    bool
	incarnation int64
	// connection identifies the owner's connection for heartbeats. It ends with the incarnation, and with a heartbeat that
	// gets no answer.
	connection uint64
	clockRate  float64
	clock      time.Duration
	token      int64
	leaseEnd   time.Duration
	runs       map[runKey]*simRun
	// superseded holds, for each task, the highest run that has ended or was stopped on the worker. The worker refuses starts
	// of this and earlier runs.
	superseded map[work.TaskRef]int
	ends       []agent.EndedRun
	lastEnd    int64
	// lastUncountedEnd is the number of the last run that had ended when the lease last expired. Under the platform's
	// rules, the acknowledgement of an ended run up to this number doesn't count.
	lastUncountedEnd int64
}

// delayedCommand is a command that arrives after newer ones. Whether it reaches another incarnation of the worker is one of
// the simOptions.
type delayedCommand struct {
	deliverAt   time.Duration
	worker      *simWorker
	incarnation int64
	// sentAt is the reading of the worker's clock when the command was sent.
	sentAt    time.Duration
	start     *StartCommand
	stop      *StopCommand
	heartbeat *agent.Heartbeat
}

// cluster simulates the workers and a store that loses nothing for the property test, and checks the invariants at each
// step.
type cluster struct {
	t       *rapid.T
	options simOptions
	now     time.Duration
	wall    time.Time
	workers []*simWorker
	delayed []delayedCommand
	shard   *Shard
	token   int64
	jobs    map[model.JobID]work.Job
	// submissions, cancelled and progress are the store's records. drops holds the submissions of which the deletion is in
	// progress, and expired the jobs of which the progress record was deleted.
	submissions map[model.JobID]bool
	cancelled   map[model.JobID]bool
	progress    map[string]work.Progress
	drops       []string
	expired     map[model.JobID]bool
	// acknowledgedDone holds the tasks with an acknowledged success, succeeded those with any success.
	acknowledgedDone     map[work.TaskRef]bool
	succeeded            map[work.TaskRef]bool
	acknowledgedFailures map[work.TaskRef]map[int]bool
	// shownCompleted holds the jobs that clients have seen as completed.
	shownCompleted map[model.JobID]bool
	// storeDown is set while the store records nothing.
	storeDown bool
	submitted int
	// reports holds the answers to heartbeats that are under way.
	reports []slowReport
	// former is the owner before the present one while it goes on, and lostAt when it lost the ownership.
	former *Shard
	lostAt time.Duration
}

func newCluster(t *rapid.T, options simOptions) *cluster {
	cl := &cluster{
		t: t, options: options, now: time.Minute, wall: time.Unix(1_700_000_000, 0), jobs: make(map[model.JobID]work.Job),
		submissions: make(map[model.JobID]bool), cancelled: make(map[model.JobID]bool),
		progress: make(map[string]work.Progress), expired: make(map[model.JobID]bool),
		acknowledgedDone: make(map[work.TaskRef]bool),
		succeeded:        make(map[work.TaskRef]bool), acknowledgedFailures: make(map[work.TaskRef]map[int]bool),
		shownCompleted: make(map[model.JobID]bool),
	}
	for i := range 4 {
		cl.workers = append(cl.workers, &simWorker{
			id: model.WorkerID(fmt.Sprintf("w%d", i)), up: true, incarnation: 1, clockRate: 0.98 + 0.01*float64(i%3),
			clock: options.uptime,
			runs:  make(map[runKey]*simRun), superseded: make(map[work.TaskRef]int),
		})
	}
	cl.takeOver()
	return cl
}

// takeOver starts a new owner from the recorded state; commands of the former owner may still be in flight.
func (cl *cluster) takeOver() {
	cl.token++
	cl.former, cl.lostAt = cl.shard, cl.now
	cl.shard = New(Config{
		Epoch: cl.token, Lease: testLease, MaxLease: simMaxLease, RenewLimit: 3 * time.Second,
		KillGrace: simKillGrace, GangTimeout: simGangTimeout,
		Retention: simRetention, TasksPerRecord: simTasksPerRecord,
	})
	cl.drops = nil
	cl.shard.SetConfiguration(testConfiguration())
	r := RecordedState{Progress: joinRecords(cl.t, cl.progress)}
	for _, id := range slices.Sorted(maps.Keys(cl.submissions)) {
		r.Jobs = append(r.Jobs, cl.jobs[id])
	}
	r.Cancelled = slices.Sorted(maps.Keys(cl.cancelled))
	cl.shard.Restore(r, cl.now, cl.wall)
	cl.register()
}

func (cl *cluster) register() {
	var entries []agent.Entry
	for _, w := range cl.workers {
		if w.up {
			entries = append(entries, agent.Entry{
				ID: w.id, Pool: testPool, Address: string(w.id), DataCentre: "dc1", Draining: w.draining,
				Capacity: model.Resources{Cores: 4000, Memory: 4000},
			})
		}
	}
	cl.shard.SetRegistry(entries)
}

func (cl *cluster) workerByID(id model.WorkerID) *simWorker {
	return cl.workers[slices.IndexFunc(cl.workers, func(w *simWorker) bool { return w.id == id })]
}

func (cl *cluster) stageOf(task work.TaskRef) work.Stage { return cl.jobs[task.Job].Stages[task.Stage] }

// advance lets time pass: leases expire, stopped runs end, delayed commands arrive.
func (cl *cluster) advance(d time.Duration) {
	cl.now += d
	cl.wall = cl.wall.Add(d)
	for _, w := range cl.workers {
		if !w.up {
			continue
		}
		w.clock += time.Duration(float64(d) * w.clockRate)
		if w.clock > w.leaseEnd {
			w.lastUncountedEnd = w.lastEnd
		}
		for _, run := range w.sortedRuns() {
			switch {
			case w.runs[run.key] != run:
			case w.clock > w.leaseEnd:
				cl.endRun(w, run, agent.OutcomeLeaseExpired)
			case run.stopping && cl.now >= run.stopAt:
				cl.endRun(w, run, agent.OutcomeStopped)
			case run.gang && run.waitingSince >= 0 && w.clock-run.waitingSince > simGangTimeout:
				cl.endRun(w, run, agent.OutcomeGangIncomplete)
			}
		}
	}
	due := cl.delayed
	cl.delayed = nil
	for _, d := range due {
		switch {
		case cl.now < d.deliverAt:
			cl.delayed = append(cl.delayed, d)
		default:
			cl.arrive(d)
		}
	}
	cl.checkInvariants()
}

func (w *simWorker) sortedRuns() []*simRun {
	list := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(list, func(a, b *simRun) int {
		if a.key.task != b.key.task {
			return slices.Compare([]byte(a.key.task.String()), []byte(b.key.task.String()))
		}
		return a.key.run - b.key.run
	})
	return list
}

// endRun removes a run and lists its end; the other members of its gang end too.
func (cl *cluster) endRun(w *simWorker, run *simRun, outcome agent.RunOutcome) {
	delete(w.runs, run.key)
	w.lastEnd++
	w.superseded[run.key.task] = max(w.superseded[run.key.task], run.key.run)
	w.ends = append(w.ends, agent.EndedRun{Number: w.lastEnd, Task: run.key.task, Run: run.key.run, Outcome: outcome})
	if outcome == agent.OutcomeDone {
		cl.succeeded[run.key.task] = true
	}
	if run.gang {
		cl.endGangMembers(run.key, outcome)
	}
}

func (cl *cluster) endGangMembers(key runKey, outcome agent.RunOutcome) {
	if outcome == agent.OutcomeDone {
		for i := range cl.stageOf(key.task).Count {
			member := key.task
			member.Index = i
			cl.succeeded[member] = true
		}
	}
	for _, w := range cl.workers {
		for _, run := range w.sortedRuns() {
			if run.key.task.Job != key.task.Job || run.key.task.Stage != key.task.Stage || run.key.run != key.run ||
				w.runs[run.key] != run {
				continue
			}
			delete(w.runs, run.key)
			w.lastEnd++
			w.superseded[run.key.task] = max(w.superseded[run.key.task], run.key.run)
			other := agent.OutcomeGangBroken
			if outcome == agent.OutcomeDone {
				other = agent.OutcomeDone
			}
			w.ends = append(w.ends, agent.EndedRun{Number: w.lastEnd, Task: run.key.task, Run: run.key.run, Outcome: other})
		}
	}
}

func (w *simWorker) describe() string {
	text := fmt.Sprintf("(incarnation %d)", w.incarnation)
	for _, run := range w.sortedRuns() {
		text += fmt.Sprintf(" %v run %d stopping %v", run.key.task, run.key.run, run.stopping)
	}
	return text
}

func (w *worker) describe() string {
	text := fmt.Sprintf("(incarnation %d, used %+v)", w.incarnation, w.used)
	for _, a := range sortedAttempts(w, anyAttempt) {
		text += fmt.Sprintf(" %v run %d phase %d visible since %v command pending %v",
			a.ref(), a.run, a.phase, a.visibleSince, a.commandPending)
	}
	return text
}

// acceptToken reports whether the worker accepts a command with this fencing token, and remembers the highest.
func (w *simWorker) acceptToken(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

func (w *simWorker) extendLease(end time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(end, w.clock+simMaxLease))
}

// applyStart carries out a start and checks the invariants that apply to it.
func (cl *cluster) applyStart(cmd StartCommand) (time.Duration, error) {
	w := cl.workerByID(cmd.Target.ID)
	key := runKey{cmd.Start.Task, cmd.Start.Run}
	switch {
	case !w.up:
		return 0, agent.ErrNoAnswer
	case !w.acceptToken(cmd.Start.Token):
		return w.clock, agent.ErrFenced
	case w.runs[key] != nil:
		return w.clock, nil
	case cmd.Start.Run <= w.superseded[key.task]:
		// The lease is extended even so.
		w.extendLease(cmd.Start.LeaseEnd)
		return w.clock, agent.ErrRunSuperseded
	case cmd.Start.LeaseEnd <= w.clock:
		return w.clock, agent.ErrDeadlinePassed
	}
	w.extendLease(cmd.Start.LeaseEnd)
	stage := cl.stageOf(key.task)
	w.runs[key] = &simRun{key: key, size: stage.Size, gang: stage.Gang, waitingSince: w.clock}
	cl.startGangIfComplete(key, stage)
	cl.checkStart(key)
	return w.clock, nil
}

// members returns the members of a gang's run that are present on workers.
func (cl *cluster) members(key runKey) []*simRun {
	var list []*simRun
	for _, w := range cl.workers {
		for _, run := range w.sortedRuns() {
			if run.gang && run.key.task.Job == key.task.Job && run.key.task.Stage == key.task.Stage && run.key.run == key.run {
				list = append(list, run)
			}
		}
	}
	return list
}

// startGangIfComplete lets a gang run once all its members are present.
func (cl *cluster) startGangIfComplete(key runKey, stage work.Stage) {
	if members := cl.members(key); len(members) == stage.Count {
		for _, run := range members {
			run.waitingSince = -1
		}
	}
}

// checkStart fails the test if the run must not start now.
func (cl *cluster) checkStart(key runKey) {
	job := cl.jobs[key.task.Job]
	for _, earlier := range job.Stages[key.task.Stage].After {
		for i := range job.Stages[earlier].Count {
			if !cl.succeeded[work.TaskRef{Job: key.task.Job, Stage: earlier, Index: i}] {
				cl.t.Fatalf("%v run %d started before stage %d was done", key.task, key.run, earlier)
			}
		}
	}
	if cl.shownCompleted[key.task.Job] {
		cl.t.Fatalf("%v run %d started after its job was shown as completed", key.task, key.run)
	}
	if cl.acknowledgedDone[key.task] {
		cl.t.Fatalf("%v run %d started after an acknowledged success", key.task, key.run)
	}
	if len(cl.acknowledgedFailures[key.task]) >= 2 {
		cl.t.Fatalf("%v run %d started after %d acknowledged failures",
			key.task, key.run, len(cl.acknowledgedFailures[key.task]))
	}
}

func (cl *cluster) applyStop(cmd StopCommand) (time.Duration, error) {
	w := cl.workerByID(cmd.Target.ID)
	switch {
	case !w.up:
		return 0, agent.ErrNoAnswer
	case !w.acceptToken(cmd.Stop.Token):
		return w.clock, agent.ErrFenced
	}
	w.superseded[cmd.Stop.Task] = max(w.superseded[cmd.Stop.Task], cmd.Stop.Run)
	if run := w.runs[runKey{cmd.Stop.Task, cmd.Stop.Run}]; run != nil && !run.stopping {
		run.stopping, run.stopAt = true, cl.now+simKillGrace
	}
	return w.clock, nil
}

// exchangeHeartbeat sends a heartbeat and applies the worker's report, unless, as the delivery says, the heartbeat is lost, the
// report is lost ("unanswered") or slow ("slow"), or the heartbeat takes effect later ("late").
func (cl *cluster) exchangeHeartbeat(w *simWorker, delivery string) {
	if cl.awaitsReport(w) {
		return
	}
	heartbeat, ok := cl.shard.HeartbeatFor(w.id, cl.now, true)
	if !ok || !w.up || w.unreachable {
		return
	}
	if heartbeat.ReportConnection != w.connection {
		heartbeat.Acked, heartbeat.LeaseEnd = 0, 0
	}
	if delivery == "lost" || delivery == "late" {
		w.connection++
		if delivery == "late" {
			cl.delay(w, delayedCommand{heartbeat: &heartbeat})
		}
		return
	}
	report, ok := cl.applyHeartbeat(w, heartbeat)
	if !ok {
		cl.t.Fatalf("%s has seen a higher token than the owner's", w.id)
	}
	if delivery == "unanswered" {
		w.connection++
		return
	}
	report.Connection = w.connection
	if delivery == "slow" {
		cl.reports = append(cl.reports, slowReport{cl.shard, w, report, cl.now + simReportTimeout})
		return
	}
	cl.shard.ApplyReport(w.id, report, cl.now)
}

// applyHeartbeat carries out a heartbeat and returns the worker's report, or false if the worker has seen a higher token.
func (cl *cluster) applyHeartbeat(w *simWorker, heartbeat agent.Heartbeat) (agent.Report, bool) {
	if !w.acceptToken(heartbeat.Token) {
		return agent.Report{}, false
	}
	w.extendLease(heartbeat.LeaseEnd)
	w.ends = slices.DeleteFunc(w.ends, func(e agent.EndedRun) bool {
		if e.Number > heartbeat.Acked {
			return false
		}
		if e.Number > w.lastUncountedEnd {
			cl.recordAcknowledged(e)
		}
		return true
	})
	w.clock += time.Millisecond
	report := agent.Report{Clock: w.clock, Incarnation: w.incarnation, Ended: slices.Clone(w.ends)}
	for _, run := range w.sortedRuns() {
		report.Running = append(report.Running,
			agent.ActiveRun{Task: run.key.task, Run: run.key.run, Percent: int(cl.now / time.Second)})
	}
	return report, true
}

func (cl *cluster) recordAcknowledged(e agent.EndedRun) {
	switch e.Outcome {
	case agent.OutcomeDone:
		cl.acknowledgedDone[e.Task] = true
	case agent.OutcomeFailed:
		if cl.acknowledgedFailures[e.Task] == nil {
			cl.acknowledgedFailures[e.Task] = make(map[int]bool)
		}
		cl.acknowledgedFailures[e.Task][e.Run] = true
	case agent.OutcomeStopped, agent.OutcomeLeaseExpired, agent.OutcomeGangBroken, agent.OutcomeGangIncomplete:
	}
}

func (cl *cluster) commit() {
	if cl.storeDown {
		return
	}
	cl.deleteSubmissions()
	c := cl.shard.TakeCommit(cl.now)
	if c.Empty() {
		return
	}
	cl.drops = append(cl.drops, c.Dropped...)
	for _, id := range c.Expired {
		delete(cl.progress, id)
		cl.expired[model.JobID(id)] = true
	}
	cl.writeProgress(c.Progress)
	cl.shard.MarkCommitted(c.Number)
}

// writeProgress carries out an append of progress records.
func (cl *cluster) writeProgress(records []JobProgress) {
	for _, p := range records {
		key := work.ProgressKey(model.JobID(p.ID), p.Part)
		cl.progress[key] = p.Progress
		if p.Deleted() {
			delete(cl.progress, key)
		}
	}
}

// deleteSubmissions carries out the deletions of submissions that an earlier commit asked for.
func (cl *cluster) deleteSubmissions() {
	for _, id := range cl.drops {
		delete(cl.submissions, model.JobID(id))
		delete(cl.cancelled, model.JobID(id))
	}
	cl.shard.MarkDropped(cl.drops)
	cl.drops = nil
}

// sendCommands carries out the owner's commands; nextDelivery returns how the next one is delivered.
func (cl *cluster) sendCommands(nextDelivery func() string) {
	cl.shard.Tick(cl.now, cl.wall)
	cl.commit()
	commands := cl.shard.TakeCommands(cl.now)
	for _, cmd := range commands.Starts {
		clock, err := cl.deliver(nextDelivery(), cl.workerByID(cmd.Target.ID), delayedCommand{start: &cmd})
		cl.shard.ApplyStartResult(cmd, clock, err, cl.now)
	}
	for _, cmd := range commands.Stops {
		clock, err := cl.deliver(nextDelivery(), cl.workerByID(cmd.Target.ID), delayedCommand{stop: &cmd})
		cl.shard.ApplyStopResult(cmd, clock, err, cl.now)
	}
	for _, call := range allAdviceCalls(cl.shard, cl.now) {
		advice := agent.Advice{Tickets: make(map[model.WorkerID]string), Valid: model.Duration(2 * time.Second)}
		for i, id := range call.Request.Workers {
			if (i+len(call.Request.Stage.Job))%3 > 0 || i == 0 {
				advice.Tickets[id] = "ticket"
			}
		}
		cl.shard.ApplyAdvice(call, advice, nil, cl.now)
	}
	cl.checkInvariants()
}

// deliver carries out a command at once, or, as the delivery says, never ("lost"), later ("late") or with its answer lost
// ("unanswered").
func (cl *cluster) deliver(delivery string, w *simWorker, d delayedCommand) (time.Duration, error) {
	if w.unreachable {
		return 0, agent.ErrNoAnswer
	}
	switch delivery {
	case "lost":
		return 0, agent.ErrNoAnswer
	case "late":
		cl.delay(w, d)
		return 0, agent.ErrNoAnswer
	}
	clock, err := time.Duration(0), error(nil)
	if d.start != nil {
		clock, err = cl.applyStart(*d.start)
	} else {
		clock, err = cl.applyStop(*d.stop)
	}
	if delivery == "unanswered" {
		return 0, agent.ErrNoAnswer
	}
	return clock, err
}

// checkIndexes fails the test if what the shard keeps besides its workers doesn't match them.
func (cl *cluster) checkIndexes() {
	sorted := cl.shard.workersByFreeCores()
	if len(sorted) != len(cl.shard.workers) || !slices.IsSortedFunc(sorted, compareByFreeCores) {
		cl.t.Fatalf("workers aren't sorted by free cores")
	}
	for _, w := range cl.shard.workersByID {
		if w.freeCores != w.entry.Capacity.Cores-w.used.Cores {
			cl.t.Fatalf("%s is sorted with %d free cores, used %d", w.id, w.freeCores, w.used.Cores)
		}
		if (w.hasAttemptToCommand() || len(w.unknownRuns) > 0) && !cl.shard.toCommand[w] {
			cl.t.Fatalf("%s would get no commands: %s", w.id, w.describe())
		}
	}
}

// checkInvariants fails the test if the current runs or job states violate an invariant.
func (cl *cluster) checkInvariants() {
	cl.checkIndexes()
	where := make(map[work.TaskRef]model.WorkerID)
	usage := make(map[model.TeamID]model.Resources)
	for _, w := range cl.workers {
		used := model.Resources{}
		for _, run := range w.sortedRuns() {
			if other, twice := where[run.key.task]; twice {
				cl.t.Fatalf("%v runs on %s and %s", run.key.task, other, w.id)
			}
			where[run.key.task] = w.id
			if run.stray {
				continue
			}
			used = used.Plus(run.size)
			team := cl.jobs[run.key.task.Job].Team
			usage[team] = usage[team].Plus(run.size)
		}
		if !used.Fits(model.Resources{Cores: 4000, Memory: 4000}) {
			cl.t.Fatalf("%s is over its capacity: %+v, runs %v, owner's view %+v",
				w.id, used, w.describe(), cl.shard.workers[w.id].describe())
		}
	}
	if usage["capped"].Cores > 2000 {
		cl.t.Fatalf("a team is over its limit: %+v", usage["capped"])
	}
	for id, job := range cl.jobs {
		if state, _ := cl.shard.JobState(id); state == work.StateCompleted {
			cl.shownCompleted[id] = true
			cl.checkCompleted(job)
		}
	}
}

func (cl *cluster) checkCompleted(job work.Job) {
	for st, stage := range job.Stages {
		for i := range stage.Count {
			if task := (work.TaskRef{Job: job.ID, Stage: st, Index: i}); !cl.succeeded[task] {
				cl.t.Fatalf("%s is completed though %v has not succeeded", job.ID, task)
			}
		}
	}
}
