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

// serve renews the worker's lease if due and sends the worker's commands; the worker is marked busy.
func (s *shard) serve(ctx context.Context, h *holder) {
	defer s.giveBack(h)
	if !s.m.deps.Links.IsPlacer() {
		s.release(ctx, h)
		s.resign(h)
		return
	}
	if s.renewalDue(h) {
		s.renew(ctx, h)
		s.watch(h)
	}
	s.command(ctx, h)
}

// resign restarts the time after which a silent worker is suspected, since only the placer calls the workers.
func (s *shard) resign(h *holder) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.contact, h.due = now, now.Add(s.m.cfg.RenewInterval)
}

func (s *shard) renewalDue(h *holder) bool {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(h.due)
}

// renew acquires or renews the lease and hands the report on.
func (s *shard) renew(ctx context.Context, h *holder) {
	if !s.m.deps.Links.MayRenew() {
		s.postpone(h)
		return
	}
	address, req := s.request(h)
	if address == "" {
		return
	}
	sent := s.m.deps.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, ports.CommandTimeout)
	defer cancel()
	report, err := s.m.deps.Workers.Lease(ctx, address, req)
	if err != nil {
		s.refused(h, err)
		return
	}
	if report.Worker != h.id {
		s.refused(h, ports.ErrUnreachable)
		return
	}
	s.mu.Lock()
	s.granted(h, req, report, sent)
	out := Report{WorkerReport: report, Acquired: h.acquired, Leaving: h.leaving}
	s.mu.Unlock()
	s.m.deps.Handler.Reported(out)
}

func (s *shard) postpone(h *holder) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.due = now.Add(s.m.cfg.RenewInterval)
}

// request builds the next lease request. Task leases are extended only while the lease is held, so that the worker's
// clock reading comes from a report under the same token, and never while the worker is suspected.
func (s *shard) request(h *holder) (string, ports.LeaseRequest) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.due = now.Add(s.m.cfg.RenewInterval)
	if !h.held(now) {
		h.drop()
	}
	req := ports.LeaseRequest{Holder: string(s.m.cfg.Instance), Token: h.token, TTL: model.Duration(s.m.cfg.TTL)}
	if h.token != 0 && !h.suspected() {
		req.TaskTTL, req.Basis = model.Duration(s.m.cfg.TaskTTL), h.basis
	}
	return h.address, req
}

// granted takes over a report; the lock is held. The lease counts from before the request, so it never outlasts the
// worker's own count.
func (s *shard) granted(h *holder, req ports.LeaseRequest, report ports.WorkerReport, sent time.Time) {
	if req.Token == 0 || h.token != report.Token {
		h.acquired = sent
		// Renew at once: an acquisition leaves the task leases as they are.
		h.due = sent
		metrics.GetOrCreateCounter(`aw_lease_acquired_total`).Inc()
	}
	h.token, h.boot, h.basis = report.Token, report.Boot, report.Clock
	h.expires = sent.Add(s.m.cfg.TTL)
	h.seen = record.WorkerSeen{
		Worker: h.id, Boot: report.Boot, Capacity: report.Capacity, DataCentre: report.DataCentre, Rack: report.Rack,
	}
	h.contact = s.m.deps.Clock.Now()
}

// refused notes a failed lease request.
func (s *shard) refused(h *holder, err error) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	dropped := false
	switch {
	case errors.Is(err, ports.ErrStaleToken):
		dropped = h.token != 0
		h.drop()
		h.contact, h.due = now, now
	case errors.Is(err, ports.ErrLeaseHeld):
		dropped = h.token != 0
		h.drop()
		h.contact = now
	default:
		metrics.GetOrCreateCounter(`aw_lease_unreachable_total`).Inc()
	}
	s.mu.Unlock()
	if dropped {
		s.m.deps.Handler.Dropped(h.id)
	}
}

// command sends the worker's commands in order and stops at the first that fails.
func (s *shard) command(ctx context.Context, h *holder) {
	if !s.holds(h) {
		return
	}
	for _, c := range s.m.deps.Handler.Commands(h.id) {
		allowed, ok := s.permit(h, c)
		if !ok {
			return
		}
		err := s.send(ctx, allowed, c)
		s.m.deps.Handler.Sent(h.id, c, err)
		if err != nil {
			s.commandFailed(h, c, err)
			return
		}
		if _, ok := c.(Stop); ok {
			s.hasten(h)
		}
	}
}

func (s *shard) holds(h *holder) bool {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return h.held(now)
}

// permission is what a command needs besides its contents.
type permission struct {
	address string
	token   model.Token
	// basis is the worker's clock reading in the last report, from which the task leases of starts count.
	basis model.Duration
}

// permit returns the permission for a command. A start gives the attempt a task lease, so none is sent to a suspected worker
// or one of another boot.
func (s *shard) permit(h *holder, c Command) (permission, bool) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.held(now) {
		return permission{}, false
	}
	if _, starts := c.(Start); starts && (h.suspected() || h.rebooted()) {
		return permission{}, false
	}
	return permission{address: h.address, token: h.token, basis: h.basis}, true
}

// hasten brings the next report forward, so that the end of a stopped attempt is known soon.
func (s *shard) hasten(h *holder) {
	now := s.m.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.due = now
}

func (s *shard) commandFailed(h *holder, c Command, err error) {
	metrics.GetOrCreateCounter(`aw_lease_command_errors_total`).Inc()
	s.m.deps.Log.Debug("command failed", zap.String("worker", string(h.id)), zap.Any("command", c), zap.Error(err))
	if errors.Is(err, ports.ErrStaleToken) {
		s.refused(h, err)
	}
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

// withBasis returns the requests with their task leases counted from basis, so that a start that arrives late gives no
// longer lease than its holder knows.
func withBasis(requests []ports.StartRequest, basis model.Duration) []ports.StartRequest {
	out := slices.Clone(requests)
	for i := range out {
		out[i].Basis = basis
	}
	return out
}
