package ports

import (
	"context"
	"errors"
	"time"

	"arbutuswing.example/internal/model"
)

// Errors of the log.
var (
	// ErrUnavailable reports that the log rejected the call; it had no effect.
	ErrUnavailable = errors.New("log unavailable")
	// ErrUnknownEffect reports that it is unknown whether the append took effect.
	ErrUnknownEffect = errors.New("effect of the append is unknown")
	// ErrThrottled reports that the log's append rate is exceeded; the append had no effect.
	ErrThrottled = errors.New("append rate exceeded")
	// ErrTruncated reports that the requested records are no longer kept.
	ErrTruncated = errors.New("records are past retention")
)

// Record is one record of the log.
type Record struct {
	Offset model.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// Batch is the result of a read from the log.
type Batch struct {
	Records []Record
	// First is the offset of the oldest record that is kept.
	First model.Offset
	// Next is the offset that the next appended record will get.
	Next model.Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends one record and returns its offset.
	Append(ctx context.Context, data []byte) (model.Offset, error)
	// Read returns at most limit records, starting at offset from. It waits for the first one for at most wait.
	Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (Batch, error)
}
