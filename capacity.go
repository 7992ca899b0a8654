package flaxshelf

import "flaxshelf.example/flaxshelf/internal/machineindex"

// Capacity: how much is free on a machine and how much is requested of it, according to the machine list and to this
// scheduler's own offers.

// recordListing records that m was updated from the machine list now. Placements that were offered at most listDelay ago
// may be missing from the listed free capacity, so they are assumed to use capacity in addition.
func (p *Placer) recordListing(m *machine) {
	m.coresSinceListed, m.memorySinceListed = 0, 0
	p.index.SetAssumedSince(m.entry, p.now-listDelay)
}

// updateCapacity writes the capacity and the external load of a machine into the index. kindIndex is -1 if its kind is
// unknown.
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

// requestedFraction returns the fraction of m that all schedulers together have requested according to the machine list: of
// cores or of memory, whichever is larger.
func (p *Placer) requestedFraction(m *machine) float64 {
	kind := p.cfg.Kinds[m.Kind]
	return max((kind.Cores-m.FreeCores)/kind.Cores, (kind.Memory-m.FreeMemory)/kind.Memory)
}

// externalLoad returns the load of m with which the replay vote begins, as a fraction of the machine's size: what other
// schedulers requested according to the machine list, and a penalty for the service shortfall of this scheduler's tasks
// there. Without this load, most machines would tie at 0 while the history is short. The shortfall is a penalty and not a
// soft constraint, because a soft constraint would be skipped when most machines are overloaded. The penalty is wrong where
// one of the tasks itself causes the poor service.
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

// relativeSize returns the fraction of m that t requests: of cores or of memory, whichever is larger. It is 0 if the kind of
// m is unknown.
func (p *Placer) relativeSize(t *task, m *machine) float64 {
	if m.Kind < 0 {
		return 0
	}
	kind := p.cfg.Kinds[m.Kind]
	return max(t.Cores/kind.Cores, t.Memory/kind.Memory)
}
