// Package timerqueue owns heaps of things that fall due, from which a thing can be taken before its time. It must not
// read a clock or decide what follows.
package timerqueue

import "time"

// Item is an entry of a Heap. Its zero value is in none. It must not be copied while it is in a heap.
type Item[T any] struct {
	Value  T
	at     time.Duration
	serial uint64
	pos    int // in the heap, counted from 1; 0: not in it
}

// Queued tells whether the item is in its heap.
func (i *Item[T]) Queued() bool { return i.pos > 0 }

// At is when the item falls due, as it was last set.
func (i *Item[T]) At() time.Duration { return i.at }

// Heap orders items by their times, and those of one time by the order in which they were set. Its zero value is
// empty. It is not safe for concurrent use. Setting and removing cost O(log n) without allocating.
type Heap[T any] struct {
	items  []*Item[T]
	serial uint64
}

// Len is how many items are in it.
func (h *Heap[T]) Len() int { return len(h.items) }

// Set puts an item in, or moves it where it is in already.
func (h *Heap[T]) Set(i *Item[T], at time.Duration) {
	h.serial++
	i.at, i.serial = at, h.serial
	if i.pos == 0 {
		h.items = append(h.items, i)
		i.pos = len(h.items)
	}
	if !h.up(i.pos) {
		h.down(i.pos)
	}
}

// Remove takes an item out; nothing where it is not in.
func (h *Heap[T]) Remove(i *Item[T]) {
	pos := i.pos
	if pos == 0 {
		return
	}
	last := len(h.items)
	h.swap(pos, last)
	h.items[last-1] = nil
	h.items = h.items[:last-1]
	i.pos = 0
	if pos < last && !h.up(pos) {
		h.down(pos)
	}
}

// Next is the time of the first item; ok is false where there is none.
func (h *Heap[T]) Next() (at time.Duration, ok bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].at, true
}

// PopDue takes out the first item that is due at now; nil where none is.
func (h *Heap[T]) PopDue(now time.Duration) *Item[T] {
	if len(h.items) == 0 || h.items[0].at > now {
		return nil
	}
	i := h.items[0]
	h.Remove(i)
	return i
}

func (h *Heap[T]) less(a, b int) bool {
	x, y := h.items[a-1], h.items[b-1]
	return x.at < y.at || x.at == y.at && x.serial < y.serial
}

func (h *Heap[T]) swap(a, b int) {
	s := h.items
	s[a-1], s[b-1] = s[b-1], s[a-1]
	s[a-1].pos, s[b-1].pos = a, b
}

func (h *Heap[T]) up(pos int) bool {
	from := pos
	for pos > 1 && h.less(pos, pos/2) {
		h.swap(pos, pos/2)
		pos /= 2
	}
	return pos != from
}

func (h *Heap[T]) down(pos int) {
	for {
		least := 2 * pos
		if least > len(h.items) {
			return
		}
		if least < len(h.items) && h.less(least+1, least) {
			least++
		}
		if !h.less(least, pos) {
			return
		}
		h.swap(least, pos)
		pos = least
	}
}
