package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/ports"
)

// ErrTooLarge reports a record above Config.MaxBytes.
var ErrTooLarge = errors.New("record is too large")

// Config configures a log.
type Config struct {
	Clock clockwork.Clock
	// AppendsPerSecond and Burst limit the rate of appends.
	AppendsPerSecond float64
	Burst            int
	// KeepRecords and KeepFor bound the retention by number and by age.
	KeepRecords int
	KeepFor     time.Duration
	// MaxBytes bounds the size of one record.
	MaxBytes int
}

type storedRecord struct {
	data []byte
	at   time.Time
}

// Store is an append-only log with limited retention. It is safe for concurrent use.
type Store struct {
	cfg     Config
	limiter *rate.Limiter

	mu      sync.Mutex
	records []storedRecord
	first   model.Offset
	// appended is closed and replaced at each append, to wake up waiting reads.
	appended chan struct{}
}

// New returns an empty log.
func New(cfg Config) *Store {
	return &Store{
		cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.Burst), appended: make(chan struct{}),
	}
}

// Append writes one record; it returns ports.ErrThrottled or ErrTooLarge, both without effect.
func (s *Store) Append(data []byte) (model.Offset, error) {
	if len(data) > s.cfg.MaxBytes {
		return model.NoOffset, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(data), s.cfg.MaxBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if !s.limiter.AllowN(now, 1) {
		return model.NoOffset, fmt.Errorf("%w: %v appends per second", ports.ErrThrottled, s.cfg.AppendsPerSecond)
	}
	offset := s.next()
	s.records = append(s.records, storedRecord{data: append([]byte(nil), data...), at: now})
	s.expire(now)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, nil
}

func (s *Store) next() model.Offset { return s.first + model.Offset(len(s.records)) }

// expire deletes the records past retention.
func (s *Store) expire(now time.Time) {
	drop := max(0, len(s.records)-s.cfg.KeepRecords)
	for drop < len(s.records) && now.Sub(s.records[drop].at) > s.cfg.KeepFor {
		drop++
	}
	s.drop(drop)
}

func (s *Store) drop(n int) {
	clear(s.records[:n])
	s.records = s.records[n:]
	s.first += model.Offset(n)
}

// Truncate deletes the records before an offset.
func (s *Store) Truncate(before model.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = min(before, s.next())
	if before > s.first {
		s.drop(int(before - s.first))
	}
}

// Read returns at most limit records from an offset on. If there is none, it waits for one until ctx ends, and then returns
// an empty batch without an error. It returns ports.ErrTruncated for an offset before the oldest retained record.
func (s *Store) Read(ctx context.Context, from model.Offset, limit int) (ports.Batch, error) {
	for {
		batch, appended, err := s.read(from, limit)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return batch, nil
		}
	}
}

func (s *Store) read(from model.Offset, limit int) (ports.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.cfg.Clock.Now())
	batch := ports.Batch{Records: []ports.Record{}, First: s.first, Next: s.next()}
	if from < s.first {
		return batch, nil, fmt.Errorf("%w: offset %d, oldest is %d", ports.ErrTruncated, from, s.first)
	}
	for offset := from; offset < batch.Next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, ports.Record{Offset: offset, Data: s.records[offset-s.first].data})
	}
	return batch, s.appended, nil
}
