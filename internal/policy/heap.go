package policy

import "container/heap"

// indexedHeap is a heap whose items record their index, so that an item can be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// indexOf returns a pointer to the item's index field, which is -1 while the item is not in the heap.
	indexOf func(T) *int
}

func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.indexOf(h.items[i]), *h.indexOf(h.items[j]) = i, j
}

// Push implements heap.Interface; callers use update.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*h.indexOf(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface; callers use top and remove.
func (h *indexedHeap[T]) Pop() any {
	var zero T
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	*h.indexOf(item) = -1
	return item
}

// update adds the item, or moves it to its new position if it is in the heap already.
func (h *indexedHeap[T]) update(item T) {
	if i := *h.indexOf(item); i >= 0 {
		heap.Fix(h, i)
		return
	}
	heap.Push(h, item)
}

func (h *indexedHeap[T]) remove(item T) {
	if i := *h.indexOf(item); i >= 0 {
		heap.Remove(h, i)
	}
}

func (h *indexedHeap[T]) top() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}
