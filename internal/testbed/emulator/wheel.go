package emulator

import "container/heap"

// wheel is a timing wheel: a queue of entities by the window of simulated time in which they are due. It is made for the
// engine's access pattern: entities are due repeatedly, nearly always within a few thousand windows, and all entities of a
// window are requested together. Adding an entity appends to a slot; entities that are due later than the wheel spans wait
// in a heap. BenchmarkQueue compares it with a heap.
type wheel struct {
	slots [][]int32
	mask  int64
	now   int64 // the last window that next returned
	count int   // entities in slots
	far   windowHeap
}

type windowItem struct {
	window int64
	id     int32
}

// windowHeap implements heap.Interface. The earliest window comes first.
type windowHeap []windowItem

// Len implements heap.Interface.
func (h windowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h windowHeap) Less(i, j int) bool {
	return h[i].window < h[j].window || h[i].window == h[j].window && h[i].id < h[j].id
}

// Swap implements heap.Interface.
func (h windowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *windowHeap) Push(x any) { *h = append(*h, x.(windowItem)) }

// Pop implements heap.Interface.
func (h *windowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newWheel returns a wheel that spans 2^bits windows.
func newWheel(bits int) *wheel {
	return &wheel{slots: make([][]int32, 1<<bits), mask: 1<<bits - 1, now: -1}
}

// add queues an entity for the window, or for the next one if that has passed.
func (w *wheel) add(window int64, id int32) {
	window = max(window, w.now+1)
	if window-w.now > w.mask {
		heap.Push(&w.far, windowItem{window, id})
		return
	}
	w.addSlot(window, id)
}

func (w *wheel) addSlot(window int64, id int32) {
	slot := &w.slots[window&w.mask]
	*slot = append(*slot, id)
	w.count++
}

// minSlotCapacity is the remaining capacity below which the memory of a slot is released.
const minSlotCapacity = 16

// next removes and returns the entities of the earliest window that has any. ids may have duplicates; it is valid until
// next returns the same slot again. ok is false if the wheel is empty.
func (w *wheel) next() (window int64, ids []int32, ok bool) {
	if w.count == 0 && len(w.far) == 0 {
		return 0, nil, false
	}
	if w.count == 0 { // skip the empty windows before the first in the heap
		w.now = max(w.now, w.far[0].window-1)
	}
	for {
		for len(w.far) > 0 && w.far[0].window-w.now <= w.mask {
			item := heap.Pop(&w.far).(windowItem)
			w.addSlot(item.window, item.id)
		}
		w.now++
		slot := &w.slots[w.now&w.mask]
		if len(*slot) == 0 {
			continue
		}
		ids = *slot
		*slot = (*slot)[len(*slot):] // ids is in use: entities that are added to this slot are appended behind it
		if cap(*slot) < minSlotCapacity {
			*slot = nil
		}
		w.count -= len(ids)
		return w.now, ids, true
	}
}
