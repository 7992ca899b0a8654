package machineindex

import (
	"math/bits"

	"github.com/bits-and-blooms/bitset"
)

// Capacity is the free and the requested capacity of one machine.
type Capacity struct {
	FreeCores         float64 // assumed capacity is not subtracted, see UpdateAssumed
	FreeMemory        float64
	RequestedCores    float64 // by all schedulers
	RequestedMemory   float64
	RequestedFraction float64 // sort key of RankedByRequestedFraction
}

// capacityColumns has the capacity of all machines, by machine number.
type capacityColumns struct {
	listedCores  []float64 // Capacity.FreeCores
	listedMemory []float64
	freeCores    []float64 // listedCores minus the assumed cores
	freeMemory   []float64

	requestedCores       []float64
	requestedMemory      []float64
	totalRequestedCores  float64 // sum of requestedCores, if totalsValid
	totalRequestedMemory float64
	totalsValid          bool // reset by Refresh
}

// resize replaces the columns by zeros for the given number of machines.
func (c *capacityColumns) resize(machineCount int) {
	for _, column := range []*[]float64{&c.listedCores, &c.listedMemory, &c.freeCores, &c.freeMemory,
		&c.requestedCores, &c.requestedMemory} {
		*column = make([]float64, machineCount)
	}
	c.totalsValid = false
}

// SetCapacity sets the capacity of a machine.
func (idx *Index) SetCapacity(number int, capacity Capacity) {
	c := &idx.capacity
	c.listedCores[number], c.listedMemory[number] = capacity.FreeCores, capacity.FreeMemory
	c.requestedCores[number], c.requestedMemory[number] = capacity.RequestedCores, capacity.RequestedMemory
	idx.ranking.set(number, capacity.RequestedFraction)
	idx.updateFreeCapacity(idx.entries[number])
}

// ClearRequested sets the requested cores and memory of a machine to 0. The rest of its Capacity is unchanged.
func (idx *Index) ClearRequested(number int) {
	idx.capacity.requestedCores[number], idx.capacity.requestedMemory[number] = 0, 0
}

// AddMachinesLackingCapacity adds to the set lacking each member of machines whose free cores are fewer than cores or whose
// free memory is less than memory.
func (idx *Index) AddMachinesLackingCapacity(machines, lacking *bitset.BitSet, cores, memory float64) {
	c := &idx.capacity
	machineWords, lackingWords := machines.Words(), lacking.Words()
	for w := range machineWords {
		added := uint64(0)
		for word := machineWords[w] &^ lackingWords[w]; word != 0; word &= word - 1 {
			number := w<<6 + bits.TrailingZeros64(word)
			if !(c.freeCores[number] >= cores && c.freeMemory[number] >= memory) {
				added |= word & -word
			}
		}
		lackingWords[w] |= added
	}
}

// TotalRequested returns the sums of the requested cores and memory of all machines. They are not updated incrementally but
// added in the order of machine numbers, so that rounding does not depend on the order of earlier changes.
func (idx *Index) TotalRequested() (cores, memory float64) {
	c := &idx.capacity
	if !c.totalsValid {
		c.totalsValid, c.totalRequestedCores, c.totalRequestedMemory = true, 0, 0
		for number, requested := range c.requestedCores {
			c.totalRequestedCores += requested
			c.totalRequestedMemory += c.requestedMemory[number]
		}
	}
	return c.totalRequestedCores, c.totalRequestedMemory
}

// updateFreeCapacity computes the free capacity of a machine from its listed and assumed capacity. It does nothing for a
// machine without a number.
func (idx *Index) updateFreeCapacity(e *Entry) {
	if e.number < 0 {
		return
	}
	c := &idx.capacity
	c.freeCores[e.number] = c.listedCores[e.number] - e.assumed.cores
	c.freeMemory[e.number] = c.listedMemory[e.number] - e.assumed.memory
}
