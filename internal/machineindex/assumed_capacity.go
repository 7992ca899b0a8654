package machineindex

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
)

// assumedCapacity sums the capacity that is assumed to be in use: that of recent placements which the listed free capacity
// may not reflect yet. The placements are summed once per step, because thousands of tasks may be waiting for a machine;
// placements of the current step are added to the sums.
type assumedCapacity struct {
	valid         bool           // the placements were summed in the current step
	generation    int            // incremented whenever all placements are summed
	historyLength int            // length of the history when all placements were summed
	entries       []*Entry       // machines with an assumedSum of this generation
	updated       *bitset.BitSet // machines passed to UpdateAssumed in the current step
}

// assumedSum is the capacity that is assumed to be in use on one machine.
type assumedSum struct {
	since      time.Duration // placements offered before this time are not counted
	generation int           // assumedCapacity.generation when the sum was last reset
	cores      float64
	memory     float64
}

// resize discards the sums when the number of machines changes.
func (a *assumedCapacity) resize(machineCount int) {
	a.valid, a.entries = false, nil
	a.updated = bitset.MustNew(uint(machineCount))
}

// SetAssumedSince sets which placements on a machine are assumed to use capacity: those offered at the given time or later.
func (idx *Index) SetAssumedSince(e *Entry, since time.Duration) { e.assumed.since = since }

// InvalidateAssumed discards the sums of assumed capacity. It must be called at the start of each step.
func (idx *Index) InvalidateAssumed() { idx.assumed.valid = false }

// UpdateAssumed updates the assumed capacity of the given machines, which is subtracted from their free capacity.
func (idx *Index) UpdateAssumed(machines *bitset.BitSet) {
	a := &idx.assumed
	if !a.valid {
		idx.sumAssumed()
	}
	if idx.history.Len() > a.historyLength { // placements were added: sum again for machines not yet updated in this step
		for _, e := range a.entries {
			if e.number >= 0 && machines.Test(uint(e.number)) && !a.updated.Test(uint(e.number)) {
				idx.sumAssumedOn(e)
			}
		}
	}
	a.updated.InPlaceUnion(machines)
}

// sumAssumed sums the assumed placements of all machines, at the first UpdateAssumed of a step.
func (idx *Index) sumAssumed() {
	a := &idx.assumed
	for _, e := range a.entries {
		e.assumed.cores, e.assumed.memory = 0, 0
		idx.updateFreeCapacity(e)
	}
	a.entries = a.entries[:0]
	a.updated.ClearAll()
	a.valid, a.historyLength = true, idx.history.Len()
	a.generation++
	for _, p := range slices.Backward(idx.history.Recent()) {
		if !p.forgotten && p.OfferedAt >= p.Machine.assumed.since {
			a.add(p)
		}
	}
	for _, e := range a.entries {
		idx.updateFreeCapacity(e)
	}
}

// sumAssumedOn sums the assumed placements on one machine.
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

// addAssumed adds a placement of the current step to the sums. It does nothing if the sums are not valid or a renumbering is
// pending.
func (idx *Index) addAssumed(p *Placement) {
	if idx.assumed.valid && !idx.renumberPending {
		idx.assumed.add(p)
		idx.updateFreeCapacity(p.Machine)
	}
}

// add adds a placement to the sum of its machine, which it first resets if the sum is of an earlier generation.
func (a *assumedCapacity) add(p *Placement) {
	sum := &p.Machine.assumed
	if sum.generation != a.generation {
		sum.generation, sum.cores, sum.memory = a.generation, 0, 0
		a.entries = append(a.entries, p.Machine)
	}
	sum.cores += p.Cores
	sum.memory += p.Memory
}
