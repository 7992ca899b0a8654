package emulator

import "container/heap"

// wheel is a timing wheel: it orders entities by the window of simulated time in which something falls due for them. It is
// made for the engine's access pattern: nearly all of it is due within a few thousand windows, entities are due again and
// again, and all that is due in one window is wanted at once. Adding costs one append; what lies further ahead waits in a
// heap. wheel_test.go measures it beside a plain heap.
type wheel struct {
	slots [][]int32
	mask  int64
	now   int64 // the window that was taken last
	count int   // in slots
	far   windowHeap
}

type windowItem struct {
	window int64
	id     int32
}

// windowHeap is a heap for container/heap.
type windowHeap []windowItem

// Len is of heap.Interface.
func (h windowHeap) Len() int { return len(h) }

// Less is of heap.Interface.
func (h windowHeap) Less(i, j int) bool {
	return h[i].window < h[j].window || h[i].window == h[j].window && h[i].id < h[j].id
}

// Swap is of heap.Interface.
func (h windowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is of heap.Interface.
func (h *windowHeap) Push(x any) { *h = append(*h, x.(windowItem)) }

// Pop is of heap.Interface.
func (h *windowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newWheel makes a wheel of 2^bits windows.
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

// minSlotCapacity is the rest of a slot's memory that is worth keeping.
const minSlotCapacity = 16

// next takes all that is due in the earliest window that has something. ids may hold repeats; they are valid until
// the next call of next that returns the same slot. ok is false when nothing is left.
func (w *wheel) next() (window int64, ids []int32, ok bool) {
	if w.count == 0 && len(w.far) == 0 {
		return 0, nil, false
	}
	if w.count == 0 { // nothing near: leap
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
		*slot = (*slot)[len(*slot):] // what is added for this slot while ids is in use goes behind it
		if cap(*slot) < minSlotCapacity {
			*slot = nil
		}
		w.count -= len(ids)
		return w.now, ids, true
	}
}
