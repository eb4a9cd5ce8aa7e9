package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// InstrumentedStore passes calls on to a store, records metrics of them and remembers when the store last answered.
type InstrumentedStore struct {
	store Store
	start time.Time
	// lastAnswer is the time of the last answer in nanoseconds since start, by the monotonic clock.
	lastAnswer atomic.Int64
}

var _ Store = (*InstrumentedStore)(nil)

// NewInstrumentedStore adds metrics to a store. Until the first answer, TimeSinceAnswer returns more than an hour.
func NewInstrumentedStore(store Store) *InstrumentedStore {
	s := &InstrumentedStore{store: store, start: time.Now()}
	s.lastAnswer.Store(-int64(time.Hour))
	return s
}

// TimeSinceAnswer returns the time since the store last answered; a refusal is no answer.
func (s *InstrumentedStore) TimeSinceAnswer() time.Duration {
	return time.Since(s.start) - time.Duration(s.lastAnswer.Load())
}

// observe records the metrics of a call that began at the given time, and the time of its answer.
func (s *InstrumentedStore) observe(call string, begun time.Time, err error) {
	outcome := "answered"
	switch {
	case errors.Is(err, ErrRefused):
		outcome = "refused"
	case errors.Is(err, ErrNoAnswer):
		outcome = "no-answer"
	case err != nil:
		outcome = "error"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`aw_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`aw_store_call_seconds{call=%q}`, call)).UpdateDuration(begun)
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrNoAnswer) {
		s.lastAnswer.Store(int64(time.Since(s.start)))
	}
}

// Append appends a batch.
func (s *InstrumentedStore) Append(ctx context.Context, batch Batch) error {
	begun := time.Now()
	err := s.store.Append(ctx, batch)
	s.observe("append", begun, err)
	return err
}

// Newest returns the newest record of each key.
func (s *InstrumentedStore) Newest(ctx context.Context, topic Topic, partition int) (Page, error) {
	begun := time.Now()
	page, err := s.store.Newest(ctx, topic, partition)
	s.observe("newest", begun, err)
	return page, err
}

// Read returns the records from an offset on.
func (s *InstrumentedStore) Read(ctx context.Context, topic Topic, partition int, from int64, wait time.Duration) (Page, error) {
	begun := time.Now()
	page, err := s.store.Read(ctx, topic, partition, from, wait)
	s.observe("read", begun, err)
	return page, err
}

// Join joins a group or renews the membership.
func (s *InstrumentedStore) Join(ctx context.Context, member Membership) (Assignment, error) {
	begun := time.Now()
	assignment, err := s.store.Join(ctx, member)
	s.observe("join", begun, err)
	return assignment, err
}

// Leave ends a membership.
func (s *InstrumentedStore) Leave(ctx context.Context, member Membership) error {
	begun := time.Now()
	err := s.store.Leave(ctx, member)
	s.observe("leave", begun, err)
	return err
}

// Holders returns the assigned partitions of a group with their members.
func (s *InstrumentedStore) Holders(ctx context.Context, group string) ([]Holder, error) {
	begun := time.Now()
	holders, err := s.store.Holders(ctx, group)
	s.observe("holders", begun, err)
	return holders, err
}
