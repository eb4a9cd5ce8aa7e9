package stream

import (
	"encoding/json"
	"fmt"
	"sync"

	"arbutuswing.example/internal/record"
)

// opOverhead is an upper bound for the bytes that the encoding adds to the body of an operation.
const opOverhead = 64

// envelopeOverhead is an upper bound for the bytes that the encoding adds to the operations of an envelope.
const envelopeOverhead = 512

// outcome is the result of a Submit call.
type outcome struct {
	results []error
	err     error
}

// submission holds the operations of one Submit call, which are always recorded in the same envelope.
type submission struct {
	ops  []record.Op
	size int
	// done receives exactly one outcome.
	done chan outcome
}

// queue holds the submissions that are not part of an envelope yet.
type queue struct {
	maxOps, maxBytes, maxEnvelope int

	mu          sync.Mutex
	submissions []*submission
	ops         int
	bytes       int
	// refused is the reason for which new submissions are refused, or nil. It is set during a log outage while an
	// envelope that may be recorded is in flight: new submissions would have to wait behind it.
	refused error
	// closed is the reason for which the queue was closed, or nil; it is set once the stream has stopped or halted.
	closed error
	// wake holds a token while submissions wait.
	wake chan struct{}
}

func newQueue(cfg Config) *queue {
	return &queue{
		maxOps: cfg.MaxQueuedOps, maxBytes: cfg.MaxQueuedBytes, maxEnvelope: cfg.MaxEnvelopeBytes, wake: make(chan struct{}, 1),
	}
}

// add appends a submission; every error wraps ErrNotRecorded.
func (q *queue) add(ops []record.Op) (*submission, error) {
	size, err := encodedSize(ops)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	if size+envelopeOverhead > q.maxEnvelope {
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
	added := &submission{ops: ops, size: size, done: make(chan outcome, 1)}
	q.submissions = append(q.submissions, added)
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

// remove takes a waiting submission out of the queue; it returns false if the submission is in an envelope or resolved
// already.
func (q *queue) remove(wanted *submission) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, found := range q.submissions {
		if found == wanted {
			q.submissions = append(q.submissions[:i], q.submissions[i+1:]...)
			q.ops -= len(found.ops)
			q.bytes -= found.size
			return true
		}
	}
	return false
}

// takeBatch removes and returns the submissions that fit into the next envelope.
func (q *queue) takeBatch() []*submission {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, count := envelopeOverhead, 0
	for count < len(q.submissions) && size+q.submissions[count].size <= q.maxEnvelope {
		size += q.submissions[count].size
		q.ops -= len(q.submissions[count].ops)
		q.bytes -= q.submissions[count].size
		count++
	}
	taken := q.submissions[:count:count]
	q.submissions = append([]*submission(nil), q.submissions[count:]...)
	if len(q.submissions) > 0 {
		q.signal()
	}
	return taken
}

// refuse resolves all submissions as not recorded. With keepRefusing set, later ones are refused too until accept is
// called.
func (q *queue) refuse(reason error, keepRefusing bool) {
	q.mu.Lock()
	refused := q.submissions
	q.submissions, q.ops, q.bytes = nil, 0, 0
	if keepRefusing {
		q.refused = reason
	}
	q.mu.Unlock()
	resolveAll(refused, fmt.Errorf("%w: %w", ErrNotRecorded, reason))
}

// close resolves all submissions as not recorded and refuses all later ones.
func (q *queue) close(reason error) {
	q.mu.Lock()
	if q.closed == nil {
		q.closed = reason
	}
	q.mu.Unlock()
	q.refuse(reason, false)
}

// accept makes the queue take submissions again after refuse.
func (q *queue) accept() {
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

func (q *queue) length() (submissions, ops, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.submissions), q.ops, q.bytes
}

func resolveAll(submissions []*submission, err error) {
	for _, e := range submissions {
		e.done <- outcome{err: err}
	}
}
