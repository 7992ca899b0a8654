package flaxshelf

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// machine is the record of one machine: its entry of the machine list, what this scheduler requested of it, and the
// evidence of its condition.
type machine struct {
	Machine
	entry     *machineindex.Entry
	listed    bool // the machine list has named it since this scheduler started
	removedAt Time

	health      health   // of the machine as a whole
	classHealth []health // of each class on it

	overloadedUntil  Time    // its tasks get poor service, or memory is short
	serviceShortfall float64 // fraction of full service missing, as last reported while overloaded

	rejectsUntil          Time    // until then it is expected to reject tasks of minRejectedSize or more
	minRejectedSize       float64 // fraction of its capacity, see relativeSize
	consecutiveRejections int     // reduced by acceptances
	offerLimit            int     // most pending offers; zero means no limit
	pendingOffers         int     // offers without an answer
	slowStartOffers       []Time  // recent offers while it was in slow start

	loadReport     LoadReport
	loadReportedAt Time

	ownCores  float64 // requested by this scheduler's active attempts
	ownMemory float64

	// Requested by this scheduler since the machine list last named it.
	coresSinceListed  float64
	memorySinceListed float64
}

// health is the evidence of outcomes about a machine or about one class on it.
type health struct {
	ejectedUntil        Time // no offers until then
	consecutiveFailures int
	lastFailure         Time
	lastSuccess         Time
}

// findOrAddMachine returns the record of a machine. Until the machine list names it, it counts as removed.
func (p *Placer) findOrAddMachine(id string) *machine {
	if m := p.machines[id]; m != nil {
		return m
	}
	m := &machine{
		Machine:     Machine{ID: id, Kind: -1, State: Removed},
		removedAt:   p.now,
		classHealth: make([]health, len(p.cfg.Classes)),
	}
	p.machines[id] = m
	p.removedMachines = append(p.removedMachines, m)
	compareID := func(m *machine, id string) int { return cmp.Compare(m.ID, id) }
	position, _ := slices.BinarySearchFunc(p.sortedMachines, id, compareID)
	p.sortedMachines = slices.Insert(p.sortedMachines, position, m)
	m.entry = p.index.Insert(position, id)
	p.index.SetAssumedSince(m.entry, -listDelay)
	return m
}

// deleteMachine deletes the record of a machine.
func (p *Placer) deleteMachine(m *machine) {
	delete(p.machines, m.ID)
	if position := slices.Index(p.sortedMachines, m); position >= 0 {
		p.sortedMachines = slices.Delete(p.sortedMachines, position, position+1)
		p.index.Remove(position)
	}
}

// healthOf returns the health of a class on m, or that of the machine for a class that the settings don't name.
func (m *machine) healthOf(class int) *health {
	if class < 0 || class >= len(m.classHealth) {
		return &m.health
	}
	return &m.classHealth[class]
}
