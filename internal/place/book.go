package place

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"arbutuswing.example/internal/model"
)

// Worker is what the book knows about a worker.
type Worker struct {
	ID       model.WorkerID
	Rack     model.RackID
	Capacity model.Resources
	// Usable lets the worker be chosen; reservations are kept either way.
	Usable bool
}

// Demand is a task that needs a worker.
type Demand struct {
	Size model.Resources
	// Spread counts the tasks of the same service by rack.
	Spread map[model.RackID]int
	// Rack is preferred if set.
	Rack model.RackID
	// Avoid excludes workers; it is called with locks held and must not call the book.
	Avoid func(model.WorkerID) bool
}

func (d Demand) penalty(rack model.RackID) float64 {
	penalty := float64(d.Spread[rack]) * spreadPenalty
	if d.Rack != "" && rack != d.Rack {
		penalty += spreadPenalty
	}
	return penalty
}

// Inventory accounts for the free capacity of workers; all methods are safe for concurrent use.
type Inventory struct {
	cfg    Config
	scorer scorer
	shards []*shard

	mu sync.RWMutex
	// home maps a worker to its shard.
	home map[model.WorkerID]*shard
	next int
}

// New returns an empty book; it returns ErrBadConfig for settings out of range.
func New(cfg Config) (*Inventory, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	b := &Inventory{
		cfg: cfg, scorer: scorer{strategy: cfg.Strategy, balance: cfg.BalanceWeight},
		home: make(map[model.WorkerID]*shard),
	}
	for range cfg.Shards {
		b.shards = append(b.shards, &shard{nodes: make(map[model.WorkerID]*node)})
	}
	return b, nil
}

// Set adds a worker or changes it; its reservations stay.
func (b *Inventory) Set(w Worker) {
	s, index := b.locate(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[w.ID]
	if !ok {
		n = &node{id: w.ID, rack: w.Rack, index: index, slot: -1}
		s.nodes[w.ID] = n
	}
	s.gridOf(n).remove(n)
	n.free = n.free.Plus(w.Capacity.Minus(n.capacity))
	n.rack, n.capacity, n.usable = w.Rack, w.Capacity, w.Usable
	s.reindex(n)
}

// locate returns the shard of the worker; a worker that moves to another rack keeps its shard.
func (b *Inventory) locate(w Worker) (*shard, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.home[w.ID]
	if !ok {
		s = b.shards[xxhash.Sum64String(string(w.Rack))%uint64(len(b.shards))]
		b.home[w.ID] = s
		b.next++
	}
	return s, b.next
}

func (b *Inventory) shardOf(id model.WorkerID) *shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.home[id]
}

// Remove forgets a worker and its reservations.
func (b *Inventory) Remove(id model.WorkerID) {
	s := b.shardOf(id)
	if s == nil {
		return
	}
	b.mu.Lock()
	delete(b.home, id)
	b.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.nodes[id]; ok {
		s.gridOf(n).remove(n)
		delete(s.nodes, id)
	}
}

// Reserve takes size on the worker whether or not it has room; it returns false if that left the worker overcommitted
// or the worker is unknown.
func (b *Inventory) Reserve(id model.WorkerID, size model.Resources) bool {
	return b.adjust(id, model.Resources{}.Minus(size))
}

// Release gives size on the worker back.
func (b *Inventory) Release(id model.WorkerID, size model.Resources) {
	b.adjust(id, size)
}

func (b *Inventory) adjust(id model.WorkerID, delta model.Resources) bool {
	s := b.shardOf(id)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[id]
	if !ok {
		return false
	}
	n.free = n.free.Plus(delta)
	s.reindex(n)
	return !n.free.Negative()
}

// Free returns what is not reserved on the worker; it is negative where reservations exceed the capacity.
func (b *Inventory) Free(id model.WorkerID) (model.Resources, bool) {
	s := b.shardOf(id)
	if s == nil {
		return model.Resources{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[id]
	if !ok {
		return model.Resources{}, false
	}
	return n.free, true
}

// Place chooses a worker for the demand and reserves its size there.
func (b *Inventory) Place(d Demand) (model.WorkerID, bool) {
	if d.Size.Accelerators == 0 {
		if id, ok := b.placeIn(d, false); ok {
			return id, true
		}
	}
	return b.placeIn(d, true)
}

func (b *Inventory) placeIn(d Demand, accelerated bool) (model.WorkerID, bool) {
	for {
		home, found := b.choose(d, accelerated)
		if found.node == nil {
			return "", false
		}
		if b.commit(home, found.node, d.Size) {
			return found.node.id, true
		}
	}
}

// choose returns the best candidate of all shards; each is locked only while it is searched.
func (b *Inventory) choose(d Demand, accelerated bool) (*shard, pick) {
	var home *shard
	best := pick{}
	for _, s := range b.shards {
		s.mu.Lock()
		g := &s.plain
		if accelerated {
			g = &s.accel
		}
		found, ok := s.best(g, b.scorer, d, b.cfg.ScanLimit)
		s.mu.Unlock()
		if ok && (home == nil || found.score < best.score) {
			home, best = s, found
		}
	}
	return home, best
}

// commit reserves size on the node if it still has room.
func (b *Inventory) commit(s *shard, n *node, size model.Resources) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !n.usable || !size.Fits(n.free) || s.nodes[n.id] != n {
		return false
	}
	n.free = n.free.Minus(size)
	s.reindex(n)
	return true
}
