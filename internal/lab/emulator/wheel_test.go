package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// plain is the queue that the wheel is measured against: one heap.
type plain struct{ h farHeap }

func (p *plain) add(window int64, id int32) { heap.Push(&p.h, farItem{window, id}) }

func (p *plain) next() (int64, []int32, bool) {
	if len(p.h) == 0 {
		return 0, nil, false
	}
	w, ids := p.h[0].window, []int32(nil)
	for len(p.h) > 0 && p.h[0].window == w {
		ids = append(ids, heap.Pop(&p.h).(farItem).id)
	}
	return w, ids, true
}

// Whatever is added, near or far, the wheel and a heap give the same windows with the same entities.
func TestWheelIsAHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, p := newWheel(rapid.IntRange(1, 6).Draw(t, "bits")), &plain{}
		now := int64(-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 4).Draw(t, "adds") {
				at := now + 1 + int64(rapid.SampledFrom([]int{0, 1, 2, 7, 63, 64, 65, 500, 100000}).Draw(t, "ahead"))
				id := int32(rapid.IntRange(0, 5).Draw(t, "id"))
				w.add(at, id)
				p.add(at, id)
			}
			gotW, got, ok1 := w.next()
			wantW, want, ok2 := p.next()
			got = slices.Clone(got)
			slices.Sort(got)
			slices.Sort(want)
			if gotW != wantW || ok1 != ok2 || !slices.Equal(got, want) {
				t.Fatalf("wheel: %d %v %v, heap: %d %v %v", gotW, got, ok1, wantW, want, ok2)
			}
			if ok1 {
				now = gotW
			}
		}
	})
}

type queue interface {
	add(window int64, id int32)
	next() (int64, []int32, bool)
}

// BenchmarkQueue runs the engine's pattern on both: n entities, each due again a little later whenever it has come
// up, some of them far ahead.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 100000} {
		for _, q := range []struct {
			name string
			make func() queue
		}{{"wheel", func() queue { return newWheel(12) }}, {"heap", func() queue { return &plain{} }}} {
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
