package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

// worker is the state of one incarnation of a worker.
type worker struct {
	id     model.WorkerID
	entry  agent.Entry
	listed bool
	// missing tells that a read of the registry has found no entry, and missingSince when the first of the uninterrupted reads
	// began that found none.
	missing      bool
	missingSince time.Duration
	// gone tells that the entry has been missing for longer than that of a worker that lives, as a read found that began at goneAt. The
	// worker carries out no command any more; an incarnation that starts later has an entry.
	gone        bool
	goneAt      time.Duration
	incarnation int64
	// tokenSeen tells that this incarnation has seen the owner's fencing token.
	tokenSeen bool
	attempts  map[runKey]*attempt
	used      model.Resources
	// freeCores are the cores that no run used when the workers were last sorted by them.
	freeCores model.MilliCores
	// unknownRuns holds runs that the worker reports but no job of this shard accounts for. The worker gets no new
	// tasks until these are stopped.
	unknownRuns map[runKey]*unknownRun
	// inFlightStarts holds, for runs without an attempt, until when an unanswered start may still reach the worker.
	inFlightStarts map[runKey]time.Duration
	// clock is a reading of the worker's clock, taken at clockReadAt or earlier.
	clock        time.Duration
	clockReadAt  time.Duration
	lastReportAt time.Duration
	// generation is part of the fencing token of the commands to the worker. It is raised when a command that may extend the
	// lease stays unanswered, so that the worker no longer carries out that command once it has answered a later one.
	generation int64
	// heartbeat is the heartbeat that is under way.
	heartbeat sentHeartbeat
	// renewedAt is when the lease was last renewed.
	renewedAt time.Duration
	// grants holds the commands that may extend the lease and that are under way, or that stayed unanswered and are not void yet.
	grants []*grant
	// voidUntil is when the last command that is void for the incarnation that reported last has arrived or is lost for certain.
	// The next incarnation may still carry it out.
	voidUntil time.Duration
	// leaseEnd is the time by which every lease granted to the incarnation that reported last has expired, unless one of the
	// grants extends it.
	leaseEnd time.Duration
	// formerLeaseEnd is the same for the leases that late commands of a former owner grant. It doesn't matter for a worker that
	// counts as gone.
	formerLeaseEnd time.Duration
	// unreportedLeaseEnd is the same for an incarnation that has not reported yet, but that a start may have reached.
	unreportedLeaseEnd time.Duration
	// lastEndSeen is the number of the last ended run that was processed, ackedEnd that of the last one that may be
	// acknowledged. pendingAcks holds the ended runs to acknowledge later, with the commits that record them.
	lastEndSeen int64
	ackedEnd    int64
	pendingAcks []pendingAck
	// reportConnection identifies the connection of the last report. Over another one, the worker's next incarnation may
	// answer, in which the numbers of ended runs mean others.
	reportConnection uint64

	// firstHeldEnd is the number of the first ended run of a held job, or zero; no end from it on is acknowledged. heldRunAt
	// is when the worker last reported a run of a held job, or left open whether it still has it.
	firstHeldEnd int64
	heldRunAt    time.Duration

	consecutiveFailures int
	lastFailedJob       model.JobID
	quarantinedUntil    time.Duration
	reservations        map[*stage]model.Resources
	// permittedFor holds at least the stages with tasks to start that the advice service permits here.
	permittedFor map[*stage]bool
}

// pendingAck is an ended run that is acknowledged to the worker once the commit is recorded and the run can't start once more.
type pendingAck struct {
	number       int64
	commitNumber uint64
	notBefore    time.Duration
}

// due reports whether the ended run may be acknowledged.
func (p pendingAck) due(lastCommitted uint64, now time.Duration) bool {
	return p.commitNumber <= lastCommitted && now >= p.notBefore
}

