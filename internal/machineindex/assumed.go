package machineindex

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
)

// assumedCapacity is what recent placements request that the listed free capacity may not show yet: it is assumed to be in
// use. It is summed once a step, since thousands of tasks may wait; placements of the step are added.
type assumedCapacity struct {
	current       bool      // the sums hold for the step in progress
	historyLength int       // when they were made
	cores         []float64 // by machine
	memory        []float64
	summed        []int32 // the machines with a sum
	isSummed      *bitset.BitSet
	checked       *bitset.BitSet // machines whose sums UpdateAssumed brought up to date in this step
}

func newAssumedCapacity(machines int) assumedCapacity {
	return assumedCapacity{
		cores:    make([]float64, machines),
		memory:   make([]float64, machines),
		isSummed: bitset.MustNew(uint(machines)),
		checked:  bitset.MustNew(uint(machines)),
	}
}

// AssumeSince has the placements on a machine count as assumed that were offered at the given time or later.
func (x *Index) AssumeSince(e *Entry, since time.Duration) { e.assumedSince = since }

// ExpireAssumed makes the sums of assumed capacity void. It must be called at the start of each step.
func (x *Index) ExpireAssumed() { x.assumed.current = false }

// UpdateAssumed subtracts assumed placements from the free capacity of the given machines.
func (x *Index) UpdateAssumed(machines *bitset.BitSet) {
	a := &x.assumed
	if !a.current {
		x.sumAssumed()
	}
	if x.history.Len() > a.historyLength { // placements of this step: machines not checked until now are summed again
		for _, number := range a.summed {
			if machines.Test(uint(number)) && !a.checked.Test(uint(number)) {
				x.sumAssumedOn(number)
			}
		}
	}
	a.checked.InPlaceUnion(machines)
}

// sumAssumed sums for all machines, at the first use in a step.
func (x *Index) sumAssumed() {
	a := &x.assumed
	for _, number := range a.summed {
		a.cores[number], a.memory[number] = 0, 0
		x.updateFreeCapacity(int(number))
	}
	a.summed = a.summed[:0]
	a.isSummed.ClearAll()
	a.checked.ClearAll()
	a.current, a.historyLength = true, x.history.Len()
	for _, p := range slices.Backward(x.history.Recent()) {
		if !p.forgotten && p.OfferedAt >= p.Machine.assumedSince {
			a.add(p)
		}
	}
	for _, number := range a.summed {
		x.updateFreeCapacity(int(number))
	}
}

// sumAssumedOn sums for one machine.
func (x *Index) sumAssumedOn(number int32) {
	a, e := &x.assumed, x.entries[number]
	a.cores[number], a.memory[number] = 0, 0
	for _, p := range slices.Backward(x.history.Recent()) {
		if p.OfferedAt < e.assumedSince {
			break
		}
		if p.Machine == e && !p.forgotten {
			a.cores[number] += p.Cores
			a.memory[number] += p.Memory
		}
	}
	x.updateFreeCapacity(int(number))
}

// addAssumed adds a placement of the step in progress, where sums were made in it already.
func (x *Index) addAssumed(p *Placement) {
	if x.assumed.current && !x.renumberPending && p.Machine.number >= 0 {
		x.assumed.add(p)
		x.updateFreeCapacity(p.Machine.number)
	}
}

// add adds a placement to the sum of its machine; nothing where the machine was removed from the Index.
func (a *assumedCapacity) add(p *Placement) {
	number := p.Machine.number
	if number < 0 {
		return
	}
	if !a.isSummed.Test(uint(number)) {
		a.isSummed.Set(uint(number))
		a.summed = append(a.summed, int32(number))
	}
	a.cores[number] += p.Cores
	a.memory[number] += p.Memory
}
