package flaxshelf

import (
	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Hard constraints are never relaxed, because a guarantee to users depends on each of them.

// applyHardConstraints returns the machines that satisfy all hard constraints for t. The result is valid until the next
// call.
func (p *Placer) applyHardConstraints(t *task) *bitset.BitSet {
	eligible := p.eligibleByKind(t)
	p.applyRetrySafety(t, eligible)
	p.applySpread(t, eligible)
	p.applySlowStart(eligible)
	return eligible
}

// eligibleByKind returns the machines that are listed, in service and of a kind that t's class allows, if an empty machine
// of that kind has capacity for t. The result is valid until the next call.
func (p *Placer) eligibleByKind(t *task) *bitset.BitSet {
	eligible := p.conditions.eligibleBuffer.ClearAll()
	for kind, active := range p.conditions.inServiceByKind {
		if (t.class.Kind < 0 || t.class.Kind == kind) && p.fitsKind(t, kind) {
			eligible.InPlaceUnion(active)
		}
	}
	return eligible
}

// fitsKind reports whether an empty machine of a kind has capacity for t.
func (p *Placer) fitsKind(t *task, kindIndex int) bool {
	kind := p.cfg.Kinds[kindIndex]
	cores := kind.Cores * max(p.cfg.CoreOvercommit, 1)
	memory := kind.Memory * max(p.cfg.MemoryOvercommit, 1)
	return t.Cores <= cores && t.Memory <= memory
}

// applyRetrySafety excludes the machines on which a second start of t may do harm, if an earlier attempt may have run. If t
// has an idempotency key, these are the machines outside the key domain of that attempt's machine, and all machines once
// the key has expired.
func (p *Placer) applyRetrySafety(t *task, eligible *bitset.BitSet) {
	if t.class.Idempotency == Idempotent || p.disabled[RetrySafetyConstraint] {
		return
	}
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.neverRan {
			continue
		}
		keyExpired := p.now+p.cfg.Tick >= a.offeredAt+t.class.KeyTTL
		if t.class.Idempotency != IdempotentByKey || keyExpired {
			eligible.ClearAll()
			return
		}
		machineindex.ForEachCommon(eligible, eligible, func(number int) {
			if !inSameDomain(t.class.KeyDomain, a.machine, p.sortedMachines[number]) {
				eligible.Clear(uint(number))
			}
		})
	}
}

// inSameDomain reports whether two machines are in the same topology domain of the given scope. The cell and zone of a
// machine that was never listed are unknown.
func inSameDomain(scope TopologyDomain, a, b *machine) bool {
	switch scope {
	case MachineDomain:
		return a == b
	case CellDomain:
		return a.listed && b.listed && a.Cell == b.Cell
	case ZoneDomain:
		return a.listed && b.listed && a.Zone == b.Zone
	}
	return scope == FleetDomain
}

// applySpread excludes the machines of domains that already have as many active attempts of t's service as its class allows.
func (p *Placer) applySpread(t *task, eligible *bitset.BitSet) {
	service := p.index.FindService(t.Service)
	if t.class.SpreadDomain == NoDomain || service == nil || p.disabled[SpreadConstraint] {
		return
	}
	switch t.class.SpreadDomain {
	case MachineDomain:
		for _, number := range service.Machines() {
			if p.index.AttemptsOf(t.Service, int(number)) >= t.class.MaxPerDomain {
				eligible.Clear(uint(number))
			}
		}
	case CellDomain:
		service.ExcludeFullDomains(eligible, machineindex.Cells, t.class.MaxPerDomain)
	case ZoneDomain:
		service.ExcludeFullDomains(eligible, machineindex.Zones, t.class.MaxPerDomain)
	}
}

// applySlowStart excludes the machines in slow start for which this scheduler has used up its offers.
func (p *Placer) applySlowStart(eligible *bitset.BitSet) {
	machineindex.ForEachCommon(eligible, p.conditions.slowStarting, func(number int) {
		if !p.hasSlowStartBudget(p.sortedMachines[number]) {
			eligible.Clear(uint(number))
		}
	})
}
