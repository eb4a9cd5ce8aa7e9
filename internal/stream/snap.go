package stream

import (
	"context"
	"fmt"
	"time"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/peer"
)

// snapshotReuse is how long a snapshot for peers is reused: instances that start together then cost one encoding.
const snapshotReuse = 500 * time.Millisecond

// cachedSnapshot is the last snapshot made for peers.
type cachedSnapshot struct {
	snap peer.Snapshot
	made time.Time
}

// Snapshot returns the folded state for a peer; it returns peer.ErrNotReady while this instance has no state worth
// giving.
func (s *Stream) Snapshot(context.Context) (peer.Snapshot, error) {
	if !s.Ready() {
		return peer.Snapshot{}, fmt.Errorf("making a snapshot: %w", peer.ErrNotReady)
	}
	s.snapshots.Lock()
	defer s.snapshots.Unlock()
	now := s.cfg.Clock.Now()
	if s.cached.snap.Data == nil || now.Sub(s.cached.made) > snapshotReuse {
		at, data, err := s.encodeState()
		if err != nil {
			return peer.Snapshot{}, err
		}
		s.cached = cachedSnapshot{snap: peer.Snapshot{At: at, Data: data}, made: now}
	}
	out, newest := s.cached.snap, s.newestRecorded()
	out.Recorded, out.RecordedAge = newest.at, now.Sub(newest.time)
	return out, nil
}

// encodeState returns the encoded state and an offset that it has reached. Folding goes on meanwhile, so the state may be
// that of a later offset; restoring it tells which. Folding twice is prevented by the restored offset, not by this one.
func (s *Stream) encodeState() (model.Offset, []byte, error) {
	at := s.Status().Applied
	data, err := s.cfg.Folder.Snapshot()
	if err != nil {
		return 0, nil, fmt.Errorf("encoding the state at offset %d: %w", at, err)
	}
	return at, data, nil
}

// restore replaces the folded state by a snapshot; it returns errNotNewer for one that is not newer.
func (s *Stream) restore(at model.Offset, data []byte) error {
	s.fold.Lock()
	defer s.fold.Unlock()
	if at <= s.folded {
		return fmt.Errorf("%w: offset %d", errNotNewer, at)
	}
	if halted := s.Status().Halted; halted != "" {
		return fmt.Errorf("%w: %s", errHalted, halted)
	}
	if _, err := s.cfg.Folder.Restore(data); err != nil {
		return fmt.Errorf("restoring the state at offset %d: %w", at, err)
	}
	s.folded = max(s.cfg.Folder.Offset(), s.folded)
	s.setRestored(s.folded)
	s.metrics.restores.Inc()
	s.resyncAll()
	s.repeatFlight()
	return nil
}
