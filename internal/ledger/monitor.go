package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// InstrumentedStore passes calls on to a store, measures them and remembers when it last answered.
type InstrumentedStore struct {
	store Store
	start time.Time
	// answered is the time of the last answer since start; the steady clock counts.
	answered atomic.Int64
}

var _ Store = (*InstrumentedStore)(nil)

// NewInstrumentedStore returns a monitor of a store that has not answered yet.
func NewInstrumentedStore(store Store) *InstrumentedStore {
	m := &InstrumentedStore{store: store, start: time.Now()}
	m.answered.Store(-int64(time.Hour))
	return m
}

// TimeSinceAnswer returns how long ago the store last answered.
func (m *InstrumentedStore) TimeSinceAnswer() time.Duration {
	return time.Since(m.start) - time.Duration(m.answered.Load())
}

// note counts a call that began at the given time.
func (m *InstrumentedStore) note(call string, begun time.Time, err error) {
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
		m.answered.Store(int64(time.Since(m.start)))
	}
}

// Append appends a batch.
func (m *InstrumentedStore) Append(ctx context.Context, batch Batch) error {
	begun := time.Now()
	err := m.store.Append(ctx, batch)
	m.note("append", begun, err)
	return err
}

// Newest returns the newest record of each key.
func (m *InstrumentedStore) Newest(ctx context.Context, topic Topic, partition int) (Page, error) {
	begun := time.Now()
	page, err := m.store.Newest(ctx, topic, partition)
	m.note("newest", begun, err)
	return page, err
}

// Read returns records from an offset.
func (m *InstrumentedStore) Read(ctx context.Context, topic Topic, partition int, from int64, wait time.Duration) (Page, error) {
	begun := time.Now()
	page, err := m.store.Read(ctx, topic, partition, from, wait)
	m.note("read", begun, err)
	return page, err
}

// Join joins a group or keeps the member in it.
func (m *InstrumentedStore) Join(ctx context.Context, member Membership) (Assignment, error) {
	begun := time.Now()
	share, err := m.store.Join(ctx, member)
	m.note("join", begun, err)
	return share, err
}

// Leave gives up a membership.
func (m *InstrumentedStore) Leave(ctx context.Context, member Membership) error {
	begun := time.Now()
	err := m.store.Leave(ctx, member)
	m.note("leave", begun, err)
	return err
}

// Holders returns who holds which partition.
func (m *InstrumentedStore) Holders(ctx context.Context, group string) ([]Holder, error) {
	begun := time.Now()
	holders, err := m.store.Holders(ctx, group)
	m.note("holders", begun, err)
	return holders, err
}
