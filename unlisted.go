package flaxshelf

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
)

// unlistedCapacity is for capacity that this scheduler requested so recently that the free capacity of the machine list
// may not show it. It is summed once a step, since thousands of tasks may wait; placements of the step are added.
type unlistedCapacity struct {
	unlistedStep     int        // the step for which the machines' sums hold
	unlistedHistory  int        // length of the history when they were made
	unlistedMachines []*machine // those with a sum
	unlistedChecked  *bitset.BitSet
}

// updateUnlisted brings the free capacity of the given machines up to date: placements count that were made since delay
// before the list last named their machine.
func (p *Placer) updateUnlisted(machines *bitset.BitSet, delay time.Duration) {
	x := &p.index
	if p.disabled[StaleCapacity] {
		return
	}
	if x.unlistedStep != p.stepNumber {
		p.sumUnlisted(delay)
	}
	if len(p.history) > x.unlistedHistory { // placements of this step: machines not checked until now are summed again
		for _, m := range x.unlistedMachines {
			if m.number >= 0 && machines.Test(uint(m.number)) && !x.unlistedChecked.Test(uint(m.number)) {
				p.sumUnlistedOf(m, delay)
			}
		}
	}
	x.unlistedChecked.InPlaceUnion(machines)
}

// sumUnlisted sums for all machines, at the first use in a step.
func (p *Placer) sumUnlisted(delay time.Duration) {
	x := &p.index
	for _, m := range x.unlistedMachines {
		m.unlistedCores, m.unlistedMemory = 0, 0
		x.updateFreeCapacity(m)
	}
	x.unlistedMachines = x.unlistedMachines[:0]
	x.unlistedStep, x.unlistedHistory = p.stepNumber, len(p.history)
	x.unlistedChecked.ClearAll()
	for _, b := range slices.Backward(p.recentHistory()) {
		if !b.forgotten && b.placedAt >= b.machine.listedAt-delay {
			p.addToUnlisted(b.machine, b.cores, b.memory)
		}
	}
	for _, m := range x.unlistedMachines {
		x.updateFreeCapacity(m)
	}
}

// sumUnlistedOf sums for one machine.
func (p *Placer) sumUnlistedOf(m *machine, delay time.Duration) {
	m.unlistedCores, m.unlistedMemory = 0, 0
	for _, b := range slices.Backward(p.recentHistory()) {
		if b.placedAt < m.listedAt-delay {
			break
		}
		if b.machine == m && !b.forgotten {
			m.unlistedCores += b.cores
			m.unlistedMemory += b.memory
		}
	}
	p.index.updateFreeCapacity(m)
}

// addUnlisted adds a placement of this step, where sums were made in it already.
func (p *Placer) addUnlisted(m *machine, t *task) {
	if p.index.unlistedStep == p.stepNumber {
		p.addToUnlisted(m, t.Cores, t.Memory)
		p.index.updateFreeCapacity(m)
	}
}

// addToUnlisted adds to the sum of a machine, which begins at none in each step.
func (p *Placer) addToUnlisted(m *machine, cores, memory float64) {
	if m.unlistedStep != p.stepNumber {
		m.unlistedStep, m.unlistedCores, m.unlistedMemory = p.stepNumber, 0, 0
		p.index.unlistedMachines = append(p.index.unlistedMachines, m)
	}
	m.unlistedCores += cores
	m.unlistedMemory += memory
}
