package emulator

import "container/heap"

// wheel is a timing wheel: a queue of entities by the window of simulated time in which they are due. It is made for the
// engine's access pattern: entities are due repeatedly, nearly always within a few thousand windows, and all entities of a
// window are requested together. Adding an entity appends to a slot; entities that are due later than the wheel spans wait
// in a heap. BenchmarkQueue compares it with a heap.
type timingWheel struct {
	slots      [][]int32
	mask       int64
	lastWindow int64 // the last window that next returned
	slotCount  int   // entities in slots
	overflow   windowHeap
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
func newTimingWheel(bits int) *timingWheel {
	return &timingWheel{slots: make([][]int32, 1<<bits), mask: 1<<bits - 1, lastWindow: -1}
}

// add queues an entity for the window, or for the next one if that has passed.
func (w *timingWheel) add(window int64, id int32) {
	window = max(window, w.lastWindow+1)
	if window-w.lastWindow > w.mask {
		heap.Push(&w.overflow, windowItem{window, id})
		return
	}
	w.addSlot(window, id)
}

func (w *timingWheel) addSlot(window int64, id int32) {
	slot := &w.slots[window&w.mask]
	*slot = append(*slot, id)
	w.slotCount++
}

// minSlotCapacity is the remaining capacity below which the memory of a slot is released.
const minSlotCapacity = 16

// next removes and returns the entities of the earliest window that has any. ids may have duplicates; it is valid until
// next returns the same slot again. ok is false if the wheel is empty.
func (w *timingWheel) next() (window int64, ids []int32, ok bool) {
	if w.slotCount == 0 && len(w.overflow) == 0 {
		return 0, nil, false
	}
	if w.slotCount == 0 { // skip the empty windows before the first in the heap
		w.lastWindow = max(w.lastWindow, w.overflow[0].window-1)
	}
	for {
		for len(w.overflow) > 0 && w.overflow[0].window-w.lastWindow <= w.mask {
			item := heap.Pop(&w.overflow).(windowItem)
			w.addSlot(item.window, item.id)
		}
		w.lastWindow++
		slot := &w.slots[w.lastWindow&w.mask]
		if len(*slot) == 0 {
			continue
		}
		ids = *slot
		*slot = (*slot)[len(*slot):] // ids is in use: entities that are added to this slot are appended behind it
		if cap(*slot) < minSlotCapacity {
			*slot = nil
		}
		w.slotCount -= len(ids)
		return w.lastWindow, ids, true
	}
}
