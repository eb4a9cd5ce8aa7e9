package once

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a request ID, and the answer to a claim for it.
type Status string

// Statuses of request IDs.
const (
	// StatusGranted means that the claimant may run the request, and nobody else.
	StatusGranted Status = "granted"
	// StatusRunning means that another claimant holds the ID.
	StatusRunning Status = "running"
	// StatusAnswered means that the request ran and the client received an answer.
	StatusAnswered Status = "answered"
	// StatusUnknown means that the request may have run.
	StatusUnknown Status = "unknown"
	// StatusMoved means that claimant and owner have different memberships; the claim had no effect.
	StatusMoved Status = "moved"
	// StatusFull means that the table is full and that the ID was not claimed; the claim had no effect.
	StatusFull Status = "full"
)

// Entry is the record of one request ID.
type Entry struct {
	ID       string    `json:"id"`
	Status   Status    `json:"status"`
	Claimant string    `json:"claimant"`
	Expires  time.Time `json:"expires"`
}

// WithStatus returns a copy of the entry with another status and expiry time.
func (e Entry) WithStatus(status Status, expires time.Time) Entry {
	e.Status = status
	e.Expires = expires
	return e
}

const shardCount = 64

// shard is the part of a table under one lock.
type shard struct {
	mu      sync.Mutex
	entries map[string]Entry
}

// table holds the entries in shards, each with a lock of its own.
type table struct {
	shards   [shardCount]shard
	size     atomic.Int64
	capacity int64
}

func newTable(capacity int) *table {
	t := &table{capacity: int64(capacity)}
	for i := range t.shards {
		t.shards[i].entries = make(map[string]Entry)
	}
	return t
}

func (t *table) shardOf(id string) *shard {
	return &t.shards[xxhash.Sum64String(id)%shardCount]
}

// claim returns the status for the claimant of a new entry. If the table has no live entry for the ID, it adds the new
// one and returns StatusGranted, but only if missingStatus, the status of an ID without an entry, is StatusGranted.
func (t *table) claim(entry Entry, now time.Time, missingStatus Status) Status {
	s := t.shardOf(entry.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.entries[entry.ID]; ok && now.Before(existing.Expires) {
		if existing.Status == StatusRunning && existing.Claimant == entry.Claimant {
			return StatusGranted
		}
		return existing.Status
	}
	if missingStatus != StatusGranted {
		return missingStatus
	}
	if t.size.Load() >= t.capacity {
		return StatusFull
	}
	t.put(s, entry)
	return StatusGranted
}

// settle sets the status of an entry that the claimant holds; it returns false if there is none.
func (t *table) settle(id, claimant string, status Status, expires time.Time) bool {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.entries[id]
	if !ok || existing.Claimant != claimant {
		return false
	}
	s.entries[id] = existing.WithStatus(status, expires)
	return true
}

// release removes the entry of a claimant whose request certainly did not run.
func (t *table) release(id, claimant string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.entries[id]; ok && existing.Claimant == claimant {
		delete(s.entries, id)
		t.size.Add(-1)
	}
}

// merge adds an entry handed over by another member, unless the table has an entry for the ID already.
func (t *table) merge(entry Entry) {
	s := t.shardOf(entry.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[entry.ID]; !ok {
		t.put(s, entry)
	}
}

// put adds or replaces an entry; the caller holds the shard's lock.
func (t *table) put(s *shard, entry Entry) {
	if _, ok := s.entries[entry.ID]; !ok {
		t.size.Add(1)
	}
	s.entries[entry.ID] = entry
}

// expire removes the entries whose expiry time is not after now.
func (t *table) expire(now time.Time) {
	for i := range t.shards {
		t.expireShard(&t.shards[i], now)
	}
}

func (t *table) expireShard(s *shard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, entry := range s.entries {
		if !now.Before(entry.Expires) {
			delete(s.entries, id)
			t.size.Add(-1)
		}
	}
}

// selectEntries returns the entries whose IDs match.
func (t *table) selectEntries(match func(id string) bool) []Entry {
	var out []Entry
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, entry := range s.entries {
			if match(id) {
				out = append(out, entry)
			}
		}
		s.mu.Unlock()
	}
	return out
}
