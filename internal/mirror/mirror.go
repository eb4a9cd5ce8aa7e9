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
	// retryFirst and retryMax bound the pause after a read that failed; it doubles each time.
	retryFirst = 100 * time.Millisecond
	retryMax   = 400 * time.Millisecond
	// rescanEvery bounds how long a record that a read never delivered stays unnoticed.
	rescanEvery = 5 * time.Second
)

// Config describes a mirror.
type Config struct {
	Store     ledger.Store
	Topic     ledger.Topic
	Partition int
	// Wait is how long a read waits for a new record.
	Wait time.Duration
	// Pause is kept between reads, so that frequent records cost few calls.
	Pause time.Duration
	// OnChange is called with all records after each change; it must not keep the map.
	OnChange func(map[string][]byte)
	Log      *zap.Logger
}

// Mirror is the copy.
type Mirror struct {
	cfg Config

	mu      sync.Mutex
	records map[string][]byte
	loaded  bool
}

// New returns an empty mirror.
func New(cfg Config) *Mirror { return &Mirror{cfg: cfg, records: make(map[string][]byte)} }

// Run reads until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	delay := retryFirst
	down := false
	for ctx.Err() == nil {
		err := m.follow(ctx, func() {
			delay = retryFirst
			if down {
				down = false
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
		if !down && err != nil {
			down = true
			m.cfg.Log.Warn("store reads lost", zap.String("topic", string(m.cfg.Topic)), zap.Error(err))
		}
		if err != nil {
			pause.For(ctx, delay)
			delay = min(2*delay, retryMax)
		}
	}
	return nil
}

// follow reads the newest records and then what is added; it returns nil when a new scan is due.
func (m *Mirror) follow(ctx context.Context, ok func()) error {
	page, err := m.cfg.Store.Newest(ctx, m.cfg.Topic, m.cfg.Partition)
	if err != nil {
		return err
	}
	ok()
	m.replace(page.Records)
	next := page.Next
	for scanned := time.Now(); time.Since(scanned) < rescanEvery; {
		page, err := m.cfg.Store.Read(ctx, m.cfg.Topic, m.cfg.Partition, next, m.cfg.Wait)
		if err != nil {
			return err
		}
		next = page.Next
		m.apply(page.Records)
		pause.For(ctx, m.cfg.Pause)
	}
	return nil
}

func (m *Mirror) replace(records []ledger.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := make(map[string][]byte, len(records))
	changed := len(records) != len(m.records) || !m.loaded
	for _, r := range records {
		if len(r.Value) > 0 {
			changed = changed || string(m.records[r.Key]) != string(r.Value)
			fresh[r.Key] = r.Value
		}
	}
	m.records, m.loaded = fresh, true
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
