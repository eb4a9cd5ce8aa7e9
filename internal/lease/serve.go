package lease

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
)

// serve renews the worker's lease if due and sends the worker's commands. The caller has marked the worker as busy.
func (s *shard) serve(ctx context.Context, l *workerLease) {
	defer s.clearBusy(l)
	if !s.m.deps.Links.IsPlacer() {
		s.release(ctx, l)
		s.resetSilence(l)
		return
	}
	if s.renewalDue(l) {
		s.renew(ctx, l)
		s.submitFinding(l)
	}
	s.sendCommands(ctx, l)
}

// resetSilence restarts the time without an answer after which a worker is suspected: while the instance is not the
// placer, it doesn't call the workers.
func (s *shard) resetSilence(l *workerLease) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.lastContact, l.nextRenewal = now, now.Add(s.m.cfg.RenewInterval)
}

func (s *shard) renewalDue(l *workerLease) bool {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(l.nextRenewal)
}

// renew acquires or renews the lease and passes the report to the handler.
func (s *shard) renew(ctx context.Context, l *workerLease) {
	if !s.m.deps.Links.MayRenew() {
		s.delayRenewal(l)
		return
	}
	address, req := s.nextRequest(l)
	if address == "" {
		return
	}
	sent := s.m.deps.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, ports.CommandTimeout)
	defer cancel()
	report, err := s.m.deps.Workers.Lease(ctx, address, req)
	if err != nil {
		s.recordFailure(l, err)
		return
	}
	if report.Worker != l.id {
		s.recordFailure(l, ports.ErrUnreachable)
		return
	}
	s.mu.Lock()
	s.recordGrant(l, req, report, sent)
	out := Report{WorkerReport: report, Acquired: l.acquiredAt, Leaving: l.leaving}
	s.mu.Unlock()
	s.m.deps.Handler.ReportReceived(out)
}

func (s *shard) delayRenewal(l *workerLease) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.nextRenewal = now.Add(s.m.cfg.RenewInterval)
}

// nextRequest returns the worker's address and the next lease request. Task leases are extended only while the lease is
// held, so that the worker's clock reading comes from a report under the same token, and never while the worker is
// suspected.
func (s *shard) nextRequest(l *workerLease) (string, ports.LeaseRequest) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.nextRenewal = now.Add(s.m.cfg.RenewInterval)
	if !l.held(now) {
		l.dropLease()
	}
	req := ports.LeaseRequest{Holder: string(s.m.cfg.Instance), Token: l.token, TTL: model.Duration(s.m.cfg.TTL)}
	if l.token != 0 && !l.suspected() {
		req.TaskTTL, req.Basis = model.Duration(s.m.cfg.TaskTTL), l.reportClock
	}
	return l.address, req
}

// recordGrant records a lease that the worker granted or renewed; the caller holds the lock. The lease counts from
// before the request was sent, so that it expires here no later than on the worker.
func (s *shard) recordGrant(l *workerLease, req ports.LeaseRequest, report ports.WorkerReport, sent time.Time) {
	if req.Token == 0 || l.token != report.Token {
		l.acquiredAt = sent
		// Renew at once: acquiring a lease does not extend the task leases.
		l.nextRenewal = sent
		metrics.GetOrCreateCounter(`aw_lease_acquired_total`).Inc()
	}
	l.renewed = req.Token != 0 && l.token == report.Token
	l.token, l.boot, l.reportClock = report.Token, report.Boot, report.Clock
	l.expiresAt = sent.Add(s.m.cfg.TTL)
	l.seenOp = record.WorkerSeen{
		Worker: l.id, Boot: report.Boot, Capacity: report.Capacity, DataCentre: report.DataCentre, Rack: report.Rack,
	}
	l.lastContact = s.m.deps.Clock.Now()
}

