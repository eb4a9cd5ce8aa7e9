package state

import "sync"

// shardCount is the number of locks of a table, so that readers rarely wait for the state machine, which holds the lock
// of one shard at a time.
const shardCount = 32

// table is a map split into shards, each with its own lock. The goroutine that applies envelopes is the only writer, so
// it reads without locking.
type table[K ~string, V any] struct {
	shards [shardCount]shard[K, V]
}

type shard[K ~string, V any] struct {
	mu   sync.RWMutex
	rows map[K]V
}

func newTable[K ~string, V any]() *table[K, V] {
	t := &table[K, V]{}
	for i := range t.shards {
		t.shards[i].rows = make(map[K]V)
	}
	return t
}

// shard returns the shard that holds the key.
func (t *table[K, V]) shard(key K) *shard[K, V] {
	return &t.shards[hashKey(string(key))%shardCount]
}

// hashKey returns the FNV-1a hash of the key.
func hashKey(key string) uint32 {
	const offset, prime = 2166136261, 16777619
	hash := uint32(offset)
	for i := range len(key) {
		hash = (hash ^ uint32(key[i])) * prime
	}
	return hash
}

// get reads a row without locking; only the goroutine that applies envelopes may call it.
func (t *table[K, V]) get(key K) (V, bool) {
	row, ok := t.shard(key).rows[key]
	return row, ok
}

// lock takes and returns the write lock of the shard that holds the key. The caller changes the row in place and
// unlocks.
func (t *table[K, V]) lock(key K) *sync.RWMutex {
	mu := &t.shard(key).mu
	mu.Lock()
	return mu
}

func (t *table[K, V]) put(key K, row V) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[key] = row
}

func (t *table[K, V]) remove(key K) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, key)
}

// view calls visit with the row of key under the read lock, and reports whether the row exists.
func (t *table[K, V]) view(key K, visit func(V)) bool {
	s := t.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	row, ok := s.rows[key]
	if ok {
		visit(row)
	}
	return ok
}

// each calls visit with every row, in no particular order, under the read lock of the row's shard.
func (t *table[K, V]) each(visit func(K, V)) {
	for i := range t.shards {
		t.shards[i].each(visit)
	}
}

func (s *shard[K, V]) each(visit func(K, V)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, row := range s.rows {
		visit(key, row)
	}
}
