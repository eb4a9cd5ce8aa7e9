package shard

import (
	"fmt"
	"time"

	"arbutuswing.example/internal/agent"
	"arbutuswing.example/internal/model"
)

const (
	// presumedEndRetention is how long a presumed end is compared with the worker's later reports. It outlasts the longest wait
	// for a late command and the lease that it may grant.
	presumedEndRetention = time.Minute
	// maxPresumedEnds bounds the number of presumed ends that are kept; the oldest go first.
	maxPresumedEnds = 2000
	// maxMarginAnswerTime is the longest answer whose reading of the worker's clock is precise enough for a margin.
	maxMarginAnswerTime = 100 * time.Millisecond
)

// goneReason is what proves that a run is gone whose end no worker has reported.
type goneReason string

const (
	goneLease       goneReason = "lease-expired"
	goneNotListed   goneReason = "not-listed"
	goneIncarnation goneReason = "worker-restarted"
)

// leaseBound is the term of leaseEndOf that a lease's expiry was waited for.
type leaseBound string

const (
	boundNone            leaseBound = "none"
	boundOwnLease        leaseBound = "own-lease"
	boundFormerLease     leaseBound = "former-lease"
	boundFormerLate      leaseBound = "former-late-command"
	boundUnreported      leaseBound = "unreported-incarnation"
	boundCommandInFlight leaseBound = "command-in-flight"
)

// presumedEnd is a run that counts as ended though no worker has reported its end.
type presumedEnd struct {
	worker model.WorkerID
	// incarnation is that of the worker's last report, or zero if it has not reported to this owner.
	incarnation int64
	reason      goneReason
	bound       leaseBound
	// inherited tells that a former owner bound the run.
	inherited bool
	at        time.Duration
	// silence is the time since the worker's last report.
	silence time.Duration
	// leaseEnd is the latest lease end on the worker's clock that this owner has named to the incarnation, or zero.
	leaseEnd time.Duration
	// clock is the last reading of that clock, read at clockReadAt.
	clock       time.Duration
	clockReadAt time.Duration
}

// onOther reports whether the run was presumed to be on another incarnation than this one.
func (e presumedEnd) onOther(incarnation int64) bool {
	return e.incarnation != 0 && e.incarnation != incarnation
}

// precedes reports whether the worker was asked for its last report after the end was presumed. It may have given an earlier answer
// before that, which an owner that stood still reads late.
func (e presumedEnd) precedes(w *worker) bool { return w.heartbeat.sentAt >= e.at }

// clockRate returns how fast the worker's clock ran from the last report before the presumed end to a later reading.
func (e presumedEnd) clockRate(clock, readAt time.Duration) float64 {
	return float64(clock-e.clock) / float64(readAt-e.clockReadAt)
}

// lapsedAt returns when the worker's clock read the end of its lease, according to a reading before and a later one.
func (e presumedEnd) lapsedAt(clock, readAt time.Duration) time.Duration {
	return e.clockReadAt + time.Duration(float64(e.leaseEnd-e.clock)/e.clockRate(clock, readAt))
}

// presumedEnds keeps the latest presumed ends, to compare them with what the workers report later.
type presumedEnds struct {
	byRun map[runKey]presumedEnd
	// order lists them by time. It may name some that were reported or replaced since.
	order []presumedRun
	// leases holds the latest lease end that was named to each worker.
	leases map[model.WorkerID]namedLease
	// overlaps holds, for runs on workers, another run of the task that was listed meanwhile.
	overlaps map[runKey]overlap
}

// overlap is a run that a worker listed at a time.
type overlap struct {
	worker model.WorkerID
	run    int
	at     time.Duration
}

type presumedRun struct {
	key runKey
	at  time.Duration
}

// namedLease is a lease end on the clock of an incarnation of a worker.
type namedLease struct {
	incarnation int64
	end         time.Duration
}

func newPresumedEnds() presumedEnds {
	return presumedEnds{
		byRun: make(map[runKey]presumedEnd), leases: make(map[model.WorkerID]namedLease), overlaps: make(map[runKey]overlap),
	}
}

// add adds a presumed end and drops those that are too old or too many.
func (p *presumedEnds) add(key runKey, end presumedEnd) {
	p.byRun[key] = end
	p.order = append(p.order, presumedRun{key, end.at})
	for len(p.order) > maxPresumedEnds || p.order[0].at+presumedEndRetention < end.at {
		if oldest := p.order[0]; p.byRun[oldest.key].at == oldest.at {
			delete(p.byRun, oldest.key)
		}
		p.order = p.order[1:]
	}
}

// noteLease notes a lease end that a command to the worker names, and returns it.
func (p *presumedEnds) noteLease(w *worker, end time.Duration) time.Duration {
	named := p.leases[w.id]
	if named.incarnation != w.incarnation {
		named = namedLease{incarnation: w.incarnation}
	}
	named.end = max(named.end, end)
	p.leases[w.id] = named
	return end
}

// leaseOf returns the latest lease end that was named to the worker's incarnation, or zero.
func (p *presumedEnds) leaseOf(w *worker) time.Duration {
	if named := p.leases[w.id]; named.incarnation == w.incarnation {
		return named.end
	}
	return 0
}

