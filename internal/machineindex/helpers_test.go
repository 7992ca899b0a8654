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

// testHistoryLimit is the Options.HistoryLimit of newFleet.
const testHistoryLimit = 40

// fleet is an Index under test, with the IDs and entries of its machines in the order of IDs.
type fleet struct {
	t       *testing.T
	index   *Index
	ids     []string
	entries []*Entry
}

// newFleet returns an index of the given number of machines. Machines with even numbers have kind 0, the others kind 1.
func newFleet(t *testing.T, machineCount int) *fleet {
	t.Helper()
	index := New(Options{
		Affinity: AffinityPolicy{
			KindWeights: []float64{1, 0.25},
			Compare: func(a, b Affinity) int {
				return cmp.Compare(math.Log(a.HashValue/MaxHashValue)/a.Weight, math.Log(b.HashValue/MaxHashValue)/b.Weight)
			},
			HashThreshold: func(weight, totalWeight float64) float64 { return math.Exp(-5 / totalWeight * weight) },
		},
		HistoryLimit:            testHistoryLimit,
		ServiceRemovalThreshold: 2,
	})
	f := &fleet{t: t, index: index}
	for i := range machineCount {
		f.insert(fmt.Sprintf("m%03d", i))
	}
	f.refresh()
	for number := range machineCount {
		index.SetKind(number, number%2)
	}
	return f
}

// insert adds a machine to the index and returns its entry.
func (f *fleet) insert(id string) *Entry {
	f.t.Helper()
	position, found := slices.BinarySearch(f.ids, id)
	if found {
		f.t.Fatalf("machine %s was inserted before", id)
	}
	e := f.index.Insert(position, id)
	f.ids = slices.Insert(f.ids, position, id)
	f.entries = slices.Insert(f.entries, position, e)
	return e
}

// remove removes the machine at a position from the index and returns its entry.
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

// randomSubset returns a set that contains each machine with the given probability.
func (f *fleet) randomSubset(random *rand.Rand, probability float64) *bitset.BitSet {
	set := f.setOf()
	for number := range f.entries {
		set.SetTo(uint(number), random.Float64() < probability)
	}
	return set
}
