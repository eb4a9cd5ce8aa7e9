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

// route tells how records reached this instance.
type route int

const (
	routeDirect route = iota
	routeRelay
)

const (
	// gapLimit is the number of reads in a row with missing records after which they count as past retention.
	gapLimit = 3
	// emptyPause is the pause after an empty answer that came at once, from a log that does not wait for records.
	emptyPause = 20 * time.Millisecond
)

// runTail reads the log itself for as long as the stream runs, also while a peer relays, so that the end of an outage
// is noticed at once.
func (s *Stream) runTail(ctx context.Context) {
	retry := s.newBackoff()
	gaps := 0
	for ctx.Err() == nil {
		err := s.readOnce(ctx, routeDirect, s.cfg.Log.Read)
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
		if errors.Is(err, ports.ErrTruncated) || gaps >= gapLimit {
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

// reader is ports.Log.Read or its relayed form.
type reader func(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ports.Batch, error)

// readOnce reads the records after the last folded one and folds them.
func (s *Stream) readOnce(ctx context.Context, via route, read reader) error {
	limited, cancel := s.withTimeout(ctx, s.cfg.PollWait+s.cfg.ReadTimeout)
	defer cancel()
	began := s.cfg.Clock.Now()
	batch, err := read(limited, s.Status().Applied+1, s.cfg.ReadLimit, s.cfg.PollWait)
	if err != nil {
		return fmt.Errorf("reading the log: %w", err)
	}
	if err := s.ingest(batch, via, began); err != nil {
		return err
	}
	if len(batch.Records) == 0 && s.cfg.Clock.Since(began) < emptyPause {
		s.sleep(ctx, emptyPause)
	}
	return nil
}

// ingest folds the records of a batch that follow the last folded one, in offset order. Records at or below it are
// ignored, so that repeated, reordered and outdated answers do no harm.
func (s *Stream) ingest(batch ports.Batch, via route, began time.Time) error {
	records := slices.Clone(batch.Records)
	slices.SortStableFunc(records, func(a, b ports.Record) int { return int(a.Offset - b.Offset) })
	s.fold.Lock()
	defer s.fold.Unlock()
	if halted := s.Status().Halted; halted != "" {
		return fmt.Errorf("%w: %s", errHalted, halted)
	}
	s.retention.observe(batch.First, s.cfg.Clock.Now())
	for _, rec := range records {
		if rec.Offset <= s.folded {
			continue
		}
		if rec.Offset > s.folded+1 {
			s.metrics.gaps.Inc()
			return fmt.Errorf("%w: offset %d follows %d", errGap, rec.Offset, s.folded)
		}
		if err := s.foldRecord(rec); err != nil {
			return err
		}
	}
	// An answer whose end lies before the folded state comes from a log or a peer that lags behind; it proves nothing.
	if batch.Next == s.folded+1 {
		s.setFresh(via, began)
	}
	return nil
}

// foldRecord folds one record; the caller holds the fold lock.
func (s *Stream) foldRecord(rec ports.Record) error {
	env, err := record.Decode(rec.Data)
	if err != nil {
		return s.halt(rec.Offset, err)
	}
	applied := s.cfg.Folder.Apply(rec.Offset, env)
	s.folded = rec.Offset
	s.setApplied(rec.Offset)
	s.metrics.folded.Inc()
	if applied.Duplicate {
		s.metrics.duplicates.Inc()
	}
	s.retention.sample(rec.Offset, time.Unix(0, env.Time))
	s.noteParts(env)
	if len(applied.Events) > 0 {
		s.publish(Update{Offset: rec.Offset, Events: applied.Events})
	}
	s.land(env, applied)
	return nil
}

// halt stops folding for good: a program that does not understand a record must not go on with a state of its own. The
// envelope in flight can no longer be read back.
func (s *Stream) halt(offset model.Offset, reason error) error {
	s.mu.Lock()
	s.status.Halted = fmt.Sprintf("record at offset %d: %v", offset, reason)
	current := s.inFlight
	s.inFlight = nil
	s.mu.Unlock()
	s.metrics.halted.Set(1)
	s.cfg.Logger.Error("folding stopped", zap.Int64("offset", int64(offset)), zap.Error(reason))
	s.queue.close(errHalted)
	if current != nil {
		resolveAll(current.entries, fmt.Errorf("%w: %w", ErrUnknownOutcome, errHalted))
		current.landed()
	}
	return fmt.Errorf("%w: offset %d: %w", errHalted, offset, reason)
}
