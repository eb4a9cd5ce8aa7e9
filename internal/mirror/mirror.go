package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/pause"
)

const (
	// minRetryDelay and maxRetryDelay bound the pause after a failed read, which doubles with each failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// rescanInterval bounds how long the mirror misses a record that no read has delivered.
	rescanInterval = 5 * time.Second
)

// Config configures a mirror.
type Config struct {
	Store     ledger.Store
	Topic     ledger.Topic
	Partition int
	// Wait is how long a read waits for a new record.
	Wait time.Duration
	// Pause is the time between reads; it bounds the number of calls when records are frequent.
	Pause time.Duration
	// OnChange is called with all records after each change, under a lock; it must not keep the map.
	OnChange func(map[string][]byte)
	// OnRead, if set, is called after each successful read, once its changes have been passed on, with the time at which it began.
	OnRead func(begun time.Time)
	Log    *zap.Logger
}

// Mirror is the local copy of a partition.
type Mirror struct {
	cfg Config

	mu      sync.Mutex
	records map[string][]byte
	loaded  bool
}

// New returns an empty mirror.
func New(cfg Config) *Mirror { return &Mirror{cfg: cfg, records: make(map[string][]byte)} }

// Run reads from the store until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	delay := minRetryDelay
	failing := false
	for ctx.Err() == nil {
		err := m.follow(ctx, func() {
			delay = minRetryDelay
			if failing {
				failing = false
				m.cfg.Log.Info("store reads regained", zap.String("topic", string(m.cfg.Topic)))
			}
		})
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, ledger.ErrTrimmed) {
			m.cfg.Log.Info("store trimmed records, reading the newest", zap.String("topic", string(m.cfg.Topic)))
			continue
		}
		if !failing && err != nil {
			failing = true
			m.cfg.Log.Warn("store reads lost", zap.String("topic", string(m.cfg.Topic)), zap.Error(err))
		}
		if err != nil {
			pause.For(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
}

// follow reads the newest records and then the records that are added; it returns nil when the next rescan is due. It
// calls ok when the newest records have been read.
func (m *Mirror) follow(ctx context.Context, ok func()) error {
	begun := time.Now()
	page, err := m.cfg.Store.Newest(ctx, m.cfg.Topic, m.cfg.Partition)
	if err != nil {
		return err
	}
	ok()
	m.replace(page.Records)
	m.noteRead(begun)
	next := page.Next
	for scanned := time.Now(); time.Since(scanned) < rescanInterval; {
		begun := time.Now()
		page, err := m.cfg.Store.Read(ctx, m.cfg.Topic, m.cfg.Partition, next, m.cfg.Wait)
		if err != nil {
			return err
		}
		next = page.Next
		m.apply(page.Records)
		if !page.More {
			m.noteRead(begun)
		}
		pause.For(ctx, m.cfg.Pause)
	}
	return nil
}

func (m *Mirror) noteRead(begun time.Time) {
	if m.cfg.OnRead != nil {
		m.cfg.OnRead(begun)
	}
}

func (m *Mirror) replace(records []ledger.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := make(map[string][]byte, len(records))
	changed := len(records) != len(m.records) || !m.loaded
	for _, r := range records {
		if len(r.Value) > 0 {
			changed = changed || string(m.records[r.Key]) != string(r.Value)
			newest[r.Key] = r.Value
		}
	}
	m.records, m.loaded = newest, true
	if changed {
		m.cfg.OnChange(m.records)
	}
}

func (m *Mirror) apply(records []ledger.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(m.records, r.Key)
			continue
		}
		m.records[r.Key] = append([]byte(nil), r.Value...)
	}
	if len(records) > 0 {
		m.cfg.OnChange(m.records)
	}
}