// unknownRun is a run that the worker reports, or might still start, but no job of this shard accounts for.
type unknownRun struct {
	stopPending bool
	notBefore   time.Duration
	// mayArrive tells that a start may still be in flight; once a stop is confirmed, the worker refuses that start.
	mayArrive bool
}

func newWorker(id model.WorkerID, generation int64) *worker {
	return &worker{
		id: id, generation: generation, attempts: make(map[runKey]*attempt), unknownRuns: make(map[runKey]*unknownRun),
		inFlightStarts: make(map[runKey]time.Duration), reservations: make(map[*stage]model.Resources),
		permittedFor: make(map[*stage]bool),
	}
}

// noteInFlightStart keeps in mind that a start of a run that has ended may still reach a later incarnation of the worker.
func (w *worker) noteInFlightStart(a *attempt, now time.Duration) {
	maps.DeleteFunc(w.inFlightStarts, func(_ runKey, until time.Duration) bool { return now >= until })
	if now < a.startInFlightUntil {
		w.inFlightStarts[a.key()] = a.startInFlightUntil
	}
}

// keepInFlightStarts keeps the starts in flight of a worker that is no longer listed: it may start again under its ID.
func (s *Shard) keepInFlightStarts(w *worker) {
	s.inFlightStarts[w.id] = w.inFlightStarts
	for id, starts := range s.inFlightStarts {
		maps.DeleteFunc(starts, func(_ runKey, until time.Duration) bool { return s.lastTick >= until })
		if len(starts) == 0 {
			delete(s.inFlightStarts, id)
		}
	}
}

// entryIsCurrent reports whether the worker's entry and its reports are of the same incarnation. The next one may have another
// capacity and other labels, and starts under the same ID and address.
func (w *worker) entryIsCurrent() bool {
	return w.entry.Incarnation == 0 || w.incarnation == 0 || w.entry.Incarnation == w.incarnation
}

// holdsHeldRun reports whether the worker may have a run of a held job: the last report that lists all runs lists one.
func (w *worker) holdsHeldRun() bool { return w.heldRunAt > 0 && w.heldRunAt >= w.lastReportAt }

// usable reports whether new tasks may be sent to the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && w.tokenSeen && w.entryIsCurrent() && !w.entry.Draining && len(w.unknownRuns) == 0 && !w.holdsHeldRun() &&
		now-w.lastReportAt < suspectAfter
}

// freeFor returns the capacity that is free for a stage: what is used neither by runs nor by reservations of other
// stages whose queue is at least as urgent.
func (w *worker) freeFor(st *stage) model.Resources {
	free := w.entry.Capacity.Minus(w.used)
	for other, reserved := range w.reservations {
		if other != st && other.job.queue.Priority <= st.job.queue.Priority {
			free = free.Minus(reserved)
		}
	}
	return free
}

// workersByFreeCores returns the workers with the least free cores first, and equal ones by ID.
func (s *Shard) workersByFreeCores() []*worker {
	if s.membersChanged {
		s.byFreeCores = slices.Clone(s.workersByID)
	}
	if !s.membersChanged && !s.freeCoresChanged {
		return s.byFreeCores
	}
	for _, w := range s.byFreeCores {
		w.freeCores = w.entry.Capacity.Cores - w.used.Cores
	}
	if s.membersChanged {
		slices.SortFunc(s.byFreeCores, compareByFreeCores)
	} else {
		insertionSort(s.byFreeCores)
	}
	s.membersChanged, s.freeCoresChanged = false, false
	return s.byFreeCores
}

// insertionSort sorts workers of which only a few are out of order, because runs were added or ended there, in little time.
func insertionSort(workers []*worker) {
	for i, w := range workers {
		at := i
		for at > 0 && compareByFreeCores(w, workers[at-1]) < 0 {
			workers[at] = workers[at-1]
			at--
		}
		workers[at] = w
	}
}

func compareByFreeCores(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.freeCores, b.freeCores), cmp.Compare(a.id, b.id))
}

