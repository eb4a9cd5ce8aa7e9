package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxBufferedLines bounds the lines that wait to be written; at 200 bytes each they take under a mebibyte.
const maxBufferedLines = 4096

// Buffer hands lines to a writer without ever waiting for it: lines that find the buffer full are counted and left out.
type Buffer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBuffer returns a buffer before out and starts to write.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go b.loop()
	return b
}

// Write takes a line in; it never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out so far.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

// Close waits up to limit until what is buffered has been written.
func (b *Buffer) Close(limit time.Duration) {
	close(b.lines)
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}

func (b *Buffer) loop() {
	defer close(b.done)
	reported := int64(0)
	for line := range b.lines {
		if dropped := b.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(b.out, "level=warn msg=\"log lines left out\" count=%d\n", dropped-reported)
			reported = dropped
		}
		_, _ = b.out.Write(line)
	}
}
