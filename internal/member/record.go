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
	// reapDuty names the duty of removing dead members for rendezvous hashing; the data centre follows it.
	reapDuty = "reap/"
	// reapMisses is the number of unanswered heartbeats that a removal needs besides the time, so that this instance's
	// own pause cannot make its peers look dead.
	reapMisses = 4
	// rejoinLimit bounds how often the time to a removal is doubled.
	rejoinLimit = 9
	// listAge is the number of list intervals for which an answer of the list counts as current.
	listAge = 3
)

// runJoin records this instance, and again if others removed it while it could not be reached. It returns ErrReplaced
// if a newer incarnation has joined.
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
		case <-s.changed:
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

// joined reports whether the fold holds this incarnation, or whether it need not, because the instance is leaving.
func (t *Table) joined() (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.recorded[t.cfg.Self.Instance]
	if ok && found.Incarnation > t.cfg.Self.Incarnation {
		return false, fmt.Errorf("%w: incarnation %d", ErrReplaced, found.Incarnation)
	}
	return t.leaving || (ok && found.Incarnation == t.cfg.Self.Incarnation), nil
}

// RecordLeft records that this instance leaves; a peer does it later if this fails.
func (s *Service) RecordLeft(ctx context.Context) error {
	s.Leave()
	self := s.Table.cfg.Self
	return s.submit(ctx, record.MemberLeft{Instance: self.Instance, Incarnation: self.Incarnation})
}

// runReaper removes members that are gone.
func (s *Service) runReaper(ctx context.Context) {
	for s.sleep(ctx, s.cfg.ReapInterval) {
		if !s.MayAppend() {
			continue
		}
		for _, gone := range s.gone() {
			if !s.firstFor(reapDuty, gone.DataCentre) {
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

// gone returns the recorded members to remove: dead ones that the platform's list no longer shows, and those that have
// been dead for long. The latter only while another member is alive: an instance that hears from nobody is more likely
// to be separated itself.
func (s *Service) gone() []state.Member {
	now := s.cfg.Clock.Now()
	listCurrent := now.Sub(time.Unix(0, s.listed.Load())) < listAge*s.cfg.ListInterval
	s.mu.Lock()
	defer s.mu.Unlock()
	hearsAny := false
	for _, known := range s.peers {
		hearsAny = hearsAny || s.alive(known, now)
	}
	var out []state.Member
	for id, found := range s.recorded {
		known := s.peers[id]
		if id == s.Table.cfg.Self.Instance || known == nil || s.alive(known, now) {
			continue
		}
		unlisted := listCurrent && !known.listed && known.misses >= 1
		dead := hearsAny && known.misses >= reapMisses && now.Sub(known.missed) >= s.cfg.ReapAfter<<min(known.rejoins, rejoinLimit)
		if unlisted || dead {
			out = append(out, found)
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
