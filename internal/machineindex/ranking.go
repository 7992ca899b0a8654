package machineindex

import (
	"cmp"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// requestedRanking orders the machines by requested fraction, highest first. Machines of equal fractions are ordered by
// number.
type requestedRanking struct {
	fractions  []float64      // by machine number
	order      []int32        // machine numbers
	changed    []int32        // machines whose position in order may be outdated; may contain duplicates
	changedSet *bitset.BitSet // used within merge
}

// resize resets the ranking to the given number of machines with fraction 0.
func (r *requestedRanking) resize(machineCount int) {
	r.fractions = make([]float64, machineCount)
	r.order = make([]int32, machineCount)
	for number := range r.order {
		r.order[number] = int32(number)
	}
	r.changed = slices.Clone(r.order)
	r.changedSet = bitset.MustNew(uint(machineCount))
}

// set sets the fraction of a machine.
func (r *requestedRanking) set(number int, fraction float64) {
	if fraction != r.fractions[number] {
		r.fractions[number] = fraction
		r.changed = append(r.changed, int32(number))
	}
}

// RankedByRequestedFraction returns the numbers of the machines ordered by Capacity.RequestedFraction, highest first. Machines
// of equal fractions are ordered by number. The caller must not change the result, which is valid until the next SetCapacity
// or Refresh.
func (idx *Index) RankedByRequestedFraction() []int32 {
	r := &idx.ranking
	if len(r.changed) == 0 {
		return r.order
	}
	slices.Sort(r.changed)
	changed := slices.Compact(r.changed)
	if len(changed) > len(r.order)/8 {
		slices.SortFunc(r.order, r.compare)
	} else {
		r.merge(changed)
	}
	r.changed = r.changed[:0]
	return r.order
}

// merge removes the changed machines from the order, sorts them, and merges them into it.
func (r *requestedRanking) merge(changed []int32) {
	r.changedSet.ClearAll()
	for _, number := range changed {
		r.changedSet.Set(uint(number))
	}
	kept := slices.DeleteFunc(r.order, func(number int32) bool { return r.changedSet.Test(uint(number)) })
	slices.SortFunc(changed, r.compare)
	merged := make([]int32, 0, len(kept)+len(changed))
	for len(kept) > 0 && len(changed) > 0 {
		if r.compare(kept[0], changed[0]) < 0 {
			merged, kept = append(merged, kept[0]), kept[1:]
		} else {
			merged, changed = append(merged, changed[0]), changed[1:]
		}
	}
	r.order = append(append(merged, kept...), changed...)
}

func (r *requestedRanking) compare(a, b int32) int {
	return cmp.Or(cmp.Compare(r.fractions[b], r.fractions[a]), cmp.Compare(a, b))
}
