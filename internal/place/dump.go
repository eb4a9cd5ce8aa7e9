package place

import (
	"context"

	"arbutuswing.example/internal/model"
)

// Entry is a worker's line in the dump.
type Entry struct {
	Worker   model.WorkerID  `json:"worker"`
	Rack     model.RackID    `json:"rack"`
	Capacity model.Resources `json:"capacity"`
	Free     model.Resources `json:"free"`
	Usable   bool            `json:"usable"`
}

// Entries lists all workers, in no order.
func (b *Inventory) Entries() []Entry {
	var out []Entry
	for _, s := range b.shards {
		s.mu.Lock()
		for _, n := range s.nodes {
			out = append(out, Entry{Worker: n.id, Rack: n.rack, Capacity: n.capacity, Free: n.free, Usable: n.usable})
		}
		s.mu.Unlock()
	}
	return out
}

// Dump returns the book's state.
func (b *Inventory) Dump() any { return b.Entries() }

// Run waits for the end of ctx; the book needs no goroutine of its own.
func (b *Inventory) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
