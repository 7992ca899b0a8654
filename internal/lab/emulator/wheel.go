package emulator

import "container/heap"

// wheel orders entities by the window of simulated time in which something falls due for them. It is made for the
// engine's access pattern: nearly all of it is due within a few thousand windows, entities are due again and again,
// and all that is due in one window is wanted at once. Adding costs one append; what lies further ahead waits in a
// heap. wheel_test.go measures it beside a plain heap.
type wheel struct {
	slots [][]int32
	mask  int64
	now   int64 // the window that was taken last
	count int   // in slots
	far   farHeap
}

type farItem struct {
	window int64
	id     int32
}

type farHeap []farItem

func (h farHeap) Len() int { return len(h) }
func (h farHeap) Less(i, j int) bool {
	return h[i].window < h[j].window || h[i].window == h[j].window && h[i].id < h[j].id
}
func (h farHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *farHeap) Push(x any)   { *h = append(*h, x.(farItem)) }
func (h *farHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// newWheel makes a wheel of 2^bits windows.
func newWheel(bits int) *wheel {
	return &wheel{slots: make([][]int32, 1<<bits), mask: 1<<bits - 1, now: -1}
}

// add has id come up in the window, or in the next one if that has passed.
func (w *wheel) add(window int64, id int32) {
	window = max(window, w.now+1)
	if window-w.now > w.mask {
		heap.Push(&w.far, farItem{window, id})
		return
	}
	s := &w.slots[window&w.mask]
	*s = append(*s, id)
	w.count++
}

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
			x := heap.Pop(&w.far).(farItem)
			s := &w.slots[x.window&w.mask]
			*s = append(*s, x.id)
			w.count++
		}
		w.now++
		s := &w.slots[w.now&w.mask]
		if len(*s) > 0 {
			ids = *s
			*s = (*s)[len(*s):] // what is added for this slot while ids is in use goes behind it
			if cap(*s) < 16 {
				*s = nil
			}
			w.count -= len(ids)
			return w.now, ids, true
		}
	}
}
