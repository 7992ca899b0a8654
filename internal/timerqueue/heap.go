// Package timerqueue has heaps of items that are ordered by time, and of which any can be removed before its time, and
// timers on such a heap. It reads no clock: its callers say what time it is.
package timerqueue

import "time"

// Item is an entry of a Heap. Its zero value is in none. It must not be copied while it is in a heap, and must not be in two.
type Item[T any] struct {
	Value    T
	at       time.Duration
	sequence uint64 // of the Set that gave it its time; orders items of the same time
	position int    // in the heap, counted from 1; 0: not in it
}

// Queued reports whether the item is in its heap.
func (i *Item[T]) Queued() bool { return i.position > 0 }

// At returns when the item falls due, as it was last set, also after it has left its heap.
func (i *Item[T]) At() time.Duration { return i.at }

// Heap orders items by their times, and items of the same time by the order in which they were set. Its zero value is
// empty. It is not safe for concurrent use. Set, Remove and PopDue cost O(log n) and allocate only for the growth of the
// heap.
type Heap[T any] struct {
	items    []*Item[T] // a binary heap: the children of position p are at 2p and 2p+1, positions counted from 1
	sequence uint64     // of the last Set
}

// Len returns the number of items in the heap.
func (h *Heap[T]) Len() int { return len(h.items) }

// Set puts an item into the heap to fall due at the given time, or moves it to that time where it is in the heap already.
func (h *Heap[T]) Set(item *Item[T], at time.Duration) {
	h.sequence++
	item.at, item.sequence = at, h.sequence
	if !item.Queued() {
		h.items = append(h.items, item)
		item.position = len(h.items)
	}
	h.fix(item.position)
}

// Remove takes an item out of the heap. It does nothing for an item that is not in one.
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

// Next returns when the first item falls due; ok is false for an empty heap.
func (h *Heap[T]) Next() (at time.Duration, ok bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].at, true
}

// PopDue removes and returns the first item that is due at now; nil where none is.
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

// fix moves the item at the position to where its time belongs.
func (h *Heap[T]) fix(position int) {
	if !h.up(position) {
		h.down(position)
	}
}

// up moves the item at the position towards the front. It returns whether the item has moved.
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
