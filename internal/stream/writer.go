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

// pendingEnvelope is the envelope in flight: it was or will be appended and has not been read back yet.
type pendingEnvelope struct {
	sequence    int64
	data        []byte
	submissions []*submission
	// mayBeRecorded is set once an append may have taken effect; until then the operations can be reported as not
	// recorded.
	mayBeRecorded bool
	// failingSince is the time of the first of the consecutive failed appends, or zero.
	failingSince time.Time
	// ctx ends when the envelope is read back, which also cancels an append that still waits for its answer, or when
	// the stream stops.
	ctx    context.Context //nolint:containedctx // the lifetime of the envelope
	finish context.CancelFunc
	// repeat requests an append at once. It is used after a snapshot was restored that may contain the envelope: the
	// original record is not read any more then, and reading the repeated one back resolves the envelope.
	repeat chan struct{}
}

// runWriter commits one envelope after the other. The next one is not sent before the last one was read back: otherwise
// a repeated append could be recorded after its successor and be ignored as outdated.
func (s *Stream) runWriter(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
		case <-s.queue.wake:
		}
		if ctx.Err() == nil && s.sleep(ctx, s.commitInterval()-s.cfg.Clock.Since(last)) {
			last = s.cfg.Clock.Now()
			s.commit(ctx, s.queue.takeBatch())
		}
		if ctx.Err() != nil {
			s.queue.close(errStopped)
			return
		}
	}
}

// commitInterval grows with the number of writers, to bound the total rate of appends.
func (s *Stream) commitInterval() time.Duration {
	return min(s.cfg.CommitIntervalPerMember*time.Duration(max(s.cfg.Peers.Count(), 1)), s.cfg.MaxCommitInterval)
}

func (s *Stream) commit(ctx context.Context, submissions []*submission) {
	if len(submissions) == 0 {
		return
	}
	current, err := s.startEnvelope(ctx, submissions)
	if err != nil {
		resolveAll(submissions, fmt.Errorf("%w: %w", ErrNotRecorded, err))
		return
	}
	defer current.finish()
	retry := s.newBackoff()
	for {
		wait, done := s.appendOnce(current, retry)
		if done || s.awaitReadBack(current, wait) {
			break
		}
	}
	s.resolveUnfinished(current)
	if ctx.Err() == nil {
		s.queue.accept()
	}
}

// startEnvelope encodes the next envelope and puts it in flight. It never reuses a sequence number for other contents,
// not even if the log refused the former envelope: if that refusal was wrong, one of the two would be ignored as a
// duplicate of the other.
func (s *Stream) startEnvelope(ctx context.Context, submissions []*submission) (*pendingEnvelope, error) {
	s.sequence++
	env := record.Envelope{
		Writer: s.cfg.Instance, Incarnation: s.cfg.Incarnation, Sequence: s.sequence,
		Time: s.cfg.Clock.Now().UnixNano(),
	}
	for _, e := range submissions {
		env.Ops = append(env.Ops, e.ops...)
	}
	data, err := record.Encode(env)
	if err != nil {
		return nil, fmt.Errorf("encoding envelope %d: %w", s.sequence, err)
	}
	started := &pendingEnvelope{sequence: s.sequence, data: data, submissions: submissions, repeat: make(chan struct{}, 1)}
	started.ctx, started.finish = context.WithCancel(ctx)
	s.setInFlight(started)
	s.metrics.envelopes.Inc()
	s.metrics.operations.Add(len(env.Ops))
	return started, nil
}

// appendOnce appends the envelope once and returns how long to wait before the next append; it returns true if the
// envelope needs no further append.
func (s *Stream) appendOnce(current *pendingEnvelope, retry *backoff.ExponentialBackOff) (time.Duration, bool) {
	start := s.cfg.Clock.Now()
	_, err := s.append(current.ctx, current.data)
	s.metrics.appends.Inc()
	notRecorded := errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrThrottled)
	if !notRecorded {
		current.mayBeRecorded = true
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
	if current.failingSince.IsZero() {
		current.failingSince = start
	}
	if !s.inOutage() && s.cfg.Clock.Since(current.failingSince) < s.cfg.RefuseAfter {
		return retry.NextBackOff(), false
	}
	return retry.NextBackOff(), s.refuseForOutage(current, err)
}

func (s *Stream) endOutage(current *pendingEnvelope) {
	current.failingSince = time.Time{}
	s.queue.accept()
	s.setOutage(false)
}

// refuseForOutage tells callers at once that operations were not recorded, as far as that is certain. An envelope that
// may be in the log stays in flight, and submissions that would wait behind it are refused. It returns true if the
// envelope itself is no longer in flight.
func (s *Stream) refuseForOutage(current *pendingEnvelope, reason error) bool {
	s.setOutage(true)
	if current.mayBeRecorded {
		s.queue.refuse(reason, true)
		return false
	}
	if !s.dropInFlight(current) {
		return true
	}
	s.metrics.refused.Add(len(current.submissions))
	resolveAll(current.submissions, fmt.Errorf("%w: %w", ErrNotRecorded, reason))
	s.queue.refuse(reason, false)
	return true
}

// awaitReadBack waits until the envelope is read back or has to be appended again; it returns true if no further append
// is needed.
func (s *Stream) awaitReadBack(current *pendingEnvelope, wait time.Duration) bool {
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

// resolveUnfinished resolves the envelope in flight when the stream stops before the envelope was read back.
func (s *Stream) resolveUnfinished(current *pendingEnvelope) {
	if !s.dropInFlight(current) {
		return
	}
	if current.mayBeRecorded {
		resolveAll(current.submissions, fmt.Errorf("%w: %w", ErrUnknownOutcome, errStopped))
		return
	}
	resolveAll(current.submissions, fmt.Errorf("%w: %w", ErrNotRecorded, errStopped))
}

// resolveReadBack resolves the envelope in flight if env is that envelope. The results of a duplicate are unknown: it
// was applied before as part of a restored snapshot, or a newer incarnation of this instance has replaced this one.
func (s *Stream) resolveReadBack(env record.Envelope, applied state.ApplyResult) {
	if env.Writer != s.cfg.Instance || env.Incarnation != s.cfg.Incarnation {
		return
	}
	current := s.takeInFlight(env.Sequence)
	if current == nil {
		return
	}
	if applied.Duplicate || len(applied.Results) != len(env.Ops) {
		// The text is sent to callers: "folded unseen" means applied before the envelope was read back.
		s.metrics.unknownOutcomes.Add(len(current.submissions))
		resolveAll(current.submissions, fmt.Errorf("%w: the envelope was folded unseen", ErrUnknownOutcome))
	} else {
		results := applied.Results
		for _, e := range current.submissions {
			e.done <- outcome{results: results[:len(e.ops):len(e.ops)]}
			results = results[len(e.ops):]
		}
	}
	current.finish()
}

// append appends to the log, through a peer while the log does not answer this instance.
func (s *Stream) append(ctx context.Context, data []byte) (model.Offset, error) {
	ctx, cancel := s.withTimeout(ctx, s.cfg.AppendTimeout)
	defer cancel()
	if s.cfg.Clock.Since(s.Status().LastDirectRead) >= s.cfg.FreshBound {
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
