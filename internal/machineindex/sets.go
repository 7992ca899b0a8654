package machineindex

import (
	"math/bits"

	"github.com/bits-and-blooms/bitset"
)

// Column is a figure for each machine, by number.
type Column struct {
	values []float64
}

// At returns the figure of a machine.
func (c *Column) At(number int) float64 { return c.values[number] }

// Set writes the figure of a machine.
func (c *Column) Set(number int, value float64) { c.values[number] = value }

// NewSet returns a set of machine numbers. Refresh empties it whenever it numbers the machines again.
func (idx *Index) NewSet() *bitset.BitSet {
	set := bitset.MustNew(uint(len(idx.entries)))
	idx.sets = append(idx.sets, set)
	return set
}

// NewColumn returns a column. Refresh sets it to 0 whenever it numbers the machines again.
func (idx *Index) NewColumn() *Column {
	column := &Column{values: make([]float64, len(idx.entries))}
	idx.columns = append(idx.columns, column)
	return column
}

// ForEachCommon calls do for each number that is in both sets, in order. do may change either set at its own number.
func ForEachCommon(a, b *bitset.BitSet, do func(number int)) {
	wordsA, wordsB := a.Words(), b.Words()
	for w := range wordsA {
		for word := wordsA[w] & wordsB[w]; word != 0; word &= word - 1 {
			do(w<<6 + bits.TrailingZeros64(word))
		}
	}
}

// resizeSets empties all sets and columns for the given number of machines.
func (idx *Index) resizeSets(machines int) {
	for _, set := range idx.sets {
		*set = *bitset.MustNew(uint(machines))
	}
	for _, column := range idx.columns {
		column.values = make([]float64, machines)
	}
}