// endUnreported ends a run whose end no worker has reported. The event's value is the time since the worker's last report.
func (s *Shard) endUnreported(a *attempt, reason goneReason, now time.Duration) {
	w := a.worker
	silence := now - w.lastReportAt
	s.emit("run-gone", string(a.stage.job.spec.ID), a.ref().String(), w, string(reason), silence.Milliseconds())
	end := presumedEnd{
		worker: w.id, incarnation: w.incarnation, reason: reason, bound: boundNone, inherited: a.commitNumber == 0, at: now,
		silence: silence, leaseEnd: s.presumed.leaseOf(w), clock: w.clock, clockReadAt: w.clockReadAt,
	}
	if reason == goneLease {
		end.bound = s.leaseBoundOf(a)
	}
	s.presumed.add(a.key(), end)
	s.endRun(a, agent.OutcomeLeaseExpired, "", now)
}

// leaseBoundOf returns which bound the run's lease end is.
func (s *Shard) leaseBoundOf(a *attempt) leaseBound {
	w := a.worker
	switch end := s.leaseEndOf(a); {
	case end == w.leaseEnd && w.tokenSeen:
		return boundOwnLease
	case end == w.leaseEnd:
		return boundFormerLease
	case end == w.formerLeaseEnd:
		return boundFormerLate
	case end == w.unreportedLeaseEnd:
		return boundUnreported
	default:
		return boundCommandInFlight
	}
}

// lapseMargin sums up the presumed ends that one report confirms.
type lapseMargin struct {
	runs      int
	least     time.Duration
	bound     leaseBound
	clockRate float64
}

// checkPresumedRun reports a run that a worker still has though its end was presumed. The event's value is the time since then.
func (s *Shard) checkPresumedRun(w *worker, key runKey, now time.Duration) {
	if end, ok := s.presumed.byRun[key]; !ok || !end.precedes(w) {
		return
	}
	if end, ok := s.takePresumedEnd(key, now); ok {
		s.emitRefuted(w, key, end, "running", now)
	}
}

// checkPresumedEnd compares the end of a run that a worker lists with the one that was presumed. A run that was counted as gone
// because its lease had expired may have ended in any way before; of the other proofs each says that the worker has no such run.
func (s *Shard) checkPresumedEnd(w *worker, key runKey, outcome agent.RunOutcome, margin *lapseMargin, now time.Duration) {
	end, ok := s.takePresumedEnd(key, now)
	switch {
	case !ok:
	case end.reason != goneLease || end.worker != w.id || end.onOther(w.incarnation):
		s.emitRefuted(w, key, end, string(outcome), now)
	case end.leaseEnd > 0 && end.precedes(w) && now-w.heartbeat.sentAt <= maxMarginAnswerTime:
		if left := end.at - end.lapsedAt(w.clock, now); margin.runs == 0 || left < margin.least {
			margin.least, margin.bound, margin.clockRate = left, end.bound, end.clockRate(w.clock, now)
		}
		margin.runs++
	}
}

// takePresumedEnd removes the run's presumed end and returns it, or false if there is none.
func (s *Shard) takePresumedEnd(key runKey, now time.Duration) (presumedEnd, bool) {
	end, ok := s.presumed.byRun[key]
	delete(s.presumed.byRun, key)
	return end, ok && now-end.at <= presumedEndRetention
}

// emitRefuted reports a presumed end that the worker's report contradicts; seen is how it lists the run.
func (s *Shard) emitRefuted(w *worker, key runKey, end presumedEnd, seen string, now time.Duration) {
	detail := fmt.Sprintf("proof=%s bound=%s silence=%v run=%d inherited=%t seen=%s", end.reason, end.bound,
		end.silence.Round(time.Millisecond), key.run, end.inherited, seen)
	if end.worker != w.id {
		detail += " presumed-on=" + string(end.worker)
	}
	if end.onOther(w.incarnation) {
		detail += " restarted=true"
	} else if end.leaseEnd > 0 {
		detail += fmt.Sprintf(" lease-left=%v", end.leaseEnd-w.clock)
	}
	s.emit(EventPresumedEndRefuted, string(key.task.Job), key.task.String(), w, detail, (now - end.at).Milliseconds())
}

// emitMargin reports how long, at least, before the presumed ends that a report confirms the worker's lease had expired.
func (s *Shard) emitMargin(w *worker, margin lapseMargin) {
	if margin.runs == 0 {
		return
	}
	detail := fmt.Sprintf("bound=%s runs=%d clock-rate=%.3f", margin.bound, margin.runs, margin.clockRate)
	s.emit(EventPresumedEndsConfirmed, "", "", w, detail, margin.least.Milliseconds())
}

// noteOverlap notes that a worker lists a run of a task of which another run has started too. That one may have ended long ago, which
// its worker's next answer tells.
func (s *Shard) noteOverlap(w *worker, key runKey, now time.Duration) {
	st := s.jobs[key.task.Job].stage(key.task.Occurrence, key.task.Stage)
	if st.spec.Speculative {
		return
	}
	for _, other := range st.tasks[key.task.Index].attempts {
		startedBefore := other.phase == phaseStarted || other.listed
		if other.key() != key && startedBefore && other.answeredAt < w.heartbeat.sentAt {
			s.presumed.overlaps[other.key()] = overlap{worker: w.id, run: key.run, at: now}
		}
	}
}

// checkOverlap reports two runs of a task at the same time: the worker was asked after another one had listed the other run. The
// event's detail is the other worker and its value the other run's number.
func (s *Shard) checkOverlap(w *worker, key runKey) {
	other, ok := s.presumed.overlaps[key]
	if !ok || w.heartbeat.sentAt < other.at {
		return
	}
	delete(s.presumed.overlaps, key)
	s.emit("runs-overlap", string(key.task.Job), key.task.String(), w, string(other.worker), int64(other.run))
}
