package flaxshelf

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// capacityColumns is what the machine list says of capacity, by machine. It is used with Config.ListsFreeCapacity.
type capacityColumns struct {
	listedCores  []float64 // free by the list, with the overcommit of the settings
	listedMemory []float64
	freeCores    []float64 // listed, less what the list may not show yet
	freeMemory   []float64

	requestedCores  []float64 // by all schedulers
	requestedMemory []float64
	totalCores      float64 // sums over the fleet, as of totalsValid
	totalMemory     float64
	totalsValid     bool

	requestedFraction   []float64
	byRequestedFraction []int32 // the machines by requestedFraction, highest first, then by number
	rankChanged         []int32 // machines whose position in byRequestedFraction is void
}

// updateColumns writes the capacity and the external load of a machine of the given kind.
func (p *Placer) updateColumns(m *machine, kindIndex int) {
	x, number := &p.index, m.number
	x.requestedCores[number], x.requestedMemory[number] = 0, 0
	if kindIndex < 0 {
		return
	}
	x.externalLoad[number] = p.externalLoad(m)
	if !p.cfg.ListsFreeCapacity {
		return
	}
	kind := p.cfg.Kinds[kindIndex]
	x.listedCores[number] = m.FreeCores + (p.cfg.CoreOvercommit-1)*kind.Cores
	x.listedMemory[number] = m.FreeMemory + (p.cfg.MemoryOvercommit-1)*kind.Memory
	if m.State != Removed {
		x.requestedCores[number] = kind.Cores - m.FreeCores + m.coresSinceListed
		x.requestedMemory[number] = kind.Memory - m.FreeMemory + m.memorySinceListed
	}
	if share := p.requestedFraction(m); share != x.requestedFraction[number] {
		x.requestedFraction[number] = share
		x.rankChanged = append(x.rankChanged, int32(number))
	}
	if m.unshownStep != x.unshownStep {
		m.unshownCores, m.unshownMemory = 0, 0
	}
	x.updateFreeCapacity(m)
}

// updateFreeCapacity writes what is free on m by the list, less what the list may not show yet.
func (x *index) updateFreeCapacity(m *machine) {
	if m.number >= 0 && m.number < len(x.freeCores) {
		x.freeCores[m.number] = x.listedCores[m.number] - m.unshownCores
		x.freeMemory[m.number] = x.listedMemory[m.number] - m.unshownMemory
	}
}

// addLackingCapacity adds to full the eligible machines that have less free than requested.
func (x *capacityColumns) addLackingCapacity(eligible, full *bitset.BitSet, cores, memory float64) {
	from, to := eligible.Words(), full.Words()
	for w := range from {
		lacking := uint64(0)
		for word := from[w] &^ to[w]; word != 0; word &= word - 1 {
			number := w<<6 + bits.TrailingZeros64(word)
			if !(x.freeCores[number] >= cores && x.freeMemory[number] >= memory) {
				lacking |= word & -word
			}
		}
		to[w] |= lacking
	}
}

// totals is what is requested of all listed machines. The terms are added in the order of the machines, so that the sum
// is the same to the last bit whatever changed since.
func (x *capacityColumns) totals() (cores, memory float64) {
	if !x.totalsValid {
		x.totalsValid, x.totalCores, x.totalMemory = true, 0, 0
		for number, requested := range x.requestedCores {
			x.totalCores += requested
			x.totalMemory += x.requestedMemory[number]
		}
	}
	return x.totalCores, x.totalMemory
}

// rankAll starts the ranking by requested fraction over for so many machines.
func (x *capacityColumns) rankAll(machines int) {
	for number := range machines {
		x.byRequestedFraction = append(x.byRequestedFraction, int32(number))
	}
	x.rankChanged = slices.Clone(x.byRequestedFraction)
}

// rankedByRequestedFraction is the machines by requested fraction, highest first.
func (x *index) rankedByRequestedFraction() []int32 {
	if len(x.rankChanged) == 0 {
		return x.byRequestedFraction
	}
	slices.Sort(x.rankChanged)
	changed := slices.Compact(x.rankChanged)
	if len(changed) > len(x.byRequestedFraction)/8 {
		slices.SortFunc(x.byRequestedFraction, x.compareRequestedFraction)
	} else {
		x.moveChanged(changed)
	}
	x.rankChanged = x.rankChanged[:0]
	return x.byRequestedFraction
}

// moveChanged takes the machines that changed out of the ranking and merges them in again.
func (x *index) moveChanged(changed []int32) {
	isChanged := x.scratch.ClearAll()
	for _, number := range changed {
		isChanged.Set(uint(number))
	}
	kept := slices.DeleteFunc(x.byRequestedFraction, func(number int32) bool { return isChanged.Test(uint(number)) })
	slices.SortFunc(changed, x.compareRequestedFraction)
	merged := make([]int32, 0, len(kept)+len(changed))
	for len(kept) > 0 && len(changed) > 0 {
		if x.compareRequestedFraction(kept[0], changed[0]) < 0 {
			merged, kept = append(merged, kept[0]), kept[1:]
		} else {
			merged, changed = append(merged, changed[0]), changed[1:]
		}
	}
	x.byRequestedFraction = append(append(merged, kept...), changed...)
}

func (x *capacityColumns) compareRequestedFraction(a, b int32) int {
	return cmp.Or(cmp.Compare(x.requestedFraction[b], x.requestedFraction[a]), cmp.Compare(a, b))
}
