package flaxshelf

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// machine is the record of one machine: its entry in the machine list, what this scheduler has requested of it, and what
// evidence shows of its condition.
type machine struct {
	Machine
	entry     *machineindex.Entry
	listed    bool // the machine list has named it since this scheduler started
	removedAt Time // when State last became Removed

	health      health   // of the machine as a whole
	classHealth []health // by class: of that class of tasks on this machine

	overloadedUntil  Time    // its tasks get poor service or its memory is short until then
	serviceShortfall float64 // missing fraction of full service, as last reported

	rejectsUntil       Time    // it is expected to reject tasks of minRejectedSize or more until then
	minRejectedSize    float64 // as a fraction of the machine, see relativeSize
	rejectionDoublings int     // doublings of the next rejectionBackoff; an acceptance takes one off
	offerLimit         int     // largest number of pending offers; zero means no limit
	pendingOffers      int     // number of offers without an answer
	slowStartOffers    []Time  // times of recent offers while it was in slow start

	loadReport     LoadReport
	loadReportedAt Time

	ownCores  float64 // requested by this scheduler's active attempts
	ownMemory float64

	// Requested by this scheduler since the machine was last updated from the machine list.
	coresSinceListed  float64
	memorySinceListed float64
}

// health is what the outcomes of attempts show about a machine as a whole, or about one class of tasks on it.
type health struct {
	ejectedUntil      Time // no offers until then
	ejectionDoublings int  // doublings of baseEjection; above zero after a recent failure
	lastFailure       Time
	lastSuccess       Time
}

// findOrAddMachine returns the record of a machine. A new record counts as removed until the machine list names the machine.
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

// deleteMachine deletes the record of a machine, also from the index.
func (p *Placer) deleteMachine(m *machine) {
	delete(p.machines, m.ID)
	if position := slices.Index(p.sortedMachines, m); position >= 0 {
		p.sortedMachines = slices.Delete(p.sortedMachines, position, position+1)
		p.index.Remove(position)
	}
}

// healthOf returns the health of a class on m. For a class that is not in the settings it returns that of the machine.
func (m *machine) healthOf(class int) *health {
	if class < 0 || class >= len(m.classHealth) {
		return &m.health
	}
	return &m.classHealth[class]
}
