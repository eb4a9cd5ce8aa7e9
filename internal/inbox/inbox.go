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
	// ErrRefused reports that the record is not stored and will not be.
	ErrRefused = errors.New("not stored")
	// ErrTooLarge reports that the record is not stored because it is larger than the store accepts.
	ErrTooLarge = errors.New("record larger than the store accepts")
	// ErrUnknown reports that the record may have been stored or may still be stored.
	ErrUnknown = errors.New("unknown whether stored")
)

const (
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 200
	// maxBatchBytes is the size at which a batch is closed; it is below the store's size limit for one call.
	maxBatchBytes = 1 << 20
	// queueSize bounds the records that wait for an append.
	queueSize = 2000
	// unansweredLimit is how long an append may remain unanswered before new and waiting records are refused.
	unansweredLimit = 400 * time.Millisecond
	// retryDelay is the pause before an unanswered append is repeated.
	retryDelay = 100 * time.Millisecond
)

// Config configures an inbox.
type Config struct {
	Store     ledger.Store
	Topic     ledger.Topic
	Partition int
	// Producer identifies this process to the store; it is different after each start.
	Producer string
	// RepeatLimit is the age up to which a record is sent to the store, or sent again. It must be well below the time for which the
	// state of an ended job is kept.
	RepeatLimit time.Duration
	Log         *zap.Logger
}

// Inbox appends records to the store in the order of the calls of Put.
type Inbox struct {
	cfg   Config
	queue chan *pendingRecord
	// unansweredSince is when an attempt of the append under way first got no answer, in nanoseconds since start, or zero.
	unansweredSince atomic.Int64
	start           time.Time
	// epoch and sequence are those of the next append.
	epoch, sequence int64
}

type pendingRecord struct {
	record ledger.Record
	since  time.Time
	done   chan error
	// claimed is set by the first of the append that sends the record and the caller that withdraws it.
	claimed atomic.Bool
}

func (p *pendingRecord) claim() bool { return p.claimed.CompareAndSwap(false, true) }

// New returns an inbox that appends nothing until Run is called.
func New(cfg Config) *Inbox {
	return &Inbox{cfg: cfg, queue: make(chan *pendingRecord, queueSize), start: time.Now(), epoch: 1, sequence: 1}
}

// Put stores a record and returns nil once the store has confirmed it, or else ErrRefused, ErrTooLarge or ErrUnknown. A record that
// still waits for its append when the context ends is withdrawn.
func (b *Inbox) Put(ctx context.Context, record ledger.Record) error {
	if record.Size() > ledger.MaxRecordBytes {
		return ErrTooLarge
	}
	if since := b.unansweredSince.Load(); since != 0 && time.Since(b.start)-time.Duration(since) > unansweredLimit {
		return ErrRefused
	}
	p := &pendingRecord{record: record, since: time.Now(), done: make(chan error, 1)}
	select {
	case b.queue <- p:
	default:
		return ErrRefused
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
	}
	if p.claim() {
		return ErrRefused
	}
	select {
	case err := <-p.done:
		return err
	default:
		return ErrUnknown
	}
}

// Run appends records until the context ends.
func (b *Inbox) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-b.queue:
			if batch := b.collectBatch(first); len(batch) > 0 {
				b.append(ctx, batch)
			}
		}
	}
}

// collectBatch takes waiting records, which have not been withdrawn, up to the limits of one append.
func (b *Inbox) collectBatch(first *pendingRecord) []*pendingRecord {
	var batch []*pendingRecord
	for p, size := first, 0; ; {
		if p.claim() {
			batch = append(batch, p)
			size += len(p.record.Value)
		}
		if len(batch) >= maxBatchRecords || size >= maxBatchBytes {
			return batch
		}
		select {
		case p = <-b.queue:
		default:
			return batch
		}
	}
}

func (b *Inbox) append(ctx context.Context, pending []*pendingRecord) {
	batch := ledger.Batch{
		Topic: b.cfg.Topic, Partition: b.cfg.Partition, Producer: b.cfg.Producer, Epoch: b.epoch, Sequence: b.sequence,
	}
	for _, p := range pending {
		batch.Records = append(batch.Records, p.record)
	}
	defer b.unansweredSince.Store(0)
	unanswered := false
	for ctx.Err() == nil {
		// The process may have stood still since the last step. The records wait in order, so that the first is the oldest.
		if time.Since(pending[0].since) > b.cfg.RepeatLimit {
			b.giveUp(pending, unanswered)
			return
		}
		err := b.cfg.Store.Append(ctx, batch)
		switch {
		case err == nil:
			b.sequence++
			b.answerAll(pending, nil)
			return
		case errors.Is(err, ledger.ErrRefused) && !unanswered:
			b.cfg.Log.Warn("append refused", zap.Int("records", len(pending)), zap.Error(err))
			b.answerAll(pending, ErrRefused)
			return
		case errors.Is(err, ledger.ErrNoAnswer), errors.Is(err, ledger.ErrRefused):
			if !unanswered {
				unanswered = true
				b.unansweredSince.Store(max(1, int64(time.Since(b.start))))
				b.cfg.Log.Warn("append without answer", zap.Int64("sequence", b.sequence), zap.Error(err))
			}
			b.refuseWaiting()
			pause.For(ctx, retryDelay)
		default:
			b.cfg.Log.Error("append failed", zap.Int64("sequence", b.sequence), zap.Error(err))
			b.answerAll(pending, ErrUnknown)
			b.sequence++
			return
		}
	}
	b.answerAll(pending, ErrUnknown)
}

// giveUp ends the attempts to store records. If one of them went unanswered, the next append is under a higher epoch, after which the
// store refuses what is still under way of these.
func (b *Inbox) giveUp(pending []*pendingRecord, unanswered bool) {
	b.cfg.Log.Error("append given up", zap.Int64("sequence", b.sequence), zap.Int("records", len(pending)))
	if !unanswered {
		b.answerAll(pending, ErrRefused)
		return
	}
	b.answerAll(pending, ErrUnknown)
	b.epoch, b.sequence = b.epoch+1, 1
}

// refuseWaiting refuses the records that have not been sent, once the store has not answered for unansweredLimit.
func (b *Inbox) refuseWaiting() {
	if since := b.unansweredSince.Load(); time.Since(b.start)-time.Duration(since) <= unansweredLimit {
		return
	}
	for {
		select {
		case p := <-b.queue:
			p.done <- ErrRefused
		default:
			return
		}
	}
}

func (b *Inbox) answerAll(pending []*pendingRecord, err error) {
	for _, p := range pending {
		p.done <- err
	}
}
