package stream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
	"arbutuswing.example/internal/record"
	"arbutuswing.example/internal/state"
)

// flight is the one envelope that may be in the log without having been read back.
type flight struct {
	sequence int64
	data     []byte
	entries  []*entry
	// sent is set once an append may have taken effect; until then the operations can be refused truthfully.
	sent bool
	// refusedSince is the time of the first of the appends that failed in a row, or zero.
	refusedSince time.Time
	// ctx ends when the envelope was read back, which also ends an append that still waits for its answer, or when the
	// stream stops.
	ctx    context.Context //nolint:containedctx // the life of the envelope
	landed context.CancelFunc
	// repeat asks for an append at once, because a restored snapshot may contain the envelope.
	repeat chan struct{}
}

// runWriter commits one envelope after the other. At most one is in flight, and nothing after it is sent before it was
// read back: otherwise a repeated append could land after its successor and be ignored.
func (s *Stream) runWriter(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
		case <-s.queue.wake:
		}
		if ctx.Err() == nil && s.sleep(ctx, s.commitInterval()-s.cfg.Clock.Since(last)) {
			last = s.cfg.Clock.Now()
			s.commit(ctx, s.queue.take())
		}
		if ctx.Err() != nil {
			s.queue.close(errStopped)
			return
		}
	}
}

// commitInterval grows with the number of writers, so that the appends per second of all of them stay bounded.
func (s *Stream) commitInterval() time.Duration {
	return min(s.cfg.CommitUnit*time.Duration(max(s.cfg.Peers.Count(), 1)), s.cfg.CommitMax)
}

func (s *Stream) commit(ctx context.Context, entries []*entry) {
	if len(entries) == 0 {
		return
	}
	current, err := s.launch(ctx, entries)
	if err != nil {
		resolveAll(entries, fmt.Errorf("%w: %w", ErrNotRecorded, err))
		return
	}
	defer current.landed()
	retry := s.newBackoff()
	for {
		wait, done := s.attempt(current, retry)
		if done || s.awaitLanding(current, wait) {
			break
		}
	}
	s.abandon(current)
	if ctx.Err() == nil {
		s.queue.open()
	}
}

// launch encodes the next envelope. A sequence number is never used for two contents, not even after a refusal,
// because the contents of a refusal that was a lie would then be mistaken for each other.
func (s *Stream) launch(ctx context.Context, entries []*entry) (*flight, error) {
	s.sequence++
	env := record.Envelope{
		Writer: s.cfg.Instance, Incarnation: s.cfg.Incarnation, Sequence: s.sequence,
		Time: s.cfg.Clock.Now().UnixNano(),
	}
	for _, e := range entries {
		env.Ops = append(env.Ops, e.ops...)
	}
	data, err := record.Encode(env)
	if err != nil {
		return nil, fmt.Errorf("encoding envelope %d: %w", s.sequence, err)
	}
	launched := &flight{sequence: s.sequence, data: data, entries: entries, repeat: make(chan struct{}, 1)}
	launched.ctx, launched.landed = context.WithCancel(ctx)
	s.setFlight(launched)
	s.metrics.envelopes.Inc()
	s.metrics.operations.Add(len(env.Ops))
	return launched, nil
}

// attempt appends once and returns how long to wait for the envelope before the next attempt; done reports that its
// operations were refused.
func (s *Stream) attempt(current *flight, retry *backoff.ExponentialBackOff) (time.Duration, bool) {
	start := s.cfg.Clock.Now()
	_, err := s.append(current.ctx, current.data)
	s.metrics.appends.Inc()
	certain := errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrThrottled)
	if !certain {
		current.sent = true
	}
	if err == nil || current.ctx.Err() != nil {
		s.endOutage(current)
		return s.cfg.ReadBackWait, current.ctx.Err() != nil
	}
	s.metrics.appendErrors.Inc()
	s.cfg.Logger.Debug("append failed", zap.Int64("sequence", current.sequence), zap.Error(err))
	if errors.Is(err, ports.ErrThrottled) {
		s.endOutage(current)
		return retry.NextBackOff(), false
	}
	if current.refusedSince.IsZero() {
		current.refusedSince = start
	}
	if !s.inOutage() && s.cfg.Clock.Since(current.refusedSince) < s.cfg.RefuseAfter {
		return retry.NextBackOff(), false
	}
	return retry.NextBackOff(), s.refuseForOutage(current, err)
}

func (s *Stream) endOutage(current *flight) {
	current.refusedSince = time.Time{}
	s.queue.open()
	s.setOutage(false)
}

// refuseForOutage refuses what was certainly never recorded, so that callers learn it at once; an envelope that may be
// in the log stays in flight, and entries that would wait behind it are refused. It reports whether the envelope
// itself was refused.
func (s *Stream) refuseForOutage(current *flight, reason error) bool {
	s.setOutage(true)
	if current.sent {
		s.queue.refuse(reason, true)
		return false
	}
	if !s.dropFlight(current) {
		return true
	}
	s.metrics.refused.Add(len(current.entries))
	resolveAll(current.entries, fmt.Errorf("%w: %w", ErrNotRecorded, reason))
	s.queue.refuse(reason, false)
	return true
}

// awaitLanding waits until the envelope is read back; it returns true if nothing is left to do for it.
func (s *Stream) awaitLanding(current *flight, wait time.Duration) bool {
	timer := s.cfg.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-current.ctx.Done():
		return true
	case <-current.repeat:
		return false
	case <-timer.Chan():
		s.metrics.repeats.Inc()
		return false
	}
}

// abandon resolves the envelope if the stream stops before it was read back.
func (s *Stream) abandon(current *flight) {
	if !s.dropFlight(current) {
		return
	}
	if current.sent {
		resolveAll(current.entries, fmt.Errorf("%w: %w", ErrUnknownOutcome, errStopped))
		return
	}
	resolveAll(current.entries, fmt.Errorf("%w: %w", ErrNotRecorded, errStopped))
}

// land resolves the envelope in flight if env is it. A duplicate was folded before with a restored snapshot, or belongs
// to an incarnation that the fold holds for replaced; its results are not known.
func (s *Stream) land(env record.Envelope, applied state.ApplyResult) {
	if env.Writer != s.cfg.Instance || env.Incarnation != s.cfg.Incarnation {
		return
	}
	current := s.takeFlight(env.Sequence)
	if current == nil {
		return
	}
	if applied.Duplicate || len(applied.Results) != len(env.Ops) {
		s.metrics.unknown.Add(len(current.entries))
		resolveAll(current.entries, fmt.Errorf("%w: the envelope was folded unseen", ErrUnknownOutcome))
	} else {
		results := applied.Results
		for _, e := range current.entries {
			e.done <- outcome{results: results[:len(e.ops):len(e.ops)]}
			results = results[len(e.ops):]
		}
	}
	current.landed()
}

// append appends directly, or through a peer while the log itself does not answer this instance.
func (s *Stream) append(ctx context.Context, data []byte) (model.Offset, error) {
	ctx, cancel := s.withTimeout(ctx, s.cfg.AppendTimeout)
	defer cancel()
	if s.cfg.Clock.Since(s.Status().Direct) >= s.cfg.FreshBound {
		if source, ok := s.pickRelay(); ok {
			offset, err := s.cfg.Relay.AppendLog(ctx, source.Address, data)
			if err != nil {
				err = fmt.Errorf("appending through %s: %w", source.Address, err)
			}
			return offset, err
		}
	}
	offset, err := s.cfg.Log.Append(ctx, data)
	if err != nil {
		err = fmt.Errorf("appending to the log: %w", err)
	}
	return offset, err
}
