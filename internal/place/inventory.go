package place

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"arbutuswing.example/internal/model"
)

// Worker describes a worker to the inventory.
type Worker struct {
	ID       model.WorkerID
	Rack     model.RackID
	Capacity model.Resources
	// Usable is true if the worker may be chosen for tasks; reservations stay in either case.
	Usable bool
}

// Demand describes a task that needs a worker.
type Demand struct {
	Size model.Resources
	// Spread is the number of tasks of the same service by rack; racks with fewer of them are preferred.
	Spread map[model.RackID]int
	// Rack is the preferred rack; empty for none.
	Rack model.RackID
	// Avoid reports workers to exclude. It may be nil. It is called with locks held and must not call the inventory.
	Avoid func(model.WorkerID) bool
}

// penalty returns what is added to the score of a worker in the rack.
func (d Demand) penalty(rack model.RackID) float64 {
	penalty := float64(d.Spread[rack]) * spreadPenalty
	if d.Rack != "" && rack != d.Rack {
		penalty += spreadPenalty
	}
	return penalty
}

// Inventory tracks the reserved and free capacity of workers; all methods are safe for concurrent use.
type Inventory struct {
	cfg    Config
	scorer scorer
	shards []*shard

	mu sync.RWMutex
	// shardByWorker maps a worker to its shard.
	shardByWorker map[model.WorkerID]*shard
	// added is the number of workers added so far.
	added int
}

// New returns an empty inventory; it returns ErrConfig for settings out of range.
func New(cfg Config) (*Inventory, error) {
	cfg = cfg.WithDefaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	inv := &Inventory{
		cfg: cfg, scorer: scorer{strategy: cfg.Strategy, balance: cfg.BalanceWeight},
		shardByWorker: make(map[model.WorkerID]*shard),
	}
	for range cfg.Shards {
		inv.shards = append(inv.shards, &shard{workers: make(map[model.WorkerID]*worker)})
	}
	return inv, nil
}

// Set adds a worker or updates it; its reservations stay.
func (inv *Inventory) Set(w Worker) {
	s, index := inv.locate(w)
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.workers[w.ID]
	if !ok {
		stored = &worker{id: w.ID, rack: w.Rack, index: index, slot: -1}
		s.workers[w.ID] = stored
	}
	s.gridOf(stored).remove(stored)
	stored.free = stored.free.Plus(w.Capacity.Minus(stored.capacity))
	stored.rack, stored.capacity, stored.usable = w.Rack, w.Capacity, w.Usable
	s.reindex(stored)
}

// locate returns the shard of the worker and, for a worker that is new, its index. A new worker is assigned a shard by
// its rack; it keeps that shard if it moves to another rack.
func (inv *Inventory) locate(w Worker) (*shard, int) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	s, ok := inv.shardByWorker[w.ID]
	if !ok {
		s = inv.shards[xxhash.Sum64String(string(w.Rack))%uint64(len(inv.shards))]
		inv.shardByWorker[w.ID] = s
		inv.added++
	}
	return s, inv.added
}

func (inv *Inventory) shardOf(id model.WorkerID) *shard {
	inv.mu.RLock()
	defer inv.mu.RUnlock()
	return inv.shardByWorker[id]
}

// Remove removes a worker and its reservations.
func (inv *Inventory) Remove(id model.WorkerID) {
	s := inv.shardOf(id)
	if s == nil {
		return
	}
	inv.mu.Lock()
	delete(inv.shardByWorker, id)
	inv.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, ok := s.workers[id]; ok {
		s.gridOf(w).remove(w)
		delete(s.workers, id)
	}
}

// Reserve reserves size on the worker even if it exceeds the free capacity. It returns false if the worker is
// overcommitted then, or unknown.
func (inv *Inventory) Reserve(id model.WorkerID, size model.Resources) bool {
	return inv.adjust(id, model.Resources{}.Minus(size))
}

// Release releases a reservation of size on the worker.
func (inv *Inventory) Release(id model.WorkerID, size model.Resources) {
	inv.adjust(id, size)
}

func (inv *Inventory) adjust(id model.WorkerID, delta model.Resources) bool {
	s := inv.shardOf(id)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.workers[id]
	if !ok {
		return false
	}
	w.free = w.free.Plus(delta)
	s.reindex(w)
	return !w.free.Negative()
}

// Free returns the worker's capacity less its reservations, which is negative in a dimension that is overcommitted. It
// returns false for an unknown worker.
func (inv *Inventory) Free(id model.WorkerID) (model.Resources, bool) {
	s := inv.shardOf(id)
	if s == nil {
		return model.Resources{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.workers[id]
	if !ok {
		return model.Resources{}, false
	}
	return w.free, true
}

// Place chooses a worker for the demand and reserves the demand's size on it. It returns false if no worker is
// suitable. A worker with accelerators serves a demand that needs none only if no other worker is suitable.
func (inv *Inventory) Place(d Demand) (model.WorkerID, bool) {
	if d.Size.Accelerators == 0 {
		if id, ok := inv.placeIn(d, false); ok {
			return id, true
		}
	}
	return inv.placeIn(d, true)
}

// placeIn is Place for the workers with accelerators or those without. It chooses again if the chosen worker's free
// capacity changed before it was reserved.
func (inv *Inventory) placeIn(d Demand, accelerated bool) (model.WorkerID, bool) {
	for {
		s, found := inv.choose(d, accelerated)
		if found.worker == nil {
			return "", false
		}
		if inv.commit(s, found.worker, d.Size) {
			return found.worker.id, true
		}
	}
}

// choose returns the best candidate of all shards with its shard. Each shard is locked only while it is searched.
func (inv *Inventory) choose(d Demand, accelerated bool) (*shard, candidate) {
	var bestShard *shard
	best := candidate{}
	for _, s := range inv.shards {
		s.mu.Lock()
		g := &s.withoutAccelerators
		if accelerated {
			g = &s.withAccelerators
		}
		found, ok := s.best(g, inv.scorer, d, inv.cfg.ScanLimit)
		s.mu.Unlock()
		if ok && (bestShard == nil || found.score < best.score) {
			bestShard, best = s, found
		}
	}
	return bestShard, best
}

// commit reserves size on the worker if the worker is still usable and size still fits.
func (inv *Inventory) commit(s *shard, w *worker, size model.Resources) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.usable || !size.Fits(w.free) || s.workers[w.id] != w {
		return false
	}
	w.free = w.free.Minus(size)
	s.reindex(w)
	return true
}
