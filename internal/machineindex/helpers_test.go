package machineindex

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
)

// testHistoryLimit is Options.HistoryLimit of indices under test.
const testHistoryLimit = 40

// fleet is an index under test and the entries of its machines, in the order of their IDs.
type fleet struct {
	t       *testing.T
	index   *Index
	ids     []string
	entries []*Entry
}

// newFleet makes an index of the given number of machines, which have kind 0 where their number is even, else 1.
func newFleet(t *testing.T, machines int) *fleet {
	t.Helper()
	index := New(Options{
		Affinity: AffinityPolicy{
			KindWeights: []float64{1, 0.25},
			Compare: func(a, b Affinity) int {
				return cmp.Compare(math.Log(a.HashValue/MaxHashValue)/a.Weight, math.Log(b.HashValue/MaxHashValue)/b.Weight)
			},
			HashThreshold: func(weight, totalWeight float64) float64 { return math.Exp(-5 / totalWeight * weight) },
		},
		HistoryLimit:    testHistoryLimit,
		MaxIdleServices: 2,
	})
	f := &fleet{t: t, index: index}
	for i := range machines {
		f.insert(fmt.Sprintf("m%03d", i))
	}
	f.refresh()
	for number := range machines {
		index.SetKind(number, number%2)
	}
	return f
}

// insert adds a machine to the index and returns its entry.
func (f *fleet) insert(id string) *Entry {
	f.t.Helper()
	position, found := slices.BinarySearch(f.ids, id)
	if found {
		f.t.Fatalf("machine %s is there already", id)
	}
	e := f.index.Insert(position, id)
	f.ids = slices.Insert(f.ids, position, id)
	f.entries = slices.Insert(f.entries, position, e)
	return e
}

// remove takes the machine at a position out of the index and returns its entry.
func (f *fleet) remove(position int) *Entry {
	f.t.Helper()
	e := f.entries[position]
	f.index.Remove(position)
	f.ids = slices.Delete(f.ids, position, position+1)
	f.entries = slices.Delete(f.entries, position, position+1)
	return e
}

// refresh refreshes the index and returns the numbers of the machines that it updated, in order.
func (f *fleet) refresh() (updated []int) {
	f.index.Refresh(func(number int) { updated = append(updated, number) })
	slices.Sort(updated)
	return updated
}

// setOf returns a set of machine numbers.
func (f *fleet) setOf(numbers ...int) *bitset.BitSet {
	set := bitset.MustNew(uint(len(f.entries)))
	for _, number := range numbers {
		set.Set(uint(number))
	}
	return set
}

// all returns the set of all machines.
func (f *fleet) all() *bitset.BitSet {
	return f.setOf().FlipRange(0, uint(len(f.entries)))
}

// place adds a placement on a machine to the history.
func (f *fleet) place(e *Entry, offeredAt time.Duration, cores float64) *Placement {
	placed := &Placement{Machine: e, OfferedAt: offeredAt, Cores: cores, Memory: 2 * cores}
	f.index.AddPlacement(placed)
	return placed
}

// members returns the numbers in a set, in order.
func members(set *bitset.BitSet) (numbers []int) {
	for number := range set.EachSet() {
		numbers = append(numbers, int(number))
	}
	return numbers
}

// randomSubset returns a set that has each machine with the given probability.
func (f *fleet) randomSubset(random *rand.Rand, probability float64) *bitset.BitSet {
	set := f.setOf()
	for number := range f.entries {
		set.SetTo(uint(number), random.Float64() < probability)
	}
	return set
}
