package fleet

import "time"

// endEvent is a time at which an attempt may end; if its end has moved since, the event is out of date.
type endEvent struct {
	at      time.Time
	attempt *attempt
}

// endQueue is a heap of events, earliest first.
type endQueue []endEvent

// Len is part of heap.Interface.
func (q endQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q endQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

// Swap is part of heap.Interface.
func (q endQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *endQueue) Push(x any) { *q = append(*q, x.(endEvent)) }

// Pop is part of heap.Interface.
func (q *endQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = endEvent{}
	*q = (*q)[:last]
	return item
}
