package stream

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

const (
	// maxPeerRestores is the number of peers that are asked for a snapshot before the log is searched for one.
	maxPeerRestores = 3
	// peerCheckInterval is how often a starting instance checks for peers.
	peerCheckInterval = 50 * time.Millisecond
	// pastEndOffset lies past the end of any log: a read at it returns no records, only the range of offsets that the
	// log keeps.
	pastEndOffset model.Offset = 1 << 60
)

// restoreInitialState obtains a state to start from: that of the peer with the highest offset, else the newest complete
// snapshot in the log, else the empty state if the log still has its first record. It retries until it succeeds and
// returns false if ctx ended first.
func (s *Stream) restoreInitialState(ctx context.Context) bool {
	s.awaitPeers(ctx)
	retry := s.newBackoff()
	for {
		err := s.restoreFromPeers(ctx)
		if err != nil {
			err = s.restoreFromLog(ctx)
		}
		if err == nil {
			return ctx.Err() == nil
		}
		s.cfg.Logger.Warn("no state to start from yet", zap.Error(err))
		if !s.sleep(ctx, retry.NextBackOff()) {
			return false
		}
	}
}

// awaitPeers waits until a peer can serve a snapshot, at most PeerWait: at the start, the first heartbeats have not
// been answered yet.
func (s *Stream) awaitPeers(ctx context.Context) {
	deadline := s.cfg.Clock.Now().Add(s.cfg.PeerWait)
	for s.cfg.Clock.Now().Before(deadline) {
		if len(newestFirst(s.cfg.Peers.Sources(), model.NoOffset)) > 0 || !s.sleep(ctx, peerCheckInterval) {
			return
		}
	}
}

// recover restores a newer state after the log has dropped the records that would have to be applied next.
func (s *Stream) recover(ctx context.Context) error {
	s.restoreMu.Lock()
	defer s.restoreMu.Unlock()
	s.metrics.recoveries.Inc()
	before := s.Status().Applied
	err := s.restoreFromPeers(ctx)
	if err != nil {
		err = s.restoreFromLog(ctx)
	}
	if err == nil && s.Status().Applied <= before {
		return fmt.Errorf("recovering from offset %d: %w", before, errNoSnapshot)
	}
	return err
}

// restoreFromPeers restores the newest snapshot that a peer serves; it returns errNoPeer if no peer has a newer state.
func (s *Stream) restoreFromPeers(ctx context.Context) error {
	sources := newestFirst(s.cfg.Peers.Sources(), s.Status().Applied)
	failure := errNoPeer
	for _, source := range sources[:min(len(sources), maxPeerRestores)] {
		snap, err := s.cfg.Relay.Snapshot(ctx, source.Address)
		if err == nil {
			err = s.restore(snap.At, snap.Data)
		}
		if err == nil {
			s.setNewestSnapshot(loggedSnapshot{at: snap.Recorded, time: s.cfg.Clock.Now().Add(-snap.RecordedAge)})
			return nil
		}
		failure = fmt.Errorf("restoring from %s: %w", source.Address, err)
		s.cfg.Logger.Warn("restoring from a peer failed", zap.Error(failure))
	}
	return failure
}

// restoreFromLog restores the newest complete snapshot in the log. If there is none, it succeeds only if the log still
// has all records after the current state.
func (s *Stream) restoreFromLog(ctx context.Context) error {
	found, first, err := s.findSnapshotInLog(ctx)
	if err != nil {
		return err
	}
	if found != nil && found.at > s.Status().Applied {
		if err := s.restore(found.at, found.join()); err != nil {
			return fmt.Errorf("restoring the snapshot at offset %d from the log: %w", found.at, err)
		}
		s.setNewestSnapshot(loggedSnapshot{at: found.at, time: found.time})
		return nil
	}
	if s.Status().Applied+1 < first {
		return fmt.Errorf("the log begins at offset %d: %w", first, errNoSnapshot)
	}
	return nil
}

// findSnapshotInLog reads all records that the log keeps and returns the newest complete snapshot, or nil, and the
// oldest offset.
func (s *Stream) findSnapshotInLog(ctx context.Context) (*partSet, model.Offset, error) {
	parts := newPartCollector(true)
	first, err := s.firstOffset(ctx)
	if err != nil {
		return nil, 0, err
	}
	for at := first; ; {
		batch, err := s.readNow(ctx, at)
		if err != nil {
			return nil, 0, fmt.Errorf("searching the log for a snapshot: %w", err)
		}
		for _, rec := range batch.Records {
			parts.addRecord(rec)
			at = max(at, rec.Offset+1)
		}
		if len(batch.Records) == 0 || at >= batch.Next {
			return parts.newest, first, nil
		}
	}
}

// firstOffset returns the oldest offset that the log keeps.
func (s *Stream) firstOffset(ctx context.Context) (model.Offset, error) {
	batch, err := s.readNow(ctx, s.Status().Applied+1)
	if isTruncated(err) && batch.First == 0 {
		batch, err = s.readNow(ctx, pastEndOffset)
	}
	if isTruncated(err) && batch.First > 0 {
		return batch.First, nil
	}
	if err != nil {
		return 0, fmt.Errorf("finding the first record of the log: %w", err)
	}
	return batch.First, nil
}

// readNow reads without waiting for new records, directly or, if that fails, through a peer.
func (s *Stream) readNow(ctx context.Context, from model.Offset) (ports.Batch, error) {
	limited, cancel := s.withTimeout(ctx, s.cfg.ReadTimeout)
	defer cancel()
	batch, err := s.cfg.Log.Read(limited, from, s.cfg.MaxReadRecords, 0)
	if err == nil || isTruncated(err) {
		return batch, err
	}
	if source, ok := s.pickRelay(); ok {
		return s.cfg.Relay.ReadLog(ctx, source.Address, from, s.cfg.MaxReadRecords, 0)
	}
	return batch, err
}
