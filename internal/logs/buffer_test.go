package logs

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingWriter collects the lines written to it and waits for the gate before each line.
type blockingWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (s *blockingWriter) Write(line []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

// TestBufferNeverBlocks guards against a process that blocks because nothing reads its log output.
func TestBufferNeverBlocks(t *testing.T) {
	out := &blockingWriter{gate: make(chan struct{})}
	b := NewBuffer(out)
	const lines = maxBufferedLines + 100
	for range lines {
		_, err := b.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, b.Dropped() >= 99 && b.Dropped() <= 100)
	// Once lines are written again, the log states that lines were dropped.
	close(out.gate)
	b.Close(time.Minute)
	assert.Equal(t, strings.Count(out.text.String(), "line\n"), lines-int(b.Dropped()))
	assert.Assert(t, strings.Contains(out.text.String(), "log lines left out"))
}

// TestWriteAfterClose guards against a process that panics because a goroutine logs while the process ends.
func TestWriteAfterClose(t *testing.T) {
	b := NewBuffer(io.Discard)
	b.Close(time.Minute)
	_, err := b.Write([]byte("line\n"))
	assert.NilError(t, err)
	b.Close(time.Minute)
}

func BenchmarkBuffer(b *testing.B) {
	log, err := New(NewBuffer(io.Discard), "info")
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("event")
	}
}
