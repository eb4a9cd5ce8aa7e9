package stream

import (
	"encoding/json"
	"fmt"
	"sync"

	"arbutuswing.example/internal/record"
)

// opOverhead is an upper bound for what the encoding adds around an operation's body, in bytes.
const opOverhead = 64

// headerSize is an upper bound for what the encoding adds around all operations of an envelope, in bytes.
const headerSize = 512

// outcome is what a submitter learns.
type outcome struct {
	results []error
	err     error
}

// entry holds the operations of one Submit call; they always share an envelope.
type entry struct {
	ops  []record.Op
	size int
	// done receives exactly one outcome.
	done chan outcome
}

// queue holds the entries that were not sent yet.
type queue struct {
	maxOps, maxBytes, maxEnvelope int

	mu      sync.Mutex
	entries []*entry
	ops     int
	bytes   int
	// refused is set while entries would have to wait behind an envelope that is in flight during an outage.
	refused error
	// closed is set once the stream has stopped or halted.
	closed error
	// wake has a token while entries wait.
	wake chan struct{}
}

func newQueue(cfg Config) *queue {
	return &queue{
		maxOps: cfg.QueueOps, maxBytes: cfg.QueueBytes, maxEnvelope: cfg.EnvelopeLimit, wake: make(chan struct{}, 1),
	}
}

// add appends an entry; every error wraps ErrNotRecorded.
func (q *queue) add(ops []record.Op) (*entry, error) {
	size, err := encodedSize(ops)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	if size+headerSize > q.maxEnvelope {
		return nil, fmt.Errorf("%w: %w: %d bytes", ErrNotRecorded, ErrTooLarge, size)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRecorded, q.closed)
	}
	if q.refused != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRecorded, q.refused)
	}
	if q.ops+len(ops) > q.maxOps || q.bytes+size > q.maxBytes {
		return nil, fmt.Errorf("%w: %w", ErrNotRecorded, ErrOverloaded)
	}
	added := &entry{ops: ops, size: size, done: make(chan outcome, 1)}
	q.entries = append(q.entries, added)
	q.ops += len(ops)
	q.bytes += size
	q.signal()
	return added, nil
}

func encodedSize(ops []record.Op) (int, error) {
	size := 0
	for _, op := range ops {
		body, err := json.Marshal(op)
		if err != nil {
			return 0, fmt.Errorf("encoding %s: %w", record.KindOf(op), err)
		}
		size += len(body) + opOverhead
	}
	return size, nil
}

// withdraw removes an entry that was not sent; it returns false if the entry was taken or resolved already.
func (q *queue) withdraw(wanted *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, found := range q.entries {
		if found == wanted {
			q.entries = append(q.entries[:i], q.entries[i+1:]...)
			q.ops -= len(found.ops)
			q.bytes -= found.size
			return true
		}
	}
	return false
}

// take removes the entries that fit into the next envelope.
func (q *queue) take() []*entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, count := headerSize, 0
	for count < len(q.entries) && size+q.entries[count].size <= q.maxEnvelope {
		size += q.entries[count].size
		q.ops -= len(q.entries[count].ops)
		q.bytes -= q.entries[count].size
		count++
	}
	taken := q.entries[:count:count]
	q.entries = append([]*entry(nil), q.entries[count:]...)
	if len(q.entries) > 0 {
		q.signal()
	}
	return taken
}

// refuse resolves all entries as not recorded; with shut set, later ones are refused too until open is called.
func (q *queue) refuse(reason error, shut bool) {
	q.mu.Lock()
	refused := q.entries
	q.entries, q.ops, q.bytes = nil, 0, 0
	if shut {
		q.refused = reason
	}
	q.mu.Unlock()
	resolveAll(refused, fmt.Errorf("%w: %w", ErrNotRecorded, reason))
}

// close resolves all entries as not recorded and refuses later ones for good.
func (q *queue) close(reason error) {
	q.mu.Lock()
	if q.closed == nil {
		q.closed = reason
	}
	q.mu.Unlock()
	q.refuse(reason, false)
}

// open lets entries wait again.
func (q *queue) open() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refused = nil
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) length() (entries, ops, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries), q.ops, q.bytes
}

func resolveAll(entries []*entry, err error) {
	for _, e := range entries {
		e.done <- outcome{err: err}
	}
}
