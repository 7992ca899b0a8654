package emulator

import "container/heap"

// timingWheel is a priority queue of entities, ordered by the window in which they are due. It suits the engine's access
// pattern: entities are queued again and again, nearly always for one of the next few thousand windows, and all entities of a
// window are removed together. Each slot holds the entities of one window, so that adding an entity is an append. Entities
// that are due beyond the span of the wheel wait in a heap. BenchmarkQueue compares it with a plain heap.
type timingWheel struct {
	slots      [][]int32  // entity IDs; a window's slot is its number modulo the number of slots
	mask       int64      // number of slots - 1
	lastWindow int64      // the last one that next returned
	slotCount  int        // entities in all slots
	overflow   windowHeap // entities that are due beyond the span of the wheel
}

// windowItem is an entity in a heap, with the window in which it is due.
type windowItem struct {
	windowNumber int64
	id           int32
}

// windowHeap implements heap.Interface. The earliest window is the minimum, and in a window the smallest entity ID.
type windowHeap []windowItem

// Len implements heap.Interface.
func (h windowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h windowHeap) Less(i, j int) bool {
	return h[i].windowNumber < h[j].windowNumber || h[i].windowNumber == h[j].windowNumber && h[i].id < h[j].id
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

// newTimingWheel returns a wheel of 2^bits slots.
func newTimingWheel(bits int) *timingWheel {
	return &timingWheel{slots: make([][]int32, 1<<bits), mask: 1<<bits - 1, lastWindow: -1}
}

// add queues an entity for a window, or for the window after lastWindow if the given one is not later than lastWindow.
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

// minSlotCapacity is the remaining capacity below which an emptied slot releases its array.
const minSlotCapacity = 16

// next removes and returns the entities of the earliest window that has any. ids may contain duplicates, and stays valid until
// next returns the same slot again. ok is false if the queue is empty.
func (w *timingWheel) next() (window int64, ids []int32, ok bool) {
	if w.slotCount == 0 && len(w.overflow) == 0 {
		return 0, nil, false
	}
	if w.slotCount == 0 { // skip the empty windows before the first window in the heap
		w.lastWindow = max(w.lastWindow, w.overflow[0].windowNumber-1)
	}
	for {
		for len(w.overflow) > 0 && w.overflow[0].windowNumber-w.lastWindow <= w.mask {
			item := heap.Pop(&w.overflow).(windowItem)
			w.addSlot(item.windowNumber, item.id)
		}
		w.lastWindow++
		slot := &w.slots[w.lastWindow&w.mask]
		if len(*slot) == 0 {
			continue
		}
		ids = *slot
		// The emptied slot continues in the same array after the elements of ids, so that entities which are added while the
		// caller still reads ids do not overwrite it.
		*slot = (*slot)[len(*slot):]
		if cap(*slot) < minSlotCapacity {
			*slot = nil
		}
		w.slotCount -= len(ids)
		return w.lastWindow, ids, true
	}
}
