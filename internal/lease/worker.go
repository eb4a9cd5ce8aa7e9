package lease

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// workerLease is the lease of one worker and what its holder knows of that worker. The lock of its shard guards all
// fields. A worker that is busy is not served again, so calls to it never overlap.
type workerLease struct {
	id      model.WorkerID
	address string
	leaving bool
	busy    bool
	// wakeRequested is set to have the worker served before its renewal is due.
	wakeRequested bool

	// token is zero while the lease is not held. The lease expires at expiresAt by the local clock.
	token      model.Token
	acquiredAt time.Time
	expiresAt  time.Time
	// startInDoubt is set once a start under the token stayed unanswered; it may be carried out until the worker has
	// issued the next token.
	startInDoubt bool
	// renewed is set once the lease was renewed; the task leases are extended with that, unless the worker is suspected.
	renewed bool
	// boot and reportClock are the worker's boot and its clock reading in the last report.
	boot        model.BootID
	reportClock model.Duration
	// seenOp is the operation that records the boot of the last report.
	seenOp record.WorkerSeen
	// nextRenewal is when to renew the lease, or to try again to acquire it.
	nextRenewal time.Time
	// lastContact is when the worker last answered; a refusal counts as an answer.
	lastContact time.Time

	// recorded is the worker's state as recorded in the log. Its ID is empty while the worker is not recorded.
	recorded  state.Worker
	suspicion suspicion
	// submitting is set while the result of an operation about the worker is outstanding.
	submitting bool
	// retryAt is the time from which an operation about the worker may be submitted again.
	retryAt time.Time
}

// suspicion tracks one worker from its suspicion to its loss.
type suspicion struct {
	// readAt is when the latest suspicion in the log was read.
	readAt time.Time
	// previous is the suspicion that was recorded when this instance submitted its own. accepted is set when its own
	// was accepted but not read from the log yet.
	previous model.Offset
	accepted bool
	// own is the offset of this instance's suspicion, or model.NoOffset.
	own model.Offset
}

func newWorkerLease(id model.WorkerID, now time.Time) *workerLease {
	return &workerLease{
		id: id, lastContact: now, nextRenewal: now,
		recorded:  state.Worker{Suspicion: model.NoOffset},
		suspicion: suspicion{own: model.NoOffset, previous: model.NoOffset},
	}
}

// held reports whether the lease is held at now, by the local clock, and may be used.
func (l *workerLease) held(now time.Time) bool {
	return l.token != 0 && !l.startInDoubt && now.Before(l.expiresAt)
}

// suspected reports whether the worker is recorded as suspected or lost, so that its task leases must not be extended.
func (l *workerLease) suspected() bool {
	return l.recorded.ID != "" && (l.recorded.Suspicion != model.NoOffset || l.recorded.Lost) && !l.rebooted()
}

// rebooted reports whether the worker runs a boot that is not recorded yet.
func (l *workerLease) rebooted() bool { return l.boot != "" && l.boot != l.recorded.Boot }

// dropLease clears the token, the expiry and the clock reading of the last report.
func (l *workerLease) dropLease() {
	l.token, l.reportClock = 0, 0
	l.expiresAt = time.Time{}
	l.startInDoubt, l.renewed = false, false
}

// setRecorded records the worker's state as the log has it.
func (l *workerLease) setRecorded(w state.Worker, now time.Time) {
	l.suspicion.update(l.recorded, w, now)
	l.recorded = w
}

// update follows a change of the worker's recorded state from old to w.
func (s *suspicion) update(old, w state.Worker, now time.Time) {
	if w.Suspicion != old.Suspicion || w.Boot != old.Boot {
		s.readAt = now
	}
	if w.Suspicion == model.NoOffset {
		s.own = model.NoOffset
	}
	s.resolveOwn(w)
}

// resolveOwn sets own once this instance's suspicion has been both accepted and read from the log. If it took another
// instance's suspicion for its own, the state machine rejects the loss.
func (s *suspicion) resolveOwn(w state.Worker) {
	if s.accepted && w.Suspicion != s.previous && w.Suspicion != model.NoOffset {
		s.own, s.accepted = w.Suspicion, false
	}
}
