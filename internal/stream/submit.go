package stream

import (
	"context"
	"fmt"

	"arbutuswing.example/internal/record"
)

// Submit records operations in one envelope and returns once the local state machine has applied it, with one result
// for each operation: nil, or the reason why it was rejected. The error wraps ErrNotRecorded if the operations have no
// effect (also together with ErrOverloaded and ErrTooLarge), or ErrUnknownOutcome if ctx ended or the stream stopped
// while the envelope was in flight, or if a restored snapshot already contained it.
func (s *Stream) Submit(ctx context.Context, ops ...record.Op) ([]error, error) {
	if len(ops) == 0 {
		return nil, nil
	}
	submitted, err := s.queue.add(ops)
	if err != nil {
		s.metrics.refused.Inc()
		return nil, fmt.Errorf("submitting %d operations: %w", len(ops), err)
	}
	select {
	case got := <-submitted.done:
		return got.results, got.err
	case <-ctx.Done():
	}
	if s.queue.remove(submitted) {
		return nil, fmt.Errorf("%w: %w", ErrNotRecorded, context.Cause(ctx))
	}
	select {
	case got := <-submitted.done:
		return got.results, got.err
	default:
		s.metrics.unknownOutcomes.Inc()
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, context.Cause(ctx))
	}
}
