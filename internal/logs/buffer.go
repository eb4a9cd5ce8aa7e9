package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxBufferedLines is the number of lines that may wait to be written; at 200 bytes each, they take less than 1 MiB.
const maxBufferedLines = 4096

// Buffer writes lines to another writer in the background, so that callers never block. If the buffer is full, lines are
// dropped and counted.
type Buffer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewBuffer returns a buffer that writes to out and starts its goroutine.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, lines: make(chan []byte, maxBufferedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.loop()
	return b
}

// Write adds a line to the buffer, or drops it if the buffer is full. It never blocks and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

// Close waits up to limit for the buffered lines to be written. Lines that are added later may be lost.
func (b *Buffer) Close(limit time.Duration) {
	b.once.Do(func() { close(b.closing) })
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}

func (b *Buffer) loop() {
	defer close(b.done)
	reported := int64(0)
	write := func(line []byte) {
		if dropped := b.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(b.out, "level=warn msg=\"log lines left out\" count=%d\n", dropped-reported)
			reported = dropped
		}
		_, _ = b.out.Write(line)
	}
	for {
		select {
		case line := <-b.lines:
			write(line)
			continue
		case <-b.closing:
		}
		for {
			select {
			case line := <-b.lines:
				write(line)
			default:
				return
			}
		}
	}
}
