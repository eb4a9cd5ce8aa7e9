package place

import (
	"sort"

	"arbutuswing.example/internal/model"
)

// rack holds the workers of one rack that fit at least one task of a gang.
type rack struct {
	id model.RackID
	// slots is the number of tasks that fit on all workers together.
	slots   int
	workers []workerSlots
}

// workerSlots is a worker with the number of tasks of one size that fit on it.
type workerSlots struct {
	worker *worker
	shard  *shard
	slots  int
}

// PlaceGang chooses workers for count tasks of the same size and reserves capacity for all of them or for none. If a
// single rack fits the gang, it chooses the one with the least free capacity that suffices; otherwise it uses as few
// racks as possible. Workers with accelerators serve a gang that needs none only if the others don't suffice.
func (inv *Inventory) PlaceGang(d Demand, count int) ([]model.WorkerID, bool) {
	for _, s := range inv.shards {
		s.mu.Lock()
	}
	defer func() {
		for _, s := range inv.shards {
			s.mu.Unlock()
		}
	}()
	racks, total := inv.racks(d, count, false)
	if total < count {
		if racks, total = inv.racks(d, count, true); total < count {
			return nil, false
		}
	}
	return reserveTasks(d.Size, fewestRacks(racks, count), count), true
}

// racks returns the racks that fit at least one task, those with the most slots first, and the total number of slots.
// Workers with accelerators count only if the demand needs accelerators or accelerated is set.
func (inv *Inventory) racks(d Demand, count int, accelerated bool) ([]*rack, int) {
	byID := make(map[model.RackID]*rack)
	total := 0
	for _, s := range inv.shards {
		for _, w := range s.workers {
			if !w.usable || w.free.Negative() || (d.Avoid != nil && d.Avoid(w.id)) {
				continue
			}
			if w.capacity.Accelerators > 0 && d.Size.Accelerators == 0 && !accelerated {
				continue
			}
			slots := min(count, Slots(w.free, d.Size))
			if slots == 0 {
				continue
			}
			r := byID[w.rack]
			if r == nil {
				r = &rack{id: w.rack}
				byID[w.rack] = r
			}
			r.slots += slots
			r.workers = append(r.workers, workerSlots{worker: w, shard: s, slots: slots})
			total += slots
		}
	}
	racks := make([]*rack, 0, len(byID))
	for _, r := range byID {
		racks = append(racks, r)
	}
	sort.Slice(racks, func(i, j int) bool {
		if racks[i].slots != racks[j].slots {
			return racks[i].slots > racks[j].slots
		}
		return racks[i].id < racks[j].id
	})
	return racks, total
}

// fewestRacks returns as few racks as possible that fit count tasks together. racks must be sorted by falling number of
// slots. The last rack returned is the one with the fewest slots that fits the remaining tasks.
func fewestRacks(racks []*rack, count int) []*rack {
	var out []*rack
	for i, r := range racks {
		if r.slots < count {
			out = append(out, r)
			count -= r.slots
			continue
		}
		last := r
		for _, tighter := range racks[i+1:] {
			if tighter.slots < count {
				break
			}
			if tighter.slots < last.slots {
				last = tighter
			}
		}
		return append(out, last)
	}
	return out
}

// reserveTasks reserves capacity for count tasks, in each rack first on the workers with the fewest slots.
func reserveTasks(size model.Resources, racks []*rack, count int) []model.WorkerID {
	out := make([]model.WorkerID, 0, count)
	for _, r := range racks {
		sort.Slice(r.workers, func(i, j int) bool {
			if r.workers[i].slots != r.workers[j].slots {
				return r.workers[i].slots < r.workers[j].slots
			}
			return r.workers[i].worker.index < r.workers[j].worker.index
		})
		for _, s := range r.workers {
			take := min(s.slots, count-len(out))
			if take <= 0 {
				break
			}
			for range take {
				out = append(out, s.worker.id)
			}
			s.worker.free = s.worker.free.Minus(size.Times(take))
			s.shard.reindex(s.worker)
		}
	}
	return out
}

// Slots returns how many tasks of the given size fit into free.
func Slots(free, size model.Resources) int {
	count := int64(1 << 30)
	if size.Cores > 0 {
		count = min(count, int64(free.Cores/size.Cores))
	}
	if size.Memory > 0 {
		count = min(count, int64(free.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		count = min(count, free.Accelerators/size.Accelerators)
	}
	return int(max(0, count))
}
