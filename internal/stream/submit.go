package stream

import (
	"context"
	"fmt"

	"arbutuswing.example/internal/record"
)

// Submit records operations in one envelope and returns once the local fold has applied it: for each operation nil, or
// the reason for which it is void. The error is ErrNotRecorded (certainly no effect, also for ErrOverloaded and
// ErrTooLarge) or ErrUnknownOutcome (ctx ended or the stream stopped while the envelope was in flight, or a restored
// snapshot already contained it).
func (s *Stream) Submit(ctx context.Context, ops ...record.Op) ([]error, error) {
	if len(ops) == 0 {
		return nil, nil
	}
	waiting, err := s.queue.add(ops)
	if err != nil {
		s.metrics.refused.Inc()
		return nil, fmt.Errorf("submitting %d operations: %w", len(ops), err)
	}
	select {
	case got := <-waiting.done:
		return got.results, got.err
	case <-ctx.Done():
	}
	if s.queue.withdraw(waiting) {
		return nil, fmt.Errorf("%w: %w", ErrNotRecorded, context.Cause(ctx))
	}
	select {
	case got := <-waiting.done:
		return got.results, got.err
	default:
		s.metrics.unknown.Inc()
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, context.Cause(ctx))
	}
}
