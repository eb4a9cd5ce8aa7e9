package fleet

import "time"

// appointment is a time at which an attempt may end.
type appointment struct {
	at      time.Time
	attempt *attempt
}

// agenda is a heap of appointments, earliest first.
type agenda []appointment

// Len is part of heap.Interface.
func (a agenda) Len() int { return len(a) }

// Less is part of heap.Interface.
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }

// Swap is part of heap.Interface.
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push is part of heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(appointment)) }

// Pop is part of heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	item := (*a)[last]
	(*a)[last] = appointment{}
	*a = (*a)[:last]
	return item
}
