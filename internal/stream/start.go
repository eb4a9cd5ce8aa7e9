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
	// restoreTries is the number of peers that are asked for a snapshot before the log is scanned.
	restoreTries = 3
	// startPause is the interval at which a starting instance looks for peers.
	startPause = 50 * time.Millisecond
	// farOffset lies past the end of any log; reading it only tells which offsets the log keeps.
	farOffset model.Offset = 1 << 60
)

// start obtains a state to fold on: from the peer with the highest offset, else the newest whole snapshot in the log,
// else the log from its first record. It returns false if ctx ended first.
func (s *Stream) start(ctx context.Context) bool {
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

// awaitPeers gives the first heartbeats time to be answered.
func (s *Stream) awaitPeers(ctx context.Context) {
	deadline := s.cfg.Clock.Now().Add(s.cfg.PeerWait)
	for s.cfg.Clock.Now().Before(deadline) {
		if len(newestFirst(s.cfg.Peers.Sources(), model.NoOffset)) > 0 || !s.sleep(ctx, startPause) {
			return
		}
	}
}

// recover replaces a state whose next records are past retention.
func (s *Stream) recover(ctx context.Context) error {
	s.recovering.Lock()
	defer s.recovering.Unlock()
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

// restoreFromPeers restores the newest snapshot that a peer offers; it returns errNoPeer if none has a newer state.
func (s *Stream) restoreFromPeers(ctx context.Context) error {
	sources := newestFirst(s.cfg.Peers.Sources(), s.Status().Applied)
	failure := errNoPeer
	for _, source := range sources[:min(len(sources), restoreTries)] {
		snap, err := s.cfg.Relay.Snapshot(ctx, source.Address)
		if err == nil {
			err = s.restore(snap.At, snap.Data)
		}
		if err == nil {
			s.setRecorded(recorded{at: snap.Recorded, time: s.cfg.Clock.Now().Add(-snap.RecordedAge)})
			return nil
		}
		failure = fmt.Errorf("restoring from %s: %w", source.Address, err)
		s.cfg.Logger.Warn("restoring from a peer failed", zap.Error(failure))
	}
	return failure
}

// restoreFromLog restores the newest whole snapshot in the log. Without one it succeeds only if the log still has its
// first record, so that folding can begin there.
func (s *Stream) restoreFromLog(ctx context.Context) error {
	found, first, err := s.scan(ctx)
	if err != nil {
		return err
	}
	if found != nil && found.at > s.Status().Applied {
		if err := s.restore(found.at, found.join()); err != nil {
			return fmt.Errorf("restoring the snapshot at offset %d from the log: %w", found.at, err)
		}
		s.setRecorded(recorded{at: found.at, time: found.time})
		return nil
	}
	if s.Status().Applied+1 < first {
		return fmt.Errorf("the log begins at offset %d: %w", first, errNoSnapshot)
	}
	return nil
}

// scan looks through all records that the log keeps for the newest whole snapshot.
func (s *Stream) scan(ctx context.Context) (*group, model.Offset, error) {
	parts := newCollector(true)
	first, err := s.firstOffset(ctx)
	if err != nil {
		return nil, 0, err
	}
	for at := first; ; {
		batch, err := s.scanRead(ctx, at)
		if err != nil {
			return nil, 0, fmt.Errorf("scanning the log for a snapshot: %w", err)
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
	batch, err := s.scanRead(ctx, s.Status().Applied+1)
	if isTruncated(err) && batch.First == 0 {
		batch, err = s.scanRead(ctx, farOffset)
	}
	if isTruncated(err) && batch.First > 0 {
		return batch.First, nil
	}
	if err != nil {
		return 0, fmt.Errorf("looking for the log's first record: %w", err)
	}
	return batch.First, nil
}

// scanRead reads without waiting, from the log itself or else through a peer.
func (s *Stream) scanRead(ctx context.Context, from model.Offset) (ports.Batch, error) {
	limited, cancel := s.withTimeout(ctx, s.cfg.ReadTimeout)
	defer cancel()
	batch, err := s.cfg.Log.Read(limited, from, s.cfg.ReadLimit, 0)
	if err == nil || isTruncated(err) {
		return batch, err
	}
	if source, ok := s.pickRelay(); ok {
		return s.cfg.Relay.ReadLog(ctx, source.Address, from, s.cfg.ReadLimit, 0)
	}
	return batch, err
}
