package once

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is what the table knows about a request ID.
type Status string

// Statuses of request IDs.
const (
	// StatusGranted lets the claimant run the request; nobody else may.
	StatusGranted Status = "granted"
	// StatusRunning means that another claimant holds the ID.
	StatusRunning Status = "running"
	// StatusAnswered means that the request ran and was answered.
	StatusAnswered Status = "answered"
	// StatusUnknown means that the request may have run.
	StatusUnknown Status = "unknown"
	// StatusMoved means that claimant and owner hold different memberships; the claim had no effect.
	StatusMoved Status = "moved"
	// StatusFull means that the table has no room and that the ID was never claimed; the claim had no effect.
	StatusFull Status = "full"
)

// Entry is what the table keeps about one request ID.
type Entry struct {
	ID       string    `json:"id"`
	Status   Status    `json:"status"`
	Claimant string    `json:"claimant"`
	Expires  time.Time `json:"expires"`
}

// WithStatus returns the entry in another status, kept until expires.
func (e Entry) WithStatus(status Status, expires time.Time) Entry {
	e.Status = status
	e.Expires = expires
	return e
}

const shardCount = 64

type shard struct {
	mu      sync.Mutex
	entries map[string]Entry
}

// table holds entries in shards, each under its own lock.
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

// claim returns the status for the claimant; it adds an entry only when unseen allows it.
func (t *table) claim(fresh Entry, now time.Time, unseen Status) Status {
	s := t.shardOf(fresh.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if have, ok := s.entries[fresh.ID]; ok && now.Before(have.Expires) {
		if have.Status == StatusRunning && have.Claimant == fresh.Claimant {
			return StatusGranted
		}
		return have.Status
	}
	if unseen != StatusGranted {
		return unseen
	}
	if t.size.Load() >= t.capacity {
		return StatusFull
	}
	t.put(s, fresh)
	return StatusGranted
}

// settle replaces the status of an entry that the claimant holds; it reports whether there was one.
func (t *table) settle(id, claimant string, status Status, expires time.Time) bool {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	have, ok := s.entries[id]
	if !ok || have.Claimant != claimant {
		return false
	}
	s.entries[id] = have.WithStatus(status, expires)
	return true
}

// withdraw removes the entry of a claimant whose request surely did not run.
func (t *table) withdraw(id, claimant string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if have, ok := s.entries[id]; ok && have.Claimant == claimant {
		delete(s.entries, id)
		t.size.Add(-1)
	}
}

// merge adds an entry handed over by an earlier owner; what the table already knows stays.
func (t *table) merge(entry Entry) {
	s := t.shardOf(entry.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[entry.ID]; !ok {
		t.put(s, entry)
	}
}

func (t *table) put(s *shard, entry Entry) {
	if _, ok := s.entries[entry.ID]; !ok {
		t.size.Add(1)
	}
	s.entries[entry.ID] = entry
}

// expire removes the entries that expired before now.
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
