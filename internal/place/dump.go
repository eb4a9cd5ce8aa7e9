package place

import (
	"context"

	"arbutuswing.example/internal/model"
)

// Entry is the state of one worker in the state dump.
type Entry struct {
	Worker   model.WorkerID  `json:"worker"`
	Rack     model.RackID    `json:"rack"`
	Capacity model.Resources `json:"capacity"`
	Free     model.Resources `json:"free"`
	Usable   bool            `json:"usable"`
}

// Entries returns all workers in no particular order.
func (inv *Inventory) Entries() []Entry {
	var out []Entry
	for _, s := range inv.shards {
		s.mu.Lock()
		for _, w := range s.workers {
			out = append(out, Entry{Worker: w.id, Rack: w.rack, Capacity: w.capacity, Free: w.free, Usable: w.usable})
		}
		s.mu.Unlock()
	}
	return out
}

// Dump returns the entries of all workers for the state dump.
func (inv *Inventory) Dump() any { return inv.Entries() }

// Run blocks until ctx ends; the inventory needs no goroutine of its own.
func (inv *Inventory) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
