package place

import (
	"math/bits"

	"arbutuswing.example/internal/model"
)

const (
	// levels is the number of steps of free capacity per dimension; a row's columns then fit one machine word.
	levels = 64
	// firstOctave is the bit length up to which amounts share the lowest level.
	firstOctave = 8
	// stepsPerOctave divides each doubling of free capacity.
	stepsPerOctave = 4
	// columnsPerRow bounds the cells that are compared in one row; later columns hold the same processors with more
	// free memory, which every strategy but first-fit rates worse.
	columnsPerRow = 2
)

// node is a worker in the book.
type node struct {
	id       model.WorkerID
	rack     model.RackID
	index    int
	capacity model.Resources
	free     model.Resources
	usable   bool

	// row, col and slot locate the node in the grid; slot is -1 while it is in none.
	row, col, slot int
}

// grid indexes nodes by free processors (rows) and free memory (columns).
type grid struct {
	rows  uint64
	cols  [levels]uint64
	cells [levels][levels][]*node
}

// level maps an amount to its step.
func level(amount int64) int {
	if amount < 1<<firstOctave {
		return 0
	}
	octave := bits.Len64(uint64(amount)) - 1 - firstOctave
	step := int(amount>>(octave+firstOctave-2)) & (stepsPerOctave - 1)
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

// each calls visit with the cells that may hold room for size, those with the least free capacity first, until visit
// returns false; at most width cells per row are visited.
func (g *grid) each(size model.Resources, width int, visit func(cell []*node) bool) {
	first, column := level(int64(size.Cores)), level(int64(size.Memory))
	for rows := g.rows >> first << first; rows != 0; rows &= rows - 1 {
		row := bits.TrailingZeros64(rows)
		left := width
		for cols := g.cols[row] >> column << column; cols != 0 && left > 0; cols &= cols - 1 {
			col := bits.TrailingZeros64(cols)
			// A cell on the lower edge may hold workers without room, so it doesn't count.
			if row > first && col > column {
				left--
			}
			if !visit(g.cells[row][col]) {
				return
			}
		}
	}
}
