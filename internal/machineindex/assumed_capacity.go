package machineindex

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
)

// assumedCapacity is what recent placements request that the listed free capacity may not show yet: it is assumed to be in
// use. It is summed once a step, since thousands of tasks may wait; placements of the step are added.
type assumedCapacity struct {
	current       bool // the sums hold for the step in progress
	generation    int  // of the sums; grows whenever they are made
	historyLength int  // when they were made
	summed        []*Entry
	checked       *bitset.BitSet // machines whose sums UpdateAssumed brought up to date in this step
}

// assumedSum is what is assumed on one machine.
type assumedSum struct {
	since      time.Duration // placements from then on count
	generation int           // of assumedCapacity, at which the machine was put into summed
	cores      float64
	memory     float64
}

// resize makes the sums void for the given number of machines.
func (a *assumedCapacity) resize(machines int) {
	a.current, a.summed = false, nil
	a.checked = bitset.MustNew(uint(machines))
}

// SetAssumedSince sets the time of offer from which on the placements on a machine count as assumed.
func (idx *Index) SetAssumedSince(e *Entry, since time.Duration) { e.assumed.since = since }

// InvalidateAssumed makes the sums of assumed capacity void. It must be called at the start of each step.
func (idx *Index) InvalidateAssumed() { idx.assumed.current = false }

// UpdateAssumed subtracts assumed placements from the free capacity of the given machines.
func (idx *Index) UpdateAssumed(machines *bitset.BitSet) {
	a := &idx.assumed
	if !a.current {
		idx.sumAssumed()
	}
	if idx.history.Len() > a.historyLength { // placements of this step: machines not checked until now are summed again
		for _, e := range a.summed {
			if e.number >= 0 && machines.Test(uint(e.number)) && !a.checked.Test(uint(e.number)) {
				idx.sumAssumedOn(e)
			}
		}
	}
	a.checked.InPlaceUnion(machines)
}

// sumAssumed sums for all machines, at the first use in a step.
func (idx *Index) sumAssumed() {
	a := &idx.assumed
	for _, e := range a.summed {
		e.assumed.cores, e.assumed.memory = 0, 0
		idx.updateFreeCapacity(e)
	}
	a.summed = a.summed[:0]
	a.checked.ClearAll()
	a.current, a.historyLength = true, idx.history.Len()
	a.generation++
	for _, p := range slices.Backward(idx.history.Recent()) {
		if !p.forgotten && p.OfferedAt >= p.Machine.assumed.since {
			a.add(p)
		}
	}
	for _, e := range a.summed {
		idx.updateFreeCapacity(e)
	}
}

// sumAssumedOn sums for one machine.
func (idx *Index) sumAssumedOn(e *Entry) {
	e.assumed.cores, e.assumed.memory = 0, 0
	for _, p := range slices.Backward(idx.history.Recent()) {
		if p.OfferedAt < e.assumed.since {
			break
		}
		if p.Machine == e && !p.forgotten {
			e.assumed.cores += p.Cores
			e.assumed.memory += p.Memory
		}
	}
	idx.updateFreeCapacity(e)
}

// addAssumed adds a placement of the step in progress, where sums were made in it already.
func (idx *Index) addAssumed(p *Placement) {
	if idx.assumed.current && !idx.renumberPending {
		idx.assumed.add(p)
		idx.updateFreeCapacity(p.Machine)
	}
}

// add adds a placement to the sum of its machine, which begins at 0 in each generation.
func (a *assumedCapacity) add(p *Placement) {
	sum := &p.Machine.assumed
	if sum.generation != a.generation {
		sum.generation, sum.cores, sum.memory = a.generation, 0, 0
		a.summed = append(a.summed, p.Machine)
	}
	sum.cores += p.Cores
	sum.memory += p.Memory
}
