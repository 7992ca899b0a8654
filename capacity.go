package flaxshelf

import "flaxshelf.example/flaxshelf/internal/machineindex"

// Capacity: what is free on a machine and what is requested of it, by the machine list and this scheduler's own offers.

// recordListing records that the machine list names m now. Placements from listDelay before count as assumed: the listed
// free capacity may not show them.
func (p *Placer) recordListing(m *machine) {
	m.coresSinceListed, m.memorySinceListed = 0, 0
	p.index.SetAssumedSince(m.entry, p.now-listDelay)
}

// updateCapacity writes the capacity and the external load of a machine into the index; kindIndex is -1 for a machine
// without a kind.
func (p *Placer) updateCapacity(m *machine, kindIndex int) {
	number := m.entry.Number()
	if kindIndex < 0 {
		p.index.ClearRequested(number)
		return
	}
	p.conditions.externalLoad.Set(number, p.externalLoad(m))
	if !p.cfg.ListsFreeCapacity {
		return
	}
	kind := p.cfg.Kinds[kindIndex]
	capacity := machineindex.Capacity{
		FreeCores:         m.FreeCores + (p.cfg.CoreOvercommit-1)*kind.Cores,
		FreeMemory:        m.FreeMemory + (p.cfg.MemoryOvercommit-1)*kind.Memory,
		RequestedFraction: p.requestedFraction(m),
	}
	if m.State != Removed {
		capacity.RequestedCores = kind.Cores - m.FreeCores + m.coresSinceListed
		capacity.RequestedMemory = kind.Memory - m.FreeMemory + m.memorySinceListed
	}
	p.index.SetCapacity(number, capacity)
}

// requestedFraction returns the fraction of m that all schedulers together have requested, by the machine list.
func (p *Placer) requestedFraction(m *machine) float64 {
	kind := p.cfg.Kinds[m.Kind]
	return max((kind.Cores-m.FreeCores)/kind.Cores, (kind.Memory-m.FreeMemory)/kind.Memory)
}

// externalLoad returns the load of m without this scheduler's placements, as a fraction of its kind: what others
// requested by the list, and the service shortfall of this scheduler's tasks there. The plain replay begins with an empty
// fleet; with few placements in the history most machines would tie at 0, and a constraint on overload would be
// skipped when most machines are overloaded. It is wrong where one of the tasks is itself at fault.
func (p *Placer) externalLoad(m *machine) float64 {
	overload := 0.0
	if p.now < m.overloadedUntil && !p.disabled[OverloadPenalty] {
		overload = shortfallWeight * m.serviceShortfall
	}
	if !p.cfg.ListsFreeCapacity {
		return overload
	}
	kind := p.cfg.Kinds[m.Kind]
	cores := kind.Cores - m.FreeCores - (m.ownCores - m.coresSinceListed)
	memory := kind.Memory - m.FreeMemory - (m.ownMemory - m.memorySinceListed)
	return overload + max(0, cores/kind.Cores, memory/kind.Memory)
}

// relativeSize returns the fraction of machine m that task t requests: the larger of those of cores and memory. It is 0 for a
// machine of unknown kind.
func (p *Placer) relativeSize(t *task, m *machine) float64 {
	if m.Kind < 0 {
		return 0
	}
	kind := p.cfg.Kinds[m.Kind]
	return max(t.Cores/kind.Cores, t.Memory/kind.Memory)
}
