package once

import (
	"context"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
)

// Run removes expired entries and collects handoffs until ctx ends; it always returns nil.
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

// CollectHandoffs asks every current member whose entries have not been merged yet for the entries of the IDs that this
// member owns now.
func (s *Service) CollectHandoffs(ctx context.Context) {
	offset := s.history.current().Offset
	for _, member := range s.history.membersToCollect() {
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		handoff, err := s.cfg.Peers.Handoff(call, member, s.cfg.Self, offset)
		cancel()
		if err != nil {
			s.cfg.Log.Debug("handoff of request IDs failed", zap.String("member", string(member.Instance)),
				zap.Error(err))
			continue
		}
		s.applyHandoff(member, handoff)
	}
}

// applyHandoff merges entries and membership history received from another member, and converts ages to local times.
func (s *Service) applyHandoff(from Member, handoff Handoff) {
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
	s.history.mergeHandoff(from, epochs, now.Add(-handoff.KnownSince), handoff.First)
}

// Handoff returns the entries of the IDs chosen by clients that member to owns under the membership at offset. It
// returns ErrMembershipMismatch unless that membership is current: with an older one this member still decides about
// those IDs itself, and with a newer one some of them may belong to a third member.
func (s *Service) Handoff(to Member, offset model.Offset) (Handoff, error) {
	// Decide holds the read lock until its entry is in the table, so this waits for claims under an earlier membership.
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
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
		handoff.Epochs = append(handoff.Epochs, HandoffEpoch{Membership: e.Membership, ReplacedAgo: ageOf(now, e.Replaced)})
	}
	return handoff, nil
}

// ageOf returns the age of t, at least 1 ns, or zero for the zero time.
func ageOf(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t), 1)
}
