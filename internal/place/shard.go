package place

import (
	"sync"

	"arbutuswing.example/internal/model"
)

// shard is a part of the inventory with its own lock. Workers with and without accelerators have separate indexes, so that
// work that needs no accelerators uses workers with them last.
type shard struct {
	mu                  sync.Mutex
	nodes               map[model.WorkerID]*node
	withoutAccelerators grid
	withAccelerators    grid
}

// candidate is a suitable worker with its score.
type candidate struct {
	node  *node
	score float64
}

func (s *shard) gridOf(n *node) *grid {
	if n.capacity.Accelerators > 0 {
		return &s.withAccelerators
	}
	return &s.withoutAccelerators
}

// reindex moves the node to the cell of its free capacity; unusable and overcommitted nodes are in no cell.
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

// best returns a candidate with a low score in the grid. It first tries a search of bounded effort, unless the strategy or
// the demand's racks require comparing all workers; if that finds none, it searches the whole grid.
func (s *shard) best(g *grid, scoring scorer, d Demand, scan int) (candidate, bool) {
	if scoring.strategy != FirstFit && len(d.Spread) == 0 && d.Rack == "" {
		if found, ok := search(g, scoring, d, scan, columnsPerRow); ok {
			return found, true
		}
	}
	return search(g, scoring, d, 0, levels)
}

// search returns the candidate with the lowest score among at most width cells per row. In each cell it scores at most
// scan suitable workers and looks at no more than scan*scan; zero means no bound.
func search(g *grid, scoring scorer, d Demand, scan, width int) (candidate, bool) {
	found := candidate{}
	g.visitCells(d.Size, width, func(cell []*node) bool {
		rated, tried := 0, 0
		for _, n := range cell {
			tried++
			if scan > 0 && (rated == scan || tried > scan*scan) {
				break
			}
			if !d.Size.Fits(n.free) || (d.Avoid != nil && d.Avoid(n.id)) {
				continue
			}
			rated++
			score := scoring.rate(n, d.Size) + d.penalty(n.rack)
			if found.node == nil || score < found.score || (score == found.score && n.index < found.node.index) {
				found = candidate{node: n, score: score}
			}
		}
		return true
	})
	return found, found.node != nil
}
