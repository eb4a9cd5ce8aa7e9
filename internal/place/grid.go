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

// node is a worker in the inventory.
type node struct {
	id   model.WorkerID
	rack model.RackID
	// index numbers the workers in the order in which they were added.
	index    int
	capacity model.Resources
	free     model.Resources
	usable   bool

	// row and col are the node's cell in the grid, and slot its index in the cell; slot is -1 while it is in no cell.
	row, col, slot int
}

// grid indexes nodes by the levels of their free processors (rows) and free memory (columns).
type grid struct {
	// rows and cols are bitmaps of the rows that have nodes and, by row, of the cells that have nodes.
	rows  uint64
	cols  [levels]uint64
	cells [levels][levels][]*node
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

func (g *grid) add(n *node) {
	n.row, n.col = level(int64(n.free.Cores)), level(int64(n.free.Memory))
	cell := &g.cells[n.row][n.col]
	n.slot = len(*cell)
	*cell = append(*cell, n)
	g.rows |= 1 << n.row
	g.cols[n.row] |= 1 << n.col
}

func (g *grid) remove(n *node) {
	if n.slot < 0 {
		return
	}
	cell := &g.cells[n.row][n.col]
	last := len(*cell) - 1
	(*cell)[n.slot] = (*cell)[last]
	(*cell)[n.slot].slot = n.slot
	(*cell)[last] = nil
	*cell = (*cell)[:last]
	n.slot = -1
	if last > 0 {
		return
	}
	g.cols[n.row] &^= 1 << n.col
	if g.cols[n.row] == 0 {
		g.rows &^= 1 << n.row
	}
}

// visitCells calls visit with the cells whose nodes may have enough free capacity for size, those with the least free
// capacity first, until visit returns false. It visits at most width cells per row, apart from those on the lower edge.
func (g *grid) visitCells(size model.Resources, width int, visit func(cell []*node) bool) {
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
