package fleet

import "time"

// endEvent is a time at which an attempt may end.
type endEvent struct {
	at      time.Time
	attempt *attempt
}

// endQueue is a heap of appointments, earliest first.
type endQueue []endEvent

// Len is part of heap.Interface.
func (a endQueue) Len() int { return len(a) }

// Less is part of heap.Interface.
func (a endQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }

// Swap is part of heap.Interface.
func (a endQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push is part of heap.Interface.
func (a *endQueue) Push(x any) { *a = append(*a, x.(endEvent)) }

// Pop is part of heap.Interface.
func (a *endQueue) Pop() any {
	last := len(*a) - 1
	item := (*a)[last]
	(*a)[last] = endEvent{}
	*a = (*a)[:last]
	return item
}
