package lease

import (
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// recordRetry is the delay before an operation about a worker is submitted again.
const recordRetry = 2 * time.Second

// submitFinding submits what the calls to the worker showed: that it has a new boot, that it answers again, that it must
// be suspected or that it is lost.
func (s *shard) submitFinding(l *workerLease) {
	now := s.m.deps.Clock.Now()
	since, connected := s.m.deps.Links.ConnectedSince()
	if !connected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.submitting || now.Before(l.retryAt) {
		return
	}
	op := s.nextOp(l, now, since)
	if op == nil {
		return
	}
	l.submitting, l.retryAt = true, now.Add(recordRetry)
	if _, ok := op.(record.WorkerSuspected); ok {
		l.suspicion.previous, l.suspicion.accepted = l.recorded.Suspicion, false
	}
	s.m.outbox.add(pendingOp{op: op, done: s.opDone, id: l.id})
}

// nextOp returns the operation to submit, or nil. The caller holds the lock.
func (s *shard) nextOp(l *workerLease, now, connected time.Time) record.Op {
	if now.Sub(l.lastContact) < s.m.cfg.SuspectAfter {
		return l.opIfAnswering(now)
	}
	if l.recorded.ID == "" || l.recorded.Lost || !s.m.hasReadList() {
		return nil
	}
	return s.m.cfg.opIfSilent(l.recorded, l.suspicion, now, connected)
}

// opIfAnswering returns the operation to submit for a worker that answers, or nil. The caller holds the lock.
func (l *workerLease) opIfAnswering(now time.Time) record.Op {
	if !l.held(now) || l.boot == "" {
		return nil
	}
	switch {
	case l.recorded.ID == "" || l.rebooted():
		return l.seenOp
	case l.recorded.Lost || l.recorded.Suspicion != model.NoOffset:
		return record.WorkerCleared{Worker: l.id, Boot: l.boot}
	}
	return nil
}

// opIfSilent returns the operation to submit for a worker that doesn't answer, or nil. The wait before its loss is
// recorded starts when this instance reads its own suspicion. It starts again after an interruption of the connection
// to the log, because the log might hold a withdrawal that the instance hasn't read.
func (c Config) opIfSilent(recorded state.Worker, s suspicion, now, connected time.Time) record.Op {
	suspect := record.WorkerSuspected{Worker: recorded.ID, Boot: recorded.Boot}
	if recorded.Suspicion == model.NoOffset || s.own == model.NoOffset {
		return suspect
	}
	if s.own != recorded.Suspicion {
		// Another instance replaced the suspicion; it gets time to record the loss.
		if now.Sub(s.readAt) > 2*c.lossDelay() {
			return suspect
		}
		return nil
	}
	from := s.readAt
	if connected.After(from) {
		from = connected
	}
	if now.Sub(from) <= c.lossDelay() {
		return nil
	}
	return record.WorkerLost{Worker: recorded.ID, Boot: recorded.Boot, Suspicion: s.own}
}

// opDone records the result of an operation about a worker.
func (s *shard) opDone(p pendingOp, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[p.id]
	l.submitting = false
	if _, ok := p.op.(record.WorkerSuspected); ok && err == nil {
		l.suspicion.accepted = true
		l.suspicion.resolveOwn(l.recorded)
	}
}
