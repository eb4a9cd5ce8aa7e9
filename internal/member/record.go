package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

const (
	// reapDuty is the prefix of the rendezvous hashing key for electing the instance that removes dead members; the
	// data centre follows it.
	reapDuty = "reap/"
	// minReapMisses is the number of unanswered heartbeats required for a removal in addition to the elapsed time, so
	// that peers do not seem dead after a pause of this instance.
	minReapMisses = 4
	// maxReapDoublings limits how often ReapAfter is doubled for a member that joins again.
	maxReapDoublings = 9
	// maxListIntervals is the number of list intervals for which a read of the platform's instance list counts as
	// current.
	maxListIntervals = 3
)

// runJoin records that this instance joins, and does so again whenever others removed it while it was unreachable. It
// returns ErrReplaced if a newer incarnation has joined.
func (s *Service) runJoin(ctx context.Context) error {
	for ctx.Err() == nil {
		joined, err := s.joined()
		if err != nil {
			return err
		}
		if !joined {
			if err := s.submit(ctx, s.joinOp()); err != nil {
				s.cfg.Logger.Warn("recording this instance failed", zap.Error(err))
			}
			s.sleep(ctx, s.cfg.RejoinPause)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.membersChanged:
		}
	}
	return nil
}

func (t *Table) joinOp() record.Op {
	self := t.cfg.Self
	return record.MemberJoined{
		Instance: self.Instance, Incarnation: self.Incarnation, DataCentre: self.DataCentre,
		PeerAddress: self.PeerAddress, AdminAddress: self.AdminAddress,
	}
}

// joined reports whether no join needs to be recorded: the state machine has this incarnation as a member, or the
// instance is leaving. It returns ErrReplaced if the state has a newer incarnation.
func (t *Table) joined() (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	member, ok := t.recorded[t.cfg.Self.Instance]
	if ok && member.Incarnation > t.cfg.Self.Incarnation {
		return false, fmt.Errorf("%w: incarnation %d", ErrReplaced, member.Incarnation)
	}
	return t.leaving || (ok && member.Incarnation == t.cfg.Self.Incarnation), nil
}

// RecordLeft records that this instance leaves. If this fails, a peer removes the instance later.
func (s *Service) RecordLeft(ctx context.Context) error {
	s.Leave()
	self := s.Table.cfg.Self
	return s.submit(ctx, record.MemberLeft{Instance: self.Instance, Incarnation: self.Incarnation})
}

// runReaper removes dead members until ctx ends.
func (s *Service) runReaper(ctx context.Context) {
	for s.sleep(ctx, s.cfg.ReapInterval) {
		if !s.MayAppend() {
			continue
		}
		for _, gone := range s.deadMembers() {
			if !s.electedIn(reapDuty, gone.DataCentre) {
				continue
			}
			op := record.MemberLeft{Instance: gone.Instance, Incarnation: gone.Incarnation}
			if err := s.submit(ctx, op); err != nil {
				s.cfg.Logger.Warn("recording a member's end failed", zap.String("instance", string(gone.Instance)),
					zap.Error(err))
			}
		}
	}
}

// deadMembers returns the recorded members to remove: dead ones that the platform's instance list no longer shows, and
// ones that have been dead for ReapAfter, doubled for each rejoin. The latter are removed only while another instance is alive,
// because an instance that hears from no other is more likely to be isolated itself.
func (s *Service) deadMembers() []state.Member {
	now := s.cfg.Clock.Now()
	listCurrent := now.Sub(time.Unix(0, s.listReadAt.Load())) < maxListIntervals*s.cfg.ListInterval
	s.mu.Lock()
	defer s.mu.Unlock()
	hearsAny := false
	for _, entry := range s.peers {
		hearsAny = hearsAny || s.alive(entry, now)
	}
	var out []state.Member
	for id, member := range s.recorded {
		entry := s.peers[id]
		if id == s.Table.cfg.Self.Instance || entry == nil || s.alive(entry, now) {
			continue
		}
		unlisted := listCurrent && !entry.listed && entry.misses >= 1
		dead := hearsAny && entry.misses >= minReapMisses &&
			now.Sub(entry.firstMissAt) >= s.cfg.ReapAfter<<min(entry.rejoins, maxReapDoublings)
		if unlisted || dead {
			out = append(out, member)
		}
	}
	sortMembers(out)
	return out
}

func (s *Service) submit(ctx context.Context, op record.Op) error {
	limited, cancel := s.withTimeout(ctx, s.cfg.SubmitTimeout)
	defer cancel()
	results, err := s.cfg.Stream.Submit(limited, op)
	if err = errors.Join(append(results, err)...); err != nil {
		return fmt.Errorf("recording %s: %w", record.KindOf(op), err)
	}
	return nil
}
