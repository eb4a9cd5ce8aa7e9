package inbox

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"arbutuswing.example/internal/ledger"
	"arbutuswing.example/internal/pause"
)

var (
	// ErrRefused reports that nothing was stored and nothing will be.
	ErrRefused = errors.New("not stored")
	// ErrUnknown reports that the record may be stored or may still become so.
	ErrUnknown = errors.New("unknown whether stored")
)

const (
	// maxBatch bounds the records of one append.
	maxBatch = 200
	// maxBatchBytes stays below what the store takes in one call.
	maxBatchBytes = 1 << 20
	// queueLimit bounds the records that wait for an append.
	queueLimit = 2000
	// stuckAfter is how long an append may go without an answer before new records are refused at once.
	stuckAfter = 400 * time.Millisecond
	// retryPause is kept before an append without an answer is repeated.
	retryPause = 100 * time.Millisecond
)

// Config describes an inbox.
type Config struct {
	Store     ledger.Store
	Topic     ledger.Topic
	Partition int
	// Producer names this boot of the process in the store.
	Producer string
	Log      *zap.Logger
}

// Inbox appends records in the order of its calls.
type Inbox struct {
	cfg   Config
	queue chan *item
	// stuckSince is when the append under way began to lack an answer, in nanoseconds since start; zero if it doesn't.
	stuckSince atomic.Int64
	start      time.Time
	// sequence numbers the next append.
	sequence int64
}

type item struct {
	record ledger.Record
	done   chan error
}

// New returns an inbox.
func New(cfg Config) *Inbox {
	return &Inbox{cfg: cfg, queue: make(chan *item, queueLimit), start: time.Now(), sequence: 1}
}

// Put stores a record; it returns ErrRefused or ErrUnknown if it can't.
func (b *Inbox) Put(ctx context.Context, record ledger.Record) error {
	if since := b.stuckSince.Load(); since != 0 && time.Since(b.start)-time.Duration(since) > stuckAfter {
		return ErrRefused
	}
	it := &item{record: record, done: make(chan error, 1)}
	select {
	case b.queue <- it:
	default:
		return ErrRefused
	}
	select {
	case err := <-it.done:
		return err
	case <-ctx.Done():
		return ErrUnknown
	}
}

// Run appends until the context ends.
func (b *Inbox) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-b.queue:
			b.append(ctx, b.collect(first))
		}
	}
}

// collect takes what waits, up to the limits of one append.
func (b *Inbox) collect(first *item) []*item {
	batch, size := []*item{first}, len(first.record.Value)
	for len(batch) < maxBatch && size < maxBatchBytes {
		select {
		case it := <-b.queue:
			batch = append(batch, it)
			size += len(it.record.Value)
		default:
			return batch
		}
	}
	return batch
}

func (b *Inbox) append(ctx context.Context, items []*item) {
	batch := ledger.Batch{
		Topic: b.cfg.Topic, Partition: b.cfg.Partition, Producer: b.cfg.Producer, Epoch: 1, Sequence: b.sequence,
	}
	for _, it := range items {
		batch.Records = append(batch.Records, it.record)
	}
	defer b.stuckSince.Store(0)
	unanswered := false
	for ctx.Err() == nil {
		err := b.cfg.Store.Append(ctx, batch)
		switch {
		case err == nil:
			b.sequence++
			b.finish(items, nil)
			return
		case errors.Is(err, ledger.ErrRefused) && !unanswered:
			b.cfg.Log.Warn("append refused", zap.Int("records", len(items)), zap.Error(err))
			b.finish(items, ErrRefused)
			return
		case errors.Is(err, ledger.ErrNoAnswer), errors.Is(err, ledger.ErrRefused):
			if !unanswered {
				unanswered = true
				b.stuckSince.Store(max(1, int64(time.Since(b.start))))
				b.cfg.Log.Warn("append without answer", zap.Int64("sequence", b.sequence), zap.Error(err))
			}
			b.refuseWaiting()
			pause.For(ctx, retryPause)
		default:
			b.cfg.Log.Error("append failed", zap.Int64("sequence", b.sequence), zap.Error(err))
			b.finish(items, ErrUnknown)
			b.sequence++
			return
		}
	}
	b.finish(items, ErrUnknown)
}

// refuseWaiting refuses what has not been sent while the store doesn't answer.
func (b *Inbox) refuseWaiting() {
	if since := b.stuckSince.Load(); time.Since(b.start)-time.Duration(since) <= stuckAfter {
		return
	}
	for {
		select {
		case it := <-b.queue:
			it.done <- ErrRefused
		default:
			return
		}
	}
}

func (b *Inbox) finish(items []*item, err error) {
	for _, it := range items {
		it.done <- err
	}
}
