package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// heapQueue is the queue that the wheel is compared with: a heap.
type heapQueue struct{ items windowHeap }

func (q *heapQueue) add(window int64, id int32) { heap.Push(&q.items, windowItem{window, id}) }

func (q *heapQueue) next() (int64, []int32, bool) {
	if len(q.items) == 0 {
		return 0, nil, false
	}
	w, ids := q.items[0].window, []int32(nil)
	for len(q.items) > 0 && q.items[0].window == w {
		ids = append(ids, heap.Pop(&q.items).(windowItem).id)
	}
	return w, ids, true
}

// The wheel and a heap return the same windows with the same entities, whatever is added, near or far.
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

type queue interface {
	add(window int64, id int32)
	next() (int64, []int32, bool)
}

// BenchmarkQueue runs the engine's access pattern on both queues: n entities, each due again a little later whenever it was
// returned, and sometimes much later.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 100000} {
		for _, q := range []struct {
			name string
			make func() queue
		}{{"wheel", func() queue { return newTimingWheel(12) }}, {"heap", func() queue { return &heapQueue{} }}} {
			b.Run(fmt.Sprintf("%s/entities=%d", q.name, n), func(b *testing.B) {
				x, r := q.make(), rand.New(rand.NewPCG(1, 2))
				for id := range n {
					x.add(int64(r.IntN(500)), int32(id))
				}
				b.ResetTimer()
				for done := 0; done < b.N; {
					w, ids, _ := x.next()
					for _, id := range ids {
						ahead := int64(1 + r.IntN(500))
						if r.IntN(50) == 0 {
							ahead = 20000
						}
						x.add(w+ahead, id)
					}
					done += len(ids)
				}
			})
		}
	}
}