// hasAttemptToCommand reports whether a run on the worker may have to be started or stopped.
func (w *worker) hasAttemptToCommand() bool {
	for _, a := range w.attempts {
		if a.mayNeedCommand() {
			return true
		}
	}
	return false
}

// mayNeedCommand reports whether the run may have to be started or stopped.
func (a *attempt) mayNeedCommand() bool { return a.phase != phaseStarted }

// addUnknownRun adds a run that has to be stopped.
func (s *Shard) addUnknownRun(w *worker, key runKey, run unknownRun) {
	w.unknownRuns[key] = &run
	s.toCommand[w] = true
}

// reservedForOther reports whether capacity on the worker is reserved for another stage.
func (w *worker) reservedForOther(st *stage) bool {
	_, own := w.reservations[st]
	return len(w.reservations) > 1 || (len(w.reservations) == 1 && !own)
}

// reservableCapacity returns the capacity that the stage may reserve: all that isn't reserved for others.
func (w *worker) reservableCapacity(st *stage) model.Resources {
	capacity := w.entry.Capacity
	for other, reserved := range w.reservations {
		if other != st {
			capacity = capacity.Minus(reserved)
		}
	}
	return capacity
}

// newLeaseEnd returns the end of a new lease on the worker's clock and updates the time by which it has certainly
// expired. It returns zero while the worker's clock is unknown.
func (w *worker) newLeaseEnd(now, duration time.Duration) time.Duration {
	if !w.tokenSeen {
		return 0
	}
	end := w.clock + (now - w.clockReadAt) + duration
	w.leaseEnd = max(w.leaseEnd, w.clockReadAt+onSlowestClock(end-w.clock)+leaseExpiryMargin)
	return end
}

// longestLeaseEnd returns the time by which a lease has expired that a worker was granted at this time, whatever end the command
// named: an incarnation that the owner doesn't know shortens an end on the clock of the one before to the longest lease.
func (s *Shard) longestLeaseEnd(granted time.Duration) time.Duration {
	return leaseEndAfter(granted, s.cfg.MaxLease)
}

// leaseEndAfter returns the time by which a lease has expired that a worker was granted at this time.
func leaseEndAfter(granted, lease time.Duration) time.Duration {
	return granted + onSlowestClock(lease) + leaseExpiryMargin
}

// onSlowestClock returns how long a duration on a worker's clock may last.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockDrift))
}

// noteStartResult takes into account that a start may have reached an incarnation that the owner didn't know when it sent the
// start.
func (s *Shard) noteStartResult(cmd StartCommand, result error, now time.Duration) {
	if !mayHaveGranted(result) {
		return
	}
	w := cmd.attempt.worker
	w.unreportedLeaseEnd = s.longestLeaseEnd(now)
	if cmd.incarnation != w.incarnation {
		w.leaseEnd = max(w.leaseEnd, w.unreportedLeaseEnd)
	}
}

// ackableEnd returns the highest number of an ended run that may be acknowledged: that run and all ended before it are
// recorded and can't start once more.
func (w *worker) ackableEnd(lastCommitted uint64, now time.Duration) int64 {
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].due(lastCommitted, now) {
		w.ackedEnd = w.pendingAcks[0].number
		w.pendingAcks = w.pendingAcks[1:]
	}
	if w.firstHeldEnd > 0 {
		return min(w.ackedEnd, w.firstHeldEnd-1)
	}
	return w.ackedEnd
}

// reserve reserves capacity for n more tasks of the stage on a worker.
func (st *stage) reserve(w *worker, n int) {
	if st.reserved == nil {
		st.reserved = make(map[*worker]model.Resources)
	}
	st.reserved[w] = st.reserved[w].Plus(st.demand().Times(n))
	w.reservations[st] = st.reserved[w]
}

func (w *worker) unreserve(st *stage) { delete(w.reservations, st) }
