package reference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// chooseMachine picks a machine for t by hard constraints, soft constraints and vote; nil where none may take it now.
func (p *Placer) chooseMachine(t *task) *machine {
	var eligible []*machine
	for _, m := range p.machinesByID {
		if p.meetsHardConstraints(t, m) {
			eligible = append(eligible, m)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return p.vote(p.applySoftConstraints(t, eligible))
}

// meetsHardConstraints reports whether m may take t.
func (p *Placer) meetsHardConstraints(t *task, m *machine) bool {
	return p.isEligible(t, m) && p.isRetrySafe(t, m) && p.withinSpread(t, m) && p.hasSlowStartBudget(m)
}

// isEligible reports whether m is listed, in service, and of a kind that t's class allows and that would take t when
// empty.
func (p *Placer) isEligible(t *task, m *machine) bool {
	return m.listed && m.State == flaxshelf.Active && m.Kind >= 0 &&
		(t.class.Kind < 0 || t.class.Kind == m.Kind) && p.fitsOn(t, m)
}

// fitsOn reports whether m would take t when empty.
func (p *Placer) fitsOn(t *task, m *machine) bool {
	kind := p.cfg.Kinds[m.Kind]
	cores := kind.Cores * max(p.cfg.CoreOvercommit, 1)
	memory := kind.Memory * max(p.cfg.MemoryOvercommit, 1)
	return t.Cores <= cores && t.Memory <= memory
}

// isRetrySafe reports whether a second start on m does no harm, once an attempt may have run.
func (p *Placer) isRetrySafe(t *task, m *machine) bool {
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.neverRan || t.class.Idempotency == flaxshelf.Idempotent {
			continue
		}
		keyExpired := p.now+p.cfg.Tick >= a.sentAt+t.class.KeyTTL
		if t.class.Idempotency != flaxshelf.IdempotentByKey || keyExpired ||
			!inSameDomain(t.class.KeyDomain, a.machine, m) {
			return false
		}
	}
	return true
}

// withinSpread reports whether the domain of m has fewer attempts of t's service than its class allows.
func (p *Placer) withinSpread(t *task, m *machine) bool {
	if t.class.SpreadDomain == flaxshelf.NoDomain {
		return true
	}
	count := 0
	for _, other := range p.machinesByID {
		if inSameDomain(t.class.SpreadDomain, other, m) {
			count += other.attemptsOf[t.Service]
		}
	}
	return count < t.class.MaxPerDomain
}

// hasSlowStartBudget reports whether this scheduler may make one more offer to a machine in slow start.
func (p *Placer) hasSlowStartBudget(m *machine) bool {
	if !p.inSlowStart(m) {
		return true
	}
	budget := int(p.cfg.SlowStartBudget / float64(p.cfg.Schedulers))
	shared := p.cfg.SlowStartBudget - float64(budget*p.cfg.Schedulers)
	windowStart := p.now - p.cfg.OverloadWindow*3/2
	if p.startedAt > windowStart && p.startedAt > m.Started {
		return false
	}
	if shared >= 1 && p.inSlowStartSlot(m, shared) {
		budget++
	}
	for _, offeredAt := range m.slowStartOffers {
		if offeredAt >= windowStart {
			budget--
		}
	}
	return budget > 0
}

// inSlowStartSlot reports whether this scheduler has a slot for one further offer to a machine in slow start.
func (p *Placer) inSlowStartSlot(m *machine, budget float64) bool {
	interval := time.Duration(float64(2*p.cfg.OverloadWindow)/budget) + 1
	schedulers := uint64(p.cfg.Schedulers)
	position := (m.idHash%schedulers + uint64(p.cfg.Index)) % schedulers
	elapsed := p.now - m.Started - time.Duration(position)*interval
	return elapsed >= 0 && elapsed%(time.Duration(schedulers)*interval) < p.cfg.OverloadWindow
}

// recordSlowStartOffer remembers an offer to a machine in slow start for as long as it counts.
func (p *Placer) recordSlowStartOffer(m *machine) {
	if !p.inSlowStart(m) {
		return
	}
	expired := func(offeredAt flaxshelf.Time) bool { return p.now-offeredAt > 2*p.cfg.OverloadWindow }
	m.slowStartOffers = append(slices.DeleteFunc(m.slowStartOffers, expired), p.now)
}

func (p *Placer) inSlowStart(m *machine) bool {
	return m.Started > 0 && p.cfg.OverloadWindow > 0 && p.now < m.Started+p.cfg.SlowStartDuration+p.cfg.OverloadWindow
}

// applySoftConstraints is the candidates for t among the eligible machines. A constraint that would leave fewer machines
// than its least is skipped.
func (p *Placer) applySoftConstraints(t *task, eligible []*machine) []*machine {
	keep := func(least int, meets func(*machine) bool) {
		var kept []*machine
		for _, m := range eligible {
			if meets(m) {
				kept = append(kept, m)
			}
		}
		if len(kept) >= least {
			eligible = kept
		}
	}
	keep(1, func(m *machine) bool { return !t.triedOn(m) })
	keep(max(minCandidates, len(eligible)/2), func(m *machine) bool { return p.now >= m.health.ejectedUntil })
	keep(minCandidates, func(m *machine) bool { return p.now >= m.healthOf(t.Class).ejectedUntil })
	least := 0
	if p.nearDeadline(t) {
		least = 1
	}
	keep(least, func(m *machine) bool { return p.hasCapacity(t, m) })
	if len(eligible) == 0 {
		return nil
	}
	if p.cfg.Prices.Fleet > 0 && p.cfg.ListsFreeCapacity {
		used := p.consolidationSet(eligible)
		keep(minCandidates, func(m *machine) bool { return used[m] })
	}
	mean := 0.0
	for _, m := range eligible {
		mean += p.reportedLoad(m) / float64(len(eligible))
	}
	keep(minCandidates, func(m *machine) bool { return p.reportedLoad(m) < mean+reportedLoadMargin })
	preferred := p.preferredMachines(t, eligible)
	keep(minCandidates, func(m *machine) bool { return preferred[m] })
	return eligible
}

// nearDeadline reports whether t was never offered and little of its time remains.
func (p *Placer) nearDeadline(t *task) bool {
	return p.now >= t.submittedAt+(t.Deadline-t.submittedAt)*3/4 && len(t.attempts) == 0
}

// hasCapacity reports whether m has capacity for t as far as known: it did not reject such a size lately, may have a
// further pending offer, and has free capacity by the list.
func (p *Placer) hasCapacity(t *task, m *machine) bool {
	rejecting := p.now < m.rejectsUntil && p.sizeOn(t, m) >= m.rejectedSize
	offerLimited := m.offerWindow > 0 && m.pendingOffers >= m.offerWindow
	return !rejecting && !offerLimited && p.hasListedCapacity(t, m)
}

// reportedLoad is the load by a machine's last report, as a fraction of its kind; 0 without a fresh one.
func (p *Placer) reportedLoad(m *machine) float64 {
	if !m.loadReport.Present || p.now-m.loadReportedAt > reportFreshness || m.Kind < 0 {
		return 0
	}
	kind, load := p.cfg.Kinds[m.Kind], 0.0
	if m.loadReport.HasCores {
		load = max(load, 1-m.loadReport.FreeCores/kind.Cores)
	}
	if m.loadReport.HasMemory {
		load = max(load, 1-m.loadReport.FreeMemory/kind.Memory)
	}
	return load
}

// hasListedCapacity reports whether the list's free capacity, less what it may not show yet, suffices for t. It is true
// where the list has none.
func (p *Placer) hasListedCapacity(t *task, m *machine) bool {
	if !p.cfg.ListsFreeCapacity {
		return true
	}
	kind := p.cfg.Kinds[m.Kind]
	cores := m.FreeCores + (p.cfg.CoreOvercommit-1)*kind.Cores
	memory := m.FreeMemory + (p.cfg.MemoryOvercommit-1)*kind.Memory
	if m.unshownStep != p.stepNumber { // once a step, since thousands may wait; recordPlacement adds to it
		p.sumUnshown(m)
	}
	return cores-m.unshownCores >= t.Cores && memory-m.unshownMemory >= t.Memory
}

// sumUnshown sums what the list may not show yet of m.
func (p *Placer) sumUnshown(m *machine) {
	m.unshownStep, m.unshownCores, m.unshownMemory = p.stepNumber, 0, 0
	for _, b := range slices.Backward(p.recentHistory()) {
		if b.offeredAt < m.listedAt-listDelay {
			break
		}
		if b.machine == m && !b.forgotten {
			m.unshownCores += b.cores
			m.unshownMemory += b.memory
		}
	}
}

// consolidationSet is the machines that suffice for all that is requested of the fleet, the fullest by the list first.
func (p *Placer) consolidationSet(eligible []*machine) map[*machine]bool {
	var cores, memory float64
	for _, m := range p.machinesByID {
		if m.listed && m.State != flaxshelf.Removed && m.Kind >= 0 {
			kind := p.cfg.Kinds[m.Kind]
			cores += kind.Cores - m.FreeCores + m.coresSinceListed
			memory += kind.Memory - m.FreeMemory + m.memorySinceListed
		}
	}
	ranked := slices.Clone(eligible)
	slices.SortStableFunc(ranked, func(a, b *machine) int {
		return cmp.Compare(p.requestedFraction(b), p.requestedFraction(a))
	})
	used := map[*machine]bool{}
	for _, m := range ranked {
		if cores <= 0 && memory <= 0 && len(used) > minCandidates {
			break
		}
		kind := p.cfg.Kinds[m.Kind]
		used[m] = true
		cores -= kind.Cores * consolidationFill
		memory -= kind.Memory * consolidationFill
	}
	return used
}

// preferredMachines is the machines with active attempts of t's service, the one of highest affinity, and the next up to
// minCandidates. A large task may also go to the two best that are not overloaded. It sets machine.affinity.
func (p *Placer) preferredMachines(t *task, eligible []*machine) map[*machine]bool {
	preferred := map[*machine]bool{}
	for _, m := range eligible {
		if m.attemptsOf[t.Service] > 0 {
			preferred[m] = true
		}
	}
	service := hash(t.Service)
	ranked := slices.Clone(eligible)
	for _, m := range ranked {
		m.affinity = math.Log(float64(mix(m.idHash^service)>>11+1)/(1<<53)) / p.kindWeight(m)
	}
	slices.SortFunc(ranked, func(a, b *machine) int { return cmp.Compare(b.affinity, a.affinity) })
	preferred[ranked[0]] = true
	for _, m := range ranked {
		if len(preferred) < minCandidates {
			preferred[m] = true
		}
	}
	if p.sizeOn(t, ranked[0]) > largeTaskSize {
		p.addNotOverloaded(preferred, ranked)
	}
	return preferred
}

// addNotOverloaded adds the first two that are not overloaded.
func (p *Placer) addNotOverloaded(preferred map[*machine]bool, ranked []*machine) {
	added := 0
	for _, m := range ranked {
		if p.now >= m.overloadedUntil && added < 2 {
			preferred[m] = true
			added++
		}
	}
}

// kindWeight is the size of a machine among the kinds: the smaller of its fractions of the largest cores and memory.
func (p *Placer) kindWeight(m *machine) float64 {
	var largest flaxshelf.Kind
	for _, kind := range p.cfg.Kinds {
		largest.Cores, largest.Memory = max(largest.Cores, kind.Cores), max(largest.Memory, kind.Memory)
	}
	kind := p.cfg.Kinds[m.Kind]
	return min(kind.Cores/largest.Cores, kind.Memory/largest.Memory)
}
