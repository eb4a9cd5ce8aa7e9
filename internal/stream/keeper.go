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
	// partSize is the data in one snapshot part; as base64 with its envelope it stays below 64 KB.
	partSize = 45 << 10
	// snapshotDuty names the duty of writing snapshots for rendezvous hashing.
	snapshotDuty = "snapshot"
	// snapshotCheck is the interval at which the need for a snapshot is checked.
	snapshotCheck = time.Second
	// retentionParts is the fraction of the retention period after which a snapshot is due.
	retentionParts = 3
)

// runSnapshots writes snapshots while this instance is the first live member for that duty.
func (s *Stream) runSnapshots(ctx context.Context) {
	for s.sleep(ctx, snapshotCheck) {
		if !s.snapshotDue() || !s.cfg.Peers.First(snapshotDuty) {
			continue
		}
		if err := s.writeSnapshot(ctx); err != nil {
			s.metrics.snapshotErrors.Inc()
			s.cfg.Logger.Warn("writing a snapshot failed", zap.Error(err))
			s.sleep(ctx, s.cfg.SnapshotGap)
		}
	}
}

// snapshotDue reports whether the newest snapshot in the log is too many records or too much time behind.
func (s *Stream) snapshotDue() bool {
	status := s.Status()
	now := s.cfg.Clock.Now()
	if !s.Ready() || status.Applied == model.NoOffset || now.Sub(status.Fresh()) >= s.cfg.FreshBound {
		return false
	}
	newest := s.newestRecorded()
	age := now.Sub(newest.time)
	if age < s.cfg.SnapshotGap {
		return false
	}
	return status.Applied-newest.at >= model.Offset(s.cfg.SnapshotRecords) || age >= s.retentionPeriod()/retentionParts
}

// writeSnapshot records the state in parts, one envelope after the other, and stops as soon as another instance's
// newer snapshot is whole.
func (s *Stream) writeSnapshot(ctx context.Context) error {
	at, data, err := s.encodeState()
	if err != nil {
		return err
	}
	parts := slices.Collect(slices.Chunk(data, partSize))
	for i, part := range parts {
		if s.newestRecorded().at >= at {
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

// submitPart submits one part; the time limit lets an outage end the snapshot instead of holding it up.
func (s *Stream) submitPart(ctx context.Context, op record.SnapshotPart) error {
	limited, cancel := s.withTimeout(ctx, s.cfg.SnapshotGap)
	defer cancel()
	results, err := s.Submit(limited, op)
	return errors.Join(append(results, err)...)
}

// noteParts follows the snapshots in the log; the caller holds the fold lock.
func (s *Stream) noteParts(env record.Envelope) {
	if s.parts.addEnvelope(env) {
		s.setRecorded(recorded{at: s.parts.newest.at, time: s.parts.newest.time})
	}
}

func (s *Stream) newestRecorded() recorded {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded
}

// setRecorded remembers the newest snapshot. Its time comes from another instance's clock, so it is not trusted to lie
// in the future.
func (s *Stream) setRecorded(found recorded) {
	now := s.cfg.Clock.Now()
	if found.time.After(now) {
		found.time = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found.at > s.recorded.at {
		s.recorded = found
	}
}

func (s *Stream) retentionPeriod() time.Duration {
	s.fold.Lock()
	defer s.fold.Unlock()
	return s.retention.period
}
