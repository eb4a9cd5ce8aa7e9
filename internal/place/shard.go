package place

import (
	"sync"

	"arbutuswing.example/internal/model"
)

// shard is a part of the inventory with its own lock. Workers with and without accelerators have separate indexes, so that
// work that needs no accelerators uses workers with them last.
type shard struct {
	mu                  sync.Mutex
	workers             map[model.WorkerID]*worker
	withoutAccelerators grid
	withAccelerators    grid
}

// candidate is a suitable worker with its score.
type candidate struct {
	worker *worker
	score  float64
}

func (s *shard) gridOf(w *worker) *grid {
	if w.capacity.Accelerators > 0 {
		return &s.withAccelerators
	}
	return &s.withoutAccelerators
}

// reindex moves the worker to the cell of its free capacity; unusable and overcommitted workers are in no cell.
func (s *shard) reindex(w *worker) {
	g := s.gridOf(w)
	if w.usable && !w.free.Negative() {
		if w.slot >= 0 && w.row == level(int64(w.free.Cores)) && w.col == level(int64(w.free.Memory)) {
			return
		}
		g.remove(w)
		g.add(w)
		return
	}
	g.remove(w)
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
	g.visitCells(d.Size, width, func(cell []*worker) bool {
		rated, tried := 0, 0
		for _, w := range cell {
			tried++
			if scan > 0 && (rated == scan || tried > scan*scan) {
				break
			}
			if !d.Size.Fits(w.free) || (d.Avoid != nil && d.Avoid(w.id)) {
				continue
			}
			rated++
			score := scoring.rate(w, d.Size) + d.penalty(w.rack)
			if found.worker == nil || score < found.score || (score == found.score && w.index < found.worker.index) {
				found = candidate{worker: w, score: score}
			}
		}
		return true
	})
	return found, found.worker != nil
}
