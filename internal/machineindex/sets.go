package machineindex

import (
	"math/bits"

	"github.com/bits-and-blooms/bitset"
)

// Column has a value for each machine, by machine number.
type Column struct {
	values []float64
}

// At returns the value of a machine.
func (c *Column) At(number int) float64 { return c.values[number] }

// Set sets the value of a machine.
func (c *Column) Set(number int, value float64) { c.values[number] = value }

// NewSet returns an empty set of machine numbers. Refresh empties it whenever it renumbers the machines.
func (idx *Index) NewSet() *bitset.BitSet {
	set := bitset.MustNew(uint(len(idx.entries)))
	idx.sets = append(idx.sets, set)
	return set
}

// NewColumn returns a column of zeros. Refresh resets its values to 0 whenever it renumbers the machines.
func (idx *Index) NewColumn() *Column {
	column := &Column{values: make([]float64, len(idx.entries))}
	idx.columns = append(idx.columns, column)
	return column
}

// ForEachCommon calls do for each number that is in both sets, in ascending order. do may add or
// remove the number that it is called with, in either set, but must not add or remove other numbers.
func ForEachCommon(a, b *bitset.BitSet, do func(number int)) {
	wordsA, wordsB := a.Words(), b.Words()
	for w := range wordsA {
		for word := wordsA[w] & wordsB[w]; word != 0; word &= word - 1 {
			do(w<<6 + bits.TrailingZeros64(word))
		}
	}
}

// resizeSets replaces all sets by empty ones, and all columns by zeros, for the given number of machines.
func (idx *Index) resizeSets(machineCount int) {
	for _, set := range idx.sets {
		*set = *bitset.MustNew(uint(machineCount))
	}
	for _, column := range idx.columns {
		column.values = make([]float64, machineCount)
	}
}
