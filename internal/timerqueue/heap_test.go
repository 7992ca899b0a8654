package timerqueue

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelItems = 8
	modelTimes = 10
)

// model is a heap under test and a sorted list with the same items.
type model struct {
	heap   Heap[int]
	items  []Item[int]
	sorted []modelEntry
}

type modelEntry struct {
	at    int
	order int // number of the step that set it
	item  *Item[int]
}

func newModel() *model {
	m := &model{items: make([]Item[int], modelItems)}
	for i := range m.items {
		m.items[i].Value = i
	}
	return m
}

func (m *model) set(item *Item[int], at, order int) {
	m.heap.Set(item, time.Duration(at))
	m.removeFromList(item)
	m.sorted = append(m.sorted, modelEntry{at, order, item})
	slices.SortFunc(m.sorted, func(a, b modelEntry) int { return cmp.Or(a.at-b.at, a.order-b.order) })
}

func (m *model) remove(item *Item[int]) {
	m.heap.Remove(item)
	m.removeFromList(item)
}

func (m *model) removeFromList(item *Item[int]) {
	m.sorted = slices.DeleteFunc(m.sorted, func(e modelEntry) bool { return e.item == item })
}

func (m *model) popDue(t *rapid.T, now int) {
	t.Helper()
	got := m.heap.PopDue(time.Duration(now))
	var want *Item[int]
	if len(m.sorted) > 0 && m.sorted[0].at <= now {
		want = m.sorted[0].item
		m.sorted = m.sorted[1:]
	}
	if got != want {
		t.Fatalf("got item %+v, want %+v", got, want)
	}
}

// check compares the results of the heap's accessors with the list.
func (m *model) check(t *rapid.T) {
	t.Helper()
	for i := range m.items {
		queued := slices.ContainsFunc(m.sorted, func(e modelEntry) bool { return e.item == &m.items[i] })
		if m.items[i].Queued() != queued {
			t.Fatalf("item %d: got queued %v, want %v", i, m.items[i].Queued(), queued)
		}
	}
	if m.heap.Len() != len(m.sorted) {
		t.Fatalf("got %d items, want %d", m.heap.Len(), len(m.sorted))
	}
	next, ok := m.heap.Next()
	if ok != (len(m.sorted) > 0) || ok && next != time.Duration(m.sorted[0].at) {
		t.Fatalf("got next %v, %v, want the first of %+v", next, ok, m.sorted)
	}
}

func TestHeapMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for order := range rapid.IntRange(1, 200).Draw(t, "steps") {
			item := &m.items[rapid.IntRange(0, modelItems-1).Draw(t, "item")]
			at := rapid.IntRange(0, modelTimes-1).Draw(t, "at")
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				m.set(item, at, order)
			case 2:
				m.remove(item)
			case 3:
				m.popDue(t, at)
			}
			m.check(t)
		}
	})
}

func TestHeapOfConstantSizeDoesNotAllocate(t *testing.T) {
	var h Heap[int]
	items := make([]Item[int], 64)
	cycle := func() {
		for i := range items {
			h.Set(&items[i], time.Duration(i*37%64))
		}
		for range items {
			h.PopDue(64)
		}
	}
	cycle()
	if got := testing.AllocsPerRun(10, cycle); got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkSetAndPop(b *testing.B) {
	var h Heap[int]
	items := make([]Item[int], 1024)
	for i := range items {
		h.Set(&items[i], time.Duration(i*37%1024))
	}
	b.ReportAllocs()
	for b.Loop() {
		first := h.PopDue(1 << 60)
		h.Set(first, first.At()+1024)
	}
}