// recordFailure handles a lease request or command that failed. A refusal counts as an answer, so the worker is not
// suspected; a lease that the worker refuses is dropped.
func (s *shard) recordFailure(l *workerLease, err error) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	dropped := false
	switch {
	case errors.Is(err, ports.ErrStaleToken):
		dropped = l.token != 0
		l.dropLease()
		l.lastContact, l.nextRenewal = now, now
	case errors.Is(err, ports.ErrLeaseHeld):
		dropped = l.token != 0
		l.dropLease()
		l.lastContact = now
	default:
		metrics.GetOrCreateCounter(`aw_lease_unreachable_total`).Inc()
	}
	s.mu.Unlock()
	if dropped {
		s.m.deps.Handler.LeaseDropped(l.id)
	}
}

// sendCommands sends the worker's commands in order and stops at the first that fails.
func (s *shard) sendCommands(ctx context.Context, l *workerLease) {
	if !s.isHeld(l) {
		return
	}
	for _, c := range s.m.deps.Handler.Commands(l.id) {
		allowed, ok := s.permit(l, c)
		if !ok {
			return
		}
		err := s.send(ctx, allowed, c)
		s.m.deps.Handler.CommandSent(l.id, c, err)
		if err != nil {
			s.commandFailed(l, c, err)
			return
		}
		if _, ok := c.(Stop); ok {
			s.renewSoon(l)
		}
	}
}

func (s *shard) isHeld(l *workerLease) bool {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.held(now)
}

// permission is what it takes to send a command: the worker's address and the token of a lease that is held.
type permission struct {
	address string
	token   model.Token
	// basis is the worker's clock reading in the last report; the task leases of starts count from it.
	basis model.Duration
}

// permit returns the permission to send a command, if the lease is still held. A start gives the attempt a task lease,
// so none is sent to a worker that is suspected or runs another boot than recorded. None is sent before the first
// renewal either: starts that fail again and again would otherwise keep the task leases from being extended.
func (s *shard) permit(l *workerLease, c Command) (permission, bool) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.held(now) {
		return permission{}, false
	}
	if _, starts := c.(Start); starts && (l.suspected() || l.rebooted() || !l.renewed) {
		return permission{}, false
	}
	return permission{address: l.address, token: l.token, basis: l.reportClock}, true
}

// renewSoon makes the next renewal due now, so that the end of a stopped attempt is reported soon.
func (s *shard) renewSoon(l *workerLease) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.nextRenewal = now
}

func (s *shard) commandFailed(l *workerLease, c Command, err error) {
	metrics.GetOrCreateCounter(`aw_lease_command_errors_total`).Inc()
	s.m.deps.Log.Debug("command failed", zap.String("worker", string(l.id)), zap.Any("command", c), zap.Error(err))
	if errors.Is(err, ports.ErrStaleToken) {
		s.recordFailure(l, err)
		return
	}
	if _, ok := c.(Start); ok {
		s.doubtStart(l)
	}
}

// doubtStart ends the use of the lease after a start without an answer: the start may be carried out late, also after
// its attempt was given up or has ended, until the worker has issued the next token.
func (s *shard) doubtStart(l *workerLease) {
	s.mu.Lock()
	l.startInDoubt = true
	s.mu.Unlock()
	s.m.deps.Handler.LeaseDropped(l.id)
}

func (s *shard) send(ctx context.Context, p permission, c Command) error {
	ctx, cancel := context.WithTimeout(ctx, ports.CommandTimeout)
	defer cancel()
	w := s.m.deps.Workers
	switch c := c.(type) {
	case Start:
		return w.Start(ctx, p.address, p.token, withBasis(c.Requests, p.basis))
	case Stop:
		return w.Stop(ctx, p.address, p.token, c.Outcome, c.Attempts)
	case Checkpoint:
		return w.Checkpoint(ctx, p.address, p.token, c.Attempt)
	case Throttle:
		return w.Throttle(ctx, p.address, p.token, c.Attempt, c.Fraction)
	case Acknowledge:
		return w.Acknowledge(ctx, p.address, p.token, c.Attempts)
	}
	return nil
}

// withBasis returns the requests with their task leases counted from basis, so that a start that arrives late doesn't
// give a longer lease than the holder assumes.
func withBasis(requests []ports.StartRequest, basis model.Duration) []ports.StartRequest {
	out := slices.Clone(requests)
	for i := range out {
		out[i].Basis = basis
	}
	return out
}
