package stream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/record"
)

const (
	// maxPartBytes is the size of the data in one snapshot part; encoded as base64 in an envelope, it stays below
	// 64 KB.
	maxPartBytes = 45 << 10
	// snapshotDuty is the key of snapshot writing in the rendezvous hash.
	snapshotDuty = "snapshot"
	// snapshotCheckInterval is how often the stream checks whether a snapshot is due.
	snapshotCheckInterval = time.Second
	// snapshotsPerRetention is the least number of snapshots written in one retention period.
	snapshotsPerRetention = 3
)

// runSnapshots writes snapshots when they are due, as long as this instance is the one elected for it.
func (s *Stream) runSnapshots(ctx context.Context) {
	for s.sleep(ctx, snapshotCheckInterval) {
		if !s.snapshotDue() || !s.cfg.Peers.IsElected(snapshotDuty) {
			continue
		}
		if err := s.writeSnapshot(ctx); err != nil {
			s.metrics.snapshotErrors.Inc()
			s.cfg.Logger.Warn("writing a snapshot failed", zap.Error(err))
			s.sleep(ctx, s.cfg.MinSnapshotInterval)
		}
	}
}

// snapshotDue reports whether the newest snapshot in the log is too old or too many records behind.
func (s *Stream) snapshotDue() bool {
	status := s.Status()
	now := s.cfg.Clock.Now()
	if !s.Ready() || status.Applied == model.NoOffset || now.Sub(status.LastRead()) >= s.cfg.FreshBound {
		return false
	}
	newest := s.newestSnapshot()
	age := now.Sub(newest.time)
	if age < s.cfg.MinSnapshotInterval {
		return false
	}
	return status.Applied-newest.at >= model.Offset(s.cfg.SnapshotRecords) || age >= s.retentionPeriod()/snapshotsPerRetention
}

// writeSnapshot records the state in parts, one after the other. It stops early once another instance has recorded a
// newer complete snapshot.
func (s *Stream) writeSnapshot(ctx context.Context) error {
	at, data, err := s.encodeState()
	if err != nil {
		return err
	}
	parts := slices.Collect(slices.Chunk(data, maxPartBytes))
	for i, part := range parts {
		if s.newestSnapshot().at >= at {
			return nil
		}
		op := record.SnapshotPart{At: at, Part: i + 1, Parts: len(parts), Data: part}
		if err := s.submitPart(ctx, op); err != nil {
			return fmt.Errorf("recording part %d of %d of the snapshot at offset %d: %w", i+1, len(parts), at, err)
		}
	}
	s.metrics.snapshots.Inc()
	return nil
}

// submitPart submits one part. The time limit makes the snapshot fail during a log outage instead of blocking until its
// end.
func (s *Stream) submitPart(ctx context.Context, op record.SnapshotPart) error {
	limited, cancel := s.withTimeout(ctx, s.cfg.MinSnapshotInterval)
	defer cancel()
	results, err := s.Submit(limited, op)
	return errors.Join(append(results, err)...)
}

// trackSnapshotParts registers the snapshot parts of an envelope read from the log; the caller holds applyMu.
func (s *Stream) trackSnapshotParts(env record.Envelope) {
	if s.parts.addEnvelope(env) {
		s.setNewestSnapshot(loggedSnapshot{at: s.parts.newest.at, time: s.parts.newest.time})
	}
}

func (s *Stream) newestSnapshot() loggedSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSnapshot
}

// setNewestSnapshot registers a snapshot found in the log if it is the newest. Its time comes from another instance's
// clock, so a time in the future is replaced by the present.
func (s *Stream) setNewestSnapshot(found loggedSnapshot) {
	now := s.cfg.Clock.Now()
	if found.time.After(now) {
		found.time = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found.at > s.lastSnapshot.at {
		s.lastSnapshot = found
	}
}

func (s *Stream) retentionPeriod() time.Duration {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	return s.retention.period
}
