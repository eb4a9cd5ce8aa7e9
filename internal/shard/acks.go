package shard

import (
	"maps"
	"time"

	"arbutuswing.example/internal/model"
)

// An acknowledgement that is carried out late may reach the worker's next incarnation, which counts its ends anew and forgets
// those up to the number. If a late start has run there meanwhile, nobody learns that it has ended. So no start that a later
// incarnation may carry out is under way, or may still arrive, together with an acknowledgement.

// numberToAck returns the number up to which the next heartbeat acknowledges the worker's ended runs, or zero if it must not or
// need not acknowledge any.
func (s *Shard) numberToAck(w *worker, now time.Duration) int64 {
	number := w.ackableEnd(s.lastCommitted, now)
	if number <= w.answeredAck || w.startMayArrive(now) {
		return 0
	}
	return number
}

// startMayArrive reports whether a start is under way or may still arrive late that a later incarnation of the worker may carry
// out.
func (w *worker) startMayArrive(now time.Duration) bool {
	if now < w.lateStartUntil {
		return true
	}
	for _, a := range w.attempts {
		if a.stage.job.queue.Advice == nil && (a.commandPending || now < a.startInFlightUntil) {
			return true
		}
	}
	return false
}

// lateArrivals is until when a start and an acknowledgement may still reach a worker that is no longer listed.
type lateArrivals struct{ startUntil, ackArrivesBy time.Duration }

// keepLateArrivals keeps in mind what may still reach a worker that is no longer listed: it may start again under its ID.
func (s *Shard) keepLateArrivals(w *worker) {
	s.lateArrivals[w.id] = lateArrivals{w.lateStartUntil, w.ackArrivesBy}
	maps.DeleteFunc(s.lateArrivals, func(_ model.WorkerID, l lateArrivals) bool { return s.lastTick >= max(l.startUntil, l.ackArrivesBy) })
}

// ackMayArrive reports whether an acknowledgement stayed unanswered and may still reach the worker.
func (w *worker) ackMayArrive(now time.Duration) bool { return now < w.ackArrivesBy }

// mayStart reports whether a start of the run may be sent. If the acknowledgement under way is answered, that takes a moment only.
func (a *attempt) mayStart(now time.Duration) bool {
	if a.stage.job.queue.Advice != nil {
		return true
	}
	return !a.worker.ackMayArrive(now) && (!a.worker.heartbeat.pending || a.worker.heartbeat.acked == 0)
}

// noteAckAnswered notes that the worker has answered the heartbeat under way over a connection. A heartbeat acknowledges nothing
// over another connection than that of the last report.
func (w *worker) noteAckAnswered(connection uint64) {
	if connection == w.reportConnection {
		w.answeredAck = max(w.answeredAck, w.heartbeat.acked)
	}
}
