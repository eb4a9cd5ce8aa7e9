package stream

import (
	"context"
	"fmt"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
)

// snapshotCacheTime is how long an encoded snapshot is served to further peers, so that instances that start together
// cost one encoding.
const snapshotCacheTime = 500 * time.Millisecond

// cachedSnapshot is the last snapshot encoded for peers.
type cachedSnapshot struct {
	snap peer.Snapshot
	made time.Time
}

// Snapshot returns the encoded state for a peer; it returns peer.ErrNotReady while this instance is not ready.
func (s *Stream) Snapshot(context.Context) (peer.Snapshot, error) {
	if !s.Ready() {
		return peer.Snapshot{}, fmt.Errorf("making a snapshot: %w", peer.ErrNotReady)
	}
	s.cachedMu.Lock()
	defer s.cachedMu.Unlock()
	now := s.cfg.Clock.Now()
	if s.cached.snap.Data == nil || now.Sub(s.cached.made) > snapshotCacheTime {
		at, data, err := s.encodeState()
		if err != nil {
			return peer.Snapshot{}, err
		}
		s.cached = cachedSnapshot{snap: peer.Snapshot{At: at, Data: data}, made: now}
	}
	out, newest := s.cached.snap, s.newestSnapshot()
	out.Recorded, out.RecordedAge = newest.at, now.Sub(newest.time)
	return out, nil
}

// encodeState returns the encoded state and an offset that it has reached at least. Records are applied concurrently,
// so the state may be that of a later offset, which is part of the encoding: the receiver skips records up to that
// offset, not up to the returned one.
func (s *Stream) encodeState() (model.Offset, []byte, error) {
	at := s.Status().Applied
	data, err := s.cfg.StateMachine.Snapshot()
	if err != nil {
		return 0, nil, fmt.Errorf("encoding the state at offset %d: %w", at, err)
	}
	return at, data, nil
}

// restore replaces the state by a snapshot; it returns errNotNewer if the snapshot is not newer.
func (s *Stream) restore(at model.Offset, data []byte) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if at <= s.applied {
		return fmt.Errorf("%w: offset %d", errNotNewer, at)
	}
	if halted := s.Status().HaltReason; halted != "" {
		return fmt.Errorf("%w: %s", errHalted, halted)
	}
	if _, err := s.cfg.StateMachine.Restore(data); err != nil {
		return fmt.Errorf("restoring the state at offset %d: %w", at, err)
	}
	s.applied = max(s.cfg.StateMachine.Offset(), s.applied)
	s.setRestored(s.applied)
	s.metrics.restores.Inc()
	s.resyncAll()
	s.repeatInFlight()
	return nil
}
