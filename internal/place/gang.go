package place

import (
	"sort"

	"arbutuswing.example/internal/model"
)

// rack sums the room for equal tasks in one rack.
type rack struct {
	id    model.RackID
	slots int
	nodes []slotted
}

// slotted is a node with room for a number of equal tasks.
type slotted struct {
	node  *node
	shard *shard
	slots int
}

// PlaceGang chooses workers for count tasks of the same size and reserves them all, or none. One rack is preferred, the
// one with the least room that suffices; otherwise the fewest racks are used.
func (b *Inventory) PlaceGang(d Demand, count int) ([]model.WorkerID, bool) {
	for _, s := range b.shards {
		s.mu.Lock()
	}
	defer func() {
		for _, s := range b.shards {
			s.mu.Unlock()
		}
	}()
	racks, total := b.racks(d, count, false)
	if total < count {
		if racks, total = b.racks(d, count, true); total < count {
			return nil, false
		}
	}
	return fill(d.Size, narrow(racks, count), count), true
}

// racks lists the racks with room for at least one task; accelerated workers count only if needed or allowed.
func (b *Inventory) racks(d Demand, count int, accelerated bool) ([]*rack, int) {
	byID := make(map[model.RackID]*rack)
	total := 0
	for _, s := range b.shards {
		for _, n := range s.nodes {
			if !n.usable || n.free.Negative() || (d.Avoid != nil && d.Avoid(n.id)) {
				continue
			}
			if n.capacity.Accelerators > 0 && d.Size.Accelerators == 0 && !accelerated {
				continue
			}
			slots := min(count, Slots(n.free, d.Size))
			if slots == 0 {
				continue
			}
			r := byID[n.rack]
			if r == nil {
				r = &rack{id: n.rack}
				byID[n.rack] = r
			}
			r.slots += slots
			r.nodes = append(r.nodes, slotted{node: n, shard: s, slots: slots})
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

// narrow returns the fewest racks, sorted by falling room, that hold count tasks; the last is the tightest that
// completes them.
func narrow(racks []*rack, count int) []*rack {
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

// fill reserves the tasks on the fullest workers of the racks first.
func fill(size model.Resources, racks []*rack, count int) []model.WorkerID {
	out := make([]model.WorkerID, 0, count)
	for _, r := range racks {
		sort.Slice(r.nodes, func(i, j int) bool {
			if r.nodes[i].slots != r.nodes[j].slots {
				return r.nodes[i].slots < r.nodes[j].slots
			}
			return r.nodes[i].node.index < r.nodes[j].node.index
		})
		for _, s := range r.nodes {
			take := min(s.slots, count-len(out))
			if take <= 0 {
				break
			}
			for range take {
				out = append(out, s.node.id)
			}
			s.node.free = s.node.free.Minus(size.Times(take))
			s.shard.reindex(s.node)
		}
	}
	return out
}

// Slots returns how many tasks of size go into free.
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
