package machineindex

import (
	"math/bits"

	"github.com/bits-and-blooms/bitset"
)

// Capacity is what the owner knows of a machine's capacity.
type Capacity struct {
	FreeCores         float64 // without what is assumed, see UpdateAssumed
	FreeMemory        float64
	RequestedCores    float64 // by all schedulers
	RequestedMemory   float64
	RequestedFraction float64 // by which RankedByRequestedFraction orders
}

// capacityColumns is the capacity of the machines, by number.
type capacityColumns struct {
	listedCores  []float64 // Capacity.FreeCores
	listedMemory []float64
	freeCores    []float64 // listed, less what is assumed
	freeMemory   []float64

	requestedCores  []float64
	requestedMemory []float64
	totalCores      float64 // requested of the fleet, as of totalsValid
	totalMemory     float64
	totalsValid     bool
}

// resize empties the columns for the given number of machines.
func (c *capacityColumns) resize(machines int) {
	for _, column := range []*[]float64{&c.listedCores, &c.listedMemory, &c.freeCores, &c.freeMemory,
		&c.requestedCores, &c.requestedMemory} {
		*column = make([]float64, machines)
	}
	c.totalsValid = false
}

// SetCapacity writes the capacity of a machine.
func (idx *Index) SetCapacity(number int, capacity Capacity) {
	c := &idx.capacity
	c.listedCores[number], c.listedMemory[number] = capacity.FreeCores, capacity.FreeMemory
	c.requestedCores[number], c.requestedMemory[number] = capacity.RequestedCores, capacity.RequestedMemory
	idx.ranking.set(number, capacity.RequestedFraction)
	idx.updateFreeCapacity(idx.entries[number])
}

// ClearRequested records that nothing is requested of a machine. The rest of its Capacity stays.
func (idx *Index) ClearRequested(number int) {
	idx.capacity.requestedCores[number], idx.capacity.requestedMemory[number] = 0, 0
}

// AddMachinesLackingCapacity adds to lacking those of the given machines that have less free than cores or memory.
func (idx *Index) AddMachinesLackingCapacity(machines, lacking *bitset.BitSet, cores, memory float64) {
	c := &idx.capacity
	from, to := machines.Words(), lacking.Words()
	for w := range from {
		found := uint64(0)
		for word := from[w] &^ to[w]; word != 0; word &= word - 1 {
			number := w<<6 + bits.TrailingZeros64(word)
			if !(c.freeCores[number] >= cores && c.freeMemory[number] >= memory) {
				found |= word & -word
			}
		}
		to[w] |= found
	}
}

// TotalRequested returns what is requested of all machines. The terms are added in the order of the machines, so that the
// sum is the same to the last bit whatever changed since.
func (idx *Index) TotalRequested() (cores, memory float64) {
	c := &idx.capacity
	if !c.totalsValid {
		c.totalsValid, c.totalCores, c.totalMemory = true, 0, 0
		for number, requested := range c.requestedCores {
			c.totalCores += requested
			c.totalMemory += c.requestedMemory[number]
		}
	}
	return c.totalCores, c.totalMemory
}

// updateFreeCapacity writes what is free on a machine, less what is assumed; nothing where it was removed.
func (idx *Index) updateFreeCapacity(e *Entry) {
	if e.number < 0 {
		return
	}
	c := &idx.capacity
	c.freeCores[e.number] = c.listedCores[e.number] - e.assumed.cores
	c.freeMemory[e.number] = c.listedMemory[e.number] - e.assumed.memory
}
