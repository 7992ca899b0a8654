package flaxshelf

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
)

// unshownCapacity is for capacity that this scheduler requested so recently that the free capacity of the machine list
// may not show it. It is summed once a step, since thousands of tasks may wait; placements of the step are added.
type unshownCapacity struct {
	unshownStep     int        // the step for which the machines' sums hold
	unshownHistory  int        // length of the history when they were made
	unshownMachines []*machine // those with a sum
	unshownChecked  *bitset.BitSet
}

// updateUnshown brings the free capacity of the given machines up to date: placements count that were made since delay
// before the list last named their machine.
func (p *Placer) updateUnshown(machines *bitset.BitSet, delay time.Duration) {
	x := &p.index
	if p.disabled[StaleCapacity] {
		return
	}
	if x.unshownStep != p.stepNumber {
		p.sumUnshown(delay)
	}
	if len(p.history) > x.unshownHistory { // placements of this step: machines not checked until now are summed again
		for _, m := range x.unshownMachines {
			if m.number >= 0 && machines.Test(uint(m.number)) && !x.unshownChecked.Test(uint(m.number)) {
				p.sumUnshownOf(m, delay)
			}
		}
	}
	x.unshownChecked.InPlaceUnion(machines)
}

// sumUnshown sums for all machines, at the first use in a step.
func (p *Placer) sumUnshown(delay time.Duration) {
	x := &p.index
	for _, m := range x.unshownMachines {
		m.unshownCores, m.unshownMemory = 0, 0
		x.updateFreeCapacity(m)
	}
	x.unshownMachines = x.unshownMachines[:0]
	x.unshownStep, x.unshownHistory = p.stepNumber, len(p.history)
	x.unshownChecked.ClearAll()
	for _, b := range slices.Backward(p.recentHistory()) {
		if !b.forgotten && b.offeredAt >= b.machine.listedAt-delay {
			p.addToUnshown(b.machine, b.cores, b.memory)
		}
	}
	for _, m := range x.unshownMachines {
		x.updateFreeCapacity(m)
	}
}

// sumUnshownOf sums for one machine.
func (p *Placer) sumUnshownOf(m *machine, delay time.Duration) {
	m.unshownCores, m.unshownMemory = 0, 0
	for _, b := range slices.Backward(p.recentHistory()) {
		if b.offeredAt < m.listedAt-delay {
			break
		}
		if b.machine == m && !b.forgotten {
			m.unshownCores += b.cores
			m.unshownMemory += b.memory
		}
	}
	p.index.updateFreeCapacity(m)
}

// addUnshown adds a placement of this step, where sums were made in it already.
func (p *Placer) addUnshown(m *machine, t *task) {
	if p.index.unshownStep == p.stepNumber {
		p.addToUnshown(m, t.Cores, t.Memory)
		p.index.updateFreeCapacity(m)
	}
}

// addToUnshown adds to the sum of a machine, which begins at none in each step.
func (p *Placer) addToUnshown(m *machine, cores, memory float64) {
	if m.unshownStep != p.stepNumber {
		m.unshownStep, m.unshownCores, m.unshownMemory = p.stepNumber, 0, 0
		p.index.unshownMachines = append(p.index.unshownMachines, m)
	}
	m.unshownCores += cores
	m.unshownMemory += memory
}
