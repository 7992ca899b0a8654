package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// heapQueue is a plain heap, with which the timing wheel is compared.
type heapQueue struct{ items windowHeap }

func (q *heapQueue) add(window int64, id int32) { heap.Push(&q.items, windowItem{window, id}) }

func (q *heapQueue) next() (int64, []int32, bool) {
	if len(q.items) == 0 {
		return 0, nil, false
	}
	w, ids := q.items[0].windowNumber, []int32(nil)
	for len(q.items) > 0 && q.items[0].windowNumber == w {
		ids = append(ids, heap.Pop(&q.items).(windowItem).id)
	}
	return w, ids, true
}

// Guards against entities that the timing wheel loses, adds or returns in the wrong window, in and beyond its span.
func TestWheelMatchesHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wheel, reference := newTimingWheel(rapid.IntRange(1, 6).Draw(t, "bits")), &heapQueue{}
		now := int64(-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 4).Draw(t, "adds") {
				at := now + 1 + int64(rapid.SampledFrom([]int{0, 1, 2, 7, 63, 64, 65, 500, 100000}).Draw(t, "ahead"))
				id := int32(rapid.IntRange(0, 5).Draw(t, "id"))
				wheel.add(at, id)
				reference.add(at, id)
			}
			gotWindow, got, ok := wheel.next()
			wantWindow, want, wantOK := reference.next()
			got = slices.Clone(got)
			slices.Sort(got)
			slices.Sort(want)
			if gotWindow != wantWindow || ok != wantOK || !slices.Equal(got, want) {
				t.Fatalf("got window %d with %v, %v; want that of the heap, %d with %v, %v", gotWindow, got, ok, wantWindow, want,
					wantOK)
			}
			if ok {
				now = gotWindow
			}
		}
	})
}

// queue is implemented by timingWheel and heapQueue.
type queue interface {
	add(window int64, id int32)
	next() (int64, []int32, bool)
}

// BenchmarkQueue measures both queues with the engine's access pattern: each of n entities is queued again when it is returned,
// mostly for a window soon after and sometimes for one beyond the span of the wheel.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 100000} {
		for _, implementation := range []struct {
			name     string
			newQueue func() queue
		}{{"wheel", func() queue { return newTimingWheel(12) }}, {"heap", func() queue { return &heapQueue{} }}} {
			b.Run(fmt.Sprintf("%s/entities=%d", implementation.name, n), func(b *testing.B) {
				q, random := implementation.newQueue(), rand.New(rand.NewPCG(1, 2))
				for id := range n {
					q.add(int64(random.IntN(500)), int32(id))
				}
				b.ResetTimer()
				for done := 0; done < b.N; {
					w, ids, _ := q.next()
					for _, id := range ids {
						ahead := int64(1 + random.IntN(500))
						if random.IntN(50) == 0 {
							ahead = 20000
						}
						q.add(w+ahead, id)
					}
					done += len(ids)
				}
			})
		}
	}
}
