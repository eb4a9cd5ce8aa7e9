package stream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
)

// readPath is the way in which records were read.
type readPath int

const (
	pathDirect readPath = iota
	pathRelay
)

const (
	// maxGaps is the number of reads with missing records after which the stream assumes that the log has dropped them.
	maxGaps = 3
	// emptyReadPause is the pause after an empty read that returned at once, as from a log that does not wait for new
	// records.
	emptyReadPause = 20 * time.Millisecond
)

// runTail reads the log directly until the stream stops. It goes on while records are read through a peer, so that the
// end of an outage is noticed at once.
func (s *Stream) runTail(ctx context.Context) {
	retry := s.newBackoff()
	gaps := 0
	for ctx.Err() == nil {
		err := s.readOnce(ctx, pathDirect, s.cfg.Log.Read)
		switch {
		case err == nil:
			gaps = 0
			retry.Reset()
			continue
		case errors.Is(err, errHalted):
			return
		case errors.Is(err, errGap):
			gaps++
		}
		if errors.Is(err, ports.ErrTruncated) || gaps >= maxGaps {
			if err = s.recover(ctx); err == nil {
				gaps = 0
				continue
			}
		}
		s.metrics.readErrors.Inc()
		s.cfg.Logger.Debug("reading the log failed", zap.Error(err))
		s.sleep(ctx, retry.NextBackOff())
	}
}

// reader reads from the log as ports.Log.Read does, directly or through a peer.
type reader func(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error)

// readOnce reads the records after the last applied one and applies them.
func (s *Stream) readOnce(ctx context.Context, via readPath, read reader) error {
	limited, cancel := s.withTimeout(ctx, s.cfg.PollWait+s.cfg.ReadTimeout)
	defer cancel()
	began := s.cfg.Clock.Now()
	batch, err := read(limited, s.Status().Applied+1, s.cfg.MaxReadRecords, s.cfg.PollWait)
	if err != nil {
		return fmt.Errorf("reading the log: %w", err)
	}
	if err := s.applyBatch(batch, via, began); err != nil {
		return err
	}
	if len(batch.Records) == 0 && s.cfg.Clock.Since(began) < emptyReadPause {
		s.sleep(ctx, emptyReadPause)
	}
	return nil
}

// applyBatch applies the records of a batch that follow the last applied one, in offset order. It skips records that
// are applied already, so that duplicate, reordered and outdated answers do no harm.
func (s *Stream) applyBatch(batch ports.Batch, via readPath, began time.Time) error {
	records := slices.Clone(batch.Records)
	slices.SortStableFunc(records, func(a, b ports.Record) int { return int(a.Offset - b.Offset) })
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if halted := s.Status().HaltReason; halted != "" {
		return fmt.Errorf("%w: %s", errHalted, halted)
	}
	s.retention.observe(batch.First, s.cfg.Clock.Now())
	for _, rec := range records {
		if rec.Offset <= s.applied {
			continue
		}
		if rec.Offset > s.applied+1 {
			s.metrics.gaps.Inc()
			return fmt.Errorf("%w: offset %d follows %d", errGap, rec.Offset, s.applied)
		}
		if err := s.applyRecord(rec); err != nil {
			return err
		}
	}
	// An answer that ends before the current state comes from a log replica or a peer that lags behind, and doesn't
	// show that the state is fresh.
	if batch.Next == s.applied+1 {
		s.setFresh(via, began)
	}
	return nil
}

// applyRecord applies one record; the caller holds applyMu.
func (s *Stream) applyRecord(rec ports.Record) error {
	env, err := record.Decode(rec.Data)
	if err != nil {
		return s.halt(rec.Offset, err)
	}
	applied := s.cfg.StateMachine.Apply(rec.Offset, env)
	s.applied = rec.Offset
	s.setApplied(rec.Offset)
	s.metrics.applied.Inc()
	if applied.Duplicate {
		s.metrics.duplicates.Inc()
	}
	s.retention.sample(rec.Offset, time.Unix(0, env.Time))
	s.trackSnapshotParts(env)
	if len(applied.Events) > 0 {
		s.publish(Update{Offset: rec.Offset, Events: applied.Events})
	}
	s.resolveReadBack(env, applied)
	return nil
}

// halt stops applying records for good: a program version that cannot decode a record must not go on with a state that
// differs from the other instances'. The envelope in flight can then no longer be read back.
func (s *Stream) halt(offset model.Offset, reason error) error {
	s.mu.Lock()
	s.status.HaltReason = fmt.Sprintf("record at offset %d: %v", offset, reason)
	current := s.inFlight
	s.inFlight = nil
	s.mu.Unlock()
	s.metrics.halted.Set(1)
	s.cfg.Logger.Error("folding stopped", zap.Int64("offset", int64(offset)), zap.Error(reason))
	s.queue.close(errHalted)
	if current != nil {
		resolveAll(current.submissions, fmt.Errorf("%w: %w", ErrUnknownOutcome, errHalted))
		current.finish()
	}
	return fmt.Errorf("%w: offset %d: %w", errHalted, offset, reason)
}
