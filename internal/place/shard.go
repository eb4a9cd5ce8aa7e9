package place

import (
	"sync"

	"arbutuswing.example/internal/model"
)

// shard is the part of the book with its own lock; plain holds workers without accelerators, so that work that needs
// none leaves the others free as long as it can.
type shard struct {
	mu    sync.Mutex
	nodes map[model.WorkerID]*node
	plain grid
	accel grid
}

// pick is a candidate for a demand.
type pick struct {
	node  *node
	score float64
}

func (s *shard) gridOf(n *node) *grid {
	if n.capacity.Accelerators > 0 {
		return &s.accel
	}
	return &s.plain
}

// reindex moves the node to the cell of its free capacity; nodes without room for anything are in no cell.
func (s *shard) reindex(n *node) {
	g := s.gridOf(n)
	if n.usable && !n.free.Negative() {
		if n.slot >= 0 && n.row == level(int64(n.free.Cores)) && n.col == level(int64(n.free.Memory)) {
			return
		}
		g.remove(n)
		g.add(n)
		return
	}
	g.remove(n)
}

// best returns the candidate with the lowest score in the grid; the bounded search comes first, and the whole one only
// when that finds nothing.
func (s *shard) best(g *grid, sc scorer, d Demand, scan int) (pick, bool) {
	if sc.strategy != FirstFit && len(d.Spread) == 0 && d.Rack == "" {
		if found, ok := search(g, sc, d, scan, columnsPerRow); ok {
			return found, true
		}
	}
	return search(g, sc, d, 0, levels)
}

// search rates at most scan workers with room per cell, or all for zero.
func search(g *grid, sc scorer, d Demand, scan, width int) (pick, bool) {
	found := pick{}
	g.each(d.Size, width, func(cell []*node) bool {
		seen, tried := 0, 0
		for _, n := range cell {
			tried++
			if scan > 0 && (seen == scan || tried > scan*scan) {
				break
			}
			if !d.Size.Fits(n.free) || (d.Avoid != nil && d.Avoid(n.id)) {
				continue
			}
			seen++
			score := sc.rate(n, d.Size) + d.penalty(n.rack)
			if found.node == nil || score < found.score || (score == found.score && n.index < found.node.index) {
				found = pick{node: n, score: score}
			}
		}
		return true
	})
	return found, found.node != nil
}
