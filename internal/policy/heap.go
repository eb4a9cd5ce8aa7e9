package policy

import "container/heap"

// indexed is a heap whose items know their place, so that one whose key changed is moved in logarithmic time.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	// place returns where the item keeps its index; -1 means that it is in no heap.
	place func(T) *int
}

func (h *indexed[T]) Len() int           { return len(h.items) }
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]), *h.place(h.items[j]) = i, j
}

// Push implements heap.Interface.
func (h *indexed[T]) Push(x any) {
	item := x.(T)
	*h.place(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexed[T]) Pop() any {
	var zero T
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	*h.place(item) = -1
	return item
}

// put adds the item or moves it to the place of its changed key.
func (h *indexed[T]) put(item T) {
	if i := *h.place(item); i >= 0 {
		heap.Fix(h, i)
		return
	}
	heap.Push(h, item)
}

func (h *indexed[T]) remove(item T) {
	if i := *h.place(item); i >= 0 {
		heap.Remove(h, i)
	}
}

func (h *indexed[T]) top() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}
