package ports

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/model"
)

// Errors of the log.
var (
	// ErrUnavailable reports that the log refused the call without effect.
	ErrUnavailable = errors.New("log unavailable")
	// ErrUnknownEffect reports that the append may or may not have taken effect.
	ErrUnknownEffect = errors.New("effect of the append is unknown")
	// ErrThrottled reports that the log's append rate is used up; the append had no effect.
	ErrThrottled = errors.New("append rate exceeded")
	// ErrTruncated reports that the records asked for are past retention.
	ErrTruncated = errors.New("records are past retention")
)

// Record is one entry of the log.
type Record struct {
	Offset model.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// First is the oldest offset still kept.
	First model.Offset
	// Next is the offset that the next append gets.
	Next model.Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append writes one record and returns its offset.
	Append(ctx context.Context, data []byte) (model.Offset, error)
	// Read returns at most limit records from offset from on; it waits up to wait for the first one.
	Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (Batch, error)
}
