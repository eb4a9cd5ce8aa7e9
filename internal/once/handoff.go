package once

import (
	"context"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
)

// Run expires entries and collects the entries of IDs that moved to this member, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	expire := s.cfg.Clock.NewTicker(expireInterval)
	defer expire.Stop()
	collect := s.cfg.Clock.NewTicker(handoffInterval)
	defer collect.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.Chan():
			s.table.expire(s.cfg.Clock.Now())
		case <-collect.Chan():
			s.CollectHandoffs(ctx)
		}
	}
}

// CollectHandoffs asks every member that has not handed over yet for the entries of IDs that this member owns now.
func (s *Service) CollectHandoffs(ctx context.Context) {
	offset := s.history.current().Offset
	for _, member := range s.history.awaited() {
		call, cancel := context.WithTimeout(ctx, settleTimeout)
		handoff, err := s.cfg.Peers.Handoff(call, member, s.cfg.Self, offset)
		cancel()
		if err != nil {
			s.cfg.Log.Debug("handoff of request IDs failed", zap.String("member", string(member.Instance)),
				zap.Error(err))
			continue
		}
		s.accept(member, handoff)
	}
}

func (s *Service) accept(from Member, handoff Handoff) {
	now := s.cfg.Clock.Now()
	for _, entry := range handoff.Entries {
		s.table.merge(entry)
	}
	epochs := make([]Epoch, 0, len(handoff.Epochs))
	for _, e := range handoff.Epochs {
		epoch := Epoch{Membership: e.Membership}
		if e.ReplacedAgo > 0 {
			epoch.Replaced = now.Add(-e.ReplacedAgo)
		}
		epochs = append(epochs, epoch)
	}
	s.history.adopt(from, epochs, now.Add(-handoff.KnownSince), handoff.First)
}

// Handoff returns the entries of the IDs that the member owns under the membership at offset. It returns ErrBehind
// unless that is the current one: before it this member still decides about those IDs itself, and after it some of
// them belong to a third member.
func (s *Service) Handoff(to Member, offset model.Offset) (Handoff, error) {
	// Claims decided under an earlier membership hold the gate; wait until they are in the table.
	s.gate.Lock()
	defer s.gate.Unlock()
	m := s.history.current()
	if m.Offset != offset {
		return Handoff{}, ErrMembershipMismatch
	}
	now := s.cfg.Clock.Now()
	entries := s.table.selectEntries(func(id string) bool {
		if _, err := ParseIssued(id); err == nil {
			return false
		}
		owner, ok := m.Owner(id)
		return ok && owner == to
	})
	epochs, knownSince, first := s.history.export()
	handoff := Handoff{Entries: entries, KnownSince: now.Sub(knownSince), First: first}
	for _, e := range epochs {
		handoff.Epochs = append(handoff.Epochs, HandoffEpoch{Membership: e.Membership, ReplacedAgo: ago(now, e.Replaced)})
	}
	return handoff, nil
}

// ago returns how long before now t was, at least a nanosecond, or zero for no time.
func ago(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t), 1)
}
