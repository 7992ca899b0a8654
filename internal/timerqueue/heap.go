// Package timerqueue provides a heap of items ordered by time, from which any item can be removed, and timers based on it. It
// reads no clock: the caller passes the current time.
package timerqueue

import "time"

// Item is an entry of a Heap. The zero value is in no heap. An item must not be copied while it is in a heap, and must not be
// in two heaps at the same time.
type Item[T any] struct {
	Value    T
	at       time.Duration
	sequence uint64 // Heap.sequence of the last Set of the item; orders items of the same time
	position int    // in the heap, counted from 1; 0 if the item is in no heap
}

// Queued reports whether the item is in a heap.
func (i *Item[T]) Queued() bool { return i.position > 0 }

// At returns the time of the last Set, also after the item has left the heap.
func (i *Item[T]) At() time.Duration { return i.at }

// Heap orders items by time, and items of the same time in the order of their last Set. The zero value is an empty heap. It
// is not safe for concurrent use. Set, Remove and PopDue take O(log n) time, and allocate only when the heap grows.
type Heap[T any] struct {
	items    []*Item[T] // a binary heap: the children of position p are at 2p and 2p+1, positions counted from 1
	sequence uint64     // incremented by each Set
}

// Len returns the number of items in the heap.
func (h *Heap[T]) Len() int { return len(h.items) }

// Set adds an item that is due at the given time, or changes its time if it is already in the heap.
func (h *Heap[T]) Set(item *Item[T], at time.Duration) {
	h.sequence++
	item.at, item.sequence = at, h.sequence
	if !item.Queued() {
		h.items = append(h.items, item)
		item.position = len(h.items)
	}
	h.fix(item.position)
}

// Remove removes an item. It does nothing for an item that is in no heap.
func (h *Heap[T]) Remove(item *Item[T]) {
	position := item.position
	if position == 0 {
		return
	}
	last := len(h.items)
	h.swap(position, last)
	h.items[last-1] = nil
	h.items = h.items[:last-1]
	item.position = 0
	if position < last {
		h.fix(position)
	}
}

// Next returns the time of the earliest item; ok is false if the heap is empty.
func (h *Heap[T]) Next() (at time.Duration, ok bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].at, true
}

// PopDue removes and returns the earliest item if it is due at or before now, and returns nil otherwise.
func (h *Heap[T]) PopDue(now time.Duration) *Item[T] {
	if len(h.items) == 0 || h.items[0].at > now {
		return nil
	}
	first := h.items[0]
	h.Remove(first)
	return first
}

func (h *Heap[T]) less(a, b int) bool {
	x, y := h.items[a-1], h.items[b-1]
	return x.at < y.at || x.at == y.at && x.sequence < y.sequence
}

func (h *Heap[T]) swap(a, b int) {
	items := h.items
	items[a-1], items[b-1] = items[b-1], items[a-1]
	items[a-1].position, items[b-1].position = a, b
}

// fix moves an item whose time or position has changed to its place in the order of the heap.
func (h *Heap[T]) fix(position int) {
	if !h.up(position) {
		h.down(position)
	}
}

// up moves the item at the position towards the front. It reports whether the item has moved.
func (h *Heap[T]) up(position int) bool {
	from := position
	for position > 1 && h.less(position, position/2) {
		h.swap(position, position/2)
		position /= 2
	}
	return position != from
}

// down moves the item at the position towards the end.
func (h *Heap[T]) down(position int) {
	for {
		child := 2 * position
		if child > len(h.items) {
			return
		}
		if child < len(h.items) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, position) {
			return
		}
		h.swap(child, position)
		position = child
	}
}
