package timerqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Any sequence of calls leaves what a sorted list would hold.
func TestLikeASortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at, n int
			item  *Item[int]
		}
		var h Heap[int]
		var list []entry
		items := make([]Item[int], 8)
		for i := range items {
			items[i].Value = i
		}
		drop := func(i *Item[int]) {
			list = slices.DeleteFunc(list, func(e entry) bool { return e.item == i })
		}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := &items[rapid.IntRange(0, 7).Draw(t, "item")]
			at := rapid.IntRange(0, 9).Draw(t, "at")
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				h.Set(i, time.Duration(at))
				drop(i)
				list = append(list, entry{at, n, i})
			case 2:
				h.Remove(i)
				drop(i)
			case 3:
				slices.SortFunc(list, func(a, b entry) int {
					if a.at != b.at {
						return a.at - b.at
					}
					return a.n - b.n
				})
				got := h.PopDue(time.Duration(at))
				if len(list) > 0 && list[0].at <= at {
					if got != list[0].item {
						t.Fatalf("took %v, want item %d", got, list[0].item.Value)
					}
					list = list[1:]
				} else if got != nil {
					t.Fatalf("took item %d, want none", got.Value)
				}
			}
			for j := range items {
				in := slices.ContainsFunc(list, func(e entry) bool { return e.item == &items[j] })
				if items[j].Queued() != in {
					t.Fatalf("item %d queued: %v, want %v", j, items[j].Queued(), in)
				}
			}
			if h.Len() != len(list) {
				t.Fatalf("%d items, want %d", h.Len(), len(list))
			}
		}
	})
}
