package place

import (
	"math/bits"

	"arbutuswing.example/internal/model"
)

const (
	// levels is the number of levels of free capacity per dimension; the columns of a row fit a 64-bit bitmap.
	levels = 64
	// lowestOctaveBits is the bit length up to which amounts share the lowest level.
	lowestOctaveBits = 8
	// stepsPerOctave is the number of levels per doubling of free capacity.
	stepsPerOctave = 4
	// columnsPerRow is the number of cells of a row that are searched: workers in later columns have about as many free
	// processors and more free memory, which every strategy but first-fit scores worse.
	columnsPerRow = 2
)

// worker is what the inventory keeps of one worker.
type worker struct {
	id   model.WorkerID
	rack model.RackID
	// index numbers the workers in the order in which they were added.
	index    int
	capacity model.Resources
	free     model.Resources
	usable   bool

	// row and col are the worker's cell in the grid, and slot its index in the cell; slot is -1 while it is in no cell.
	row, col, slot int
}

// grid indexes workers by the levels of their free processors (rows) and free memory (columns).
type grid struct {
	// rows and cols are bitmaps of the rows that have workers and, by row, of the cells that have workers.
	rows  uint64
	cols  [levels]uint64
	cells [levels][levels][]*worker
}

// level returns the level of an amount; levels grow logarithmically.
func level(amount int64) int {
	if amount < 1<<lowestOctaveBits {
		return 0
	}
	octave := bits.Len64(uint64(amount)) - 1 - lowestOctaveBits
	step := int(amount>>(octave+lowestOctaveBits-2)) & (stepsPerOctave - 1)
	return min(levels-1, 1+octave*stepsPerOctave+step)
}

func (g *grid) add(w *worker) {
	w.row, w.col = level(int64(w.free.Cores)), level(int64(w.free.Memory))
	cell := &g.cells[w.row][w.col]
	w.slot = len(*cell)
	*cell = append(*cell, w)
	g.rows |= 1 << w.row
	g.cols[w.row] |= 1 << w.col
}

func (g *grid) remove(w *worker) {
	if w.slot < 0 {
		return
	}
	cell := &g.cells[w.row][w.col]
	last := len(*cell) - 1
	(*cell)[w.slot] = (*cell)[last]
	(*cell)[w.slot].slot = w.slot
	(*cell)[last] = nil
	*cell = (*cell)[:last]
	w.slot = -1
	if last > 0 {
		return
	}
	g.cols[w.row] &^= 1 << w.col
	if g.cols[w.row] == 0 {
		g.rows &^= 1 << w.row
	}
}

// visitCells calls visit with the cells whose workers may have enough free capacity for size, those with the least free
// capacity first, until visit returns false. It visits at most width cells per row, apart from those on the lower edge.
func (g *grid) visitCells(size model.Resources, width int, visit func(cell []*worker) bool) {
	first, column := level(int64(size.Cores)), level(int64(size.Memory))
	for rows := g.rows >> first << first; rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros64(rows)
		remaining := width
		for cols := g.cols[row] >> column << column; cols != 0 && remaining > 0; cols &= cols - 1 {
			col := bits.TrailingZeros64(cols)
			// A cell on the lower edge may contain workers that size doesn't fit, so it doesn't count towards width.
			if row > first && col > column {
				remaining--
			}
			if !visit(g.cells[row][col]) {
				return
			}
		}
	}
}
