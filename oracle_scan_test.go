package flaxshelf

import (
	"cmp"
	"math"
	"slices"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// The linear scans of choiceOracle, each the counterpart of a function of the Placer that uses the index.

// spreadCoverageNames has the names under which machines excluded by a bounded spread are counted, by spread domain.
var spreadCoverageNames = map[TopologyDomain]string{
	MachineDomain: "spread in machines",
	CellDomain:    "spread in cells",
	ZoneDomain:    "spread in zones",
}

// Hard constraints.

// scanEligible returns the machines that satisfy the hard constraints for t, see applyHardConstraints.
func (o *choiceOracle) scanEligible(t *task) (eligible []*machine) {
	if !o.attemptsCounted {
		o.recountAttempts()
		o.attemptsCounted = true
	}
	attemptsByDomain := map[domainKey]int{}
	if t.class.SpreadDomain != NoDomain {
		for m, count := range o.activeAttempts.byService[t.Service] {
			attemptsByDomain[domainOf(t.class.SpreadDomain, m)] += count
		}
	}
	var unsafeRetries, overSpreadLimit, withoutBudget int
	for _, m := range o.placer.sortedMachines { // compareMachineNumbers compares it with all machine records
		switch {
		case !o.isEligibleByKind(t, m):
		case !o.retryIsSafe(t, m):
			unsafeRetries++
		case len(attemptsByDomain) > 0 && attemptsByDomain[domainOf(t.class.SpreadDomain, m)] >= t.class.MaxPerDomain:
			overSpreadLimit++
		case !o.placer.hasSlowStartBudget(m):
			withoutBudget++
		default:
			eligible = append(eligible, m)
		}
	}
	o.coverage["retry safety"] += unsafeRetries
	if overSpreadLimit > 0 {
		o.coverage[spreadCoverageNames[t.class.SpreadDomain]] += overSpreadLimit
	}
	o.coverage["slow start"] += withoutBudget
	return eligible
}

// isEligibleByKind reports whether m is listed, in service, of a kind that t's class allows and large enough for t when empty.
func (o *choiceOracle) isEligibleByKind(t *task, m *machine) bool {
	if !m.listed || m.State != Active || m.Kind < 0 {
		return false
	}
	if t.class.Kind >= 0 && t.class.Kind != m.Kind {
		return false
	}
	cfg, kind := o.placer.cfg, o.placer.cfg.Kinds[m.Kind]
	return kind.Cores*cfg.CoreOvercommit-t.Cores >= 0 && kind.Memory*cfg.MemoryOvercommit-t.Memory >= 0
}

// retryIsSafe reports whether t's idempotency allows to start t on m although earlier attempts may have run.
func (o *choiceOracle) retryIsSafe(t *task, m *machine) bool {
	safe := true
	for _, a := range t.attempts {
		if a.neverRan || t.class.Idempotency == Idempotent {
			continue
		}
		keyExpiry := a.offeredAt + t.class.KeyTTL - o.placer.cfg.Tick
		previousDomain, domain := domainOf(t.class.KeyDomain, a.machine), domainOf(t.class.KeyDomain, m)
		safe = safe && t.class.Idempotency == IdempotentByKey && keyExpiry > o.placer.now &&
			previousDomain != (domainKey{}) && previousDomain == domain
	}
	return safe
}

// domainKey identifies a topology domain of any scope. The zero value means that the domain is not known.
type domainKey struct {
	scope TopologyDomain
	name  string // of a machine or zone
	cell  int    // of a cell
}

// domainOf returns the domain of m of the given scope. The cell or zone of a machine that is not listed is the zero value.
func domainOf(scope TopologyDomain, m *machine) domainKey {
	switch {
	case scope == MachineDomain:
		return domainKey{scope: scope, name: m.ID}
	case scope == FleetDomain:
		return domainKey{scope: scope}
	case !m.listed:
		return domainKey{}
	case scope == CellDomain:
		return domainKey{scope: scope, cell: m.Cell}
	}
	return domainKey{scope: scope, name: m.Zone}
}

// attemptCounts has the numbers of active attempts by machine, and by service and machine.
type attemptCounts struct {
	byMachine map[*machine]int
	pending   map[*machine]int // active attempts whose offer has no answer yet
	byService map[string]map[*machine]int
}

func newAttemptCounts() *attemptCounts {
	return &attemptCounts{
		byMachine: map[*machine]int{},
		pending:   map[*machine]int{},
		byService: map[string]map[*machine]int{},
	}
}

// clear sets all counts to 0.
func (c *attemptCounts) clear() {
	clear(c.byMachine)
	clear(c.pending)
	for _, counts := range c.byService {
		clear(counts)
	}
}

// recountAttempts sets activeAttempts from the attempts' records, and drops ended attempts from startedAttempts.
func (o *choiceOracle) recountAttempts() {
	counts := o.activeAttempts
	counts.clear()
	o.addAdoptedAttempts()
	o.startedAttempts = slices.DeleteFunc(o.startedAttempts, func(s startedAttempt) bool {
		a := s.task.attempts[s.index]
		if a.active {
			counts.add(s.task.Service, a.machine, !a.placed)
		}
		return !a.active
	})
}

// addAdoptedAttempts adds the attempts of adopted tasks to startedAttempts once the Placer has the tasks' records.
func (o *choiceOracle) addAdoptedAttempts() {
	o.pendingAdoptions = slices.DeleteFunc(o.pendingAdoptions, func(id string) bool {
		t := o.placer.tasks[id]
		if t != nil {
			o.startedAttempts = append(o.startedAttempts, startedAttempt{t, 0})
		}
		return t != nil
	})
}

// add counts one more active attempt, which is pending until its offer is answered.
func (c *attemptCounts) add(service string, m *machine, pending bool) {
	c.byMachine[m]++
	if pending {
		c.pending[m]++
	}
	if c.byService[service] == nil {
		c.byService[service] = map[*machine]int{}
	}
	c.byService[service][m]++
}

// Soft constraints.

// scanCandidates returns the eligible machines that remain after the soft constraints for t, see applySoftConstraints.
// recordStart must be set where the Placer evaluated these constraints too: the scan then sets assumedStart.
func (o *choiceOracle) scanCandidates(t *task, eligible []*machine, recordStart bool) []*machine {
	remaining, p := slices.Clone(eligible), o.placer
	exclude := func(minRemaining int, coverageName string, excluded func(m *machine) bool) {
		if !slices.ContainsFunc(remaining, excluded) {
			return
		}
		kept := slices.DeleteFunc(slices.Clone(remaining), excluded)
		if len(kept) >= minRemaining && len(kept) < len(remaining) {
			remaining = kept
			o.coverage[coverageName]++
		}
	}
	exclude(1, "previous attempt", func(m *machine) bool {
		return slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.machine == m })
	})
	exclude(max(2, len(remaining)/2), "ejection", func(m *machine) bool { return m.health.ejectedUntil > p.now })
	exclude(2, "class ejection", func(m *machine) bool { return m.healthOf(t.Class).ejectedUntil > p.now })
	full := o.scanWithoutCapacity(t, remaining, recordStart)
	minWithCapacity := 0
	if p.nearDeadline(t) {
		minWithCapacity = 1
	}
	exclude(minWithCapacity, "capacity", func(m *machine) bool { return full[m] })
	if len(remaining) == 0 {
		return nil
	}
	if p.cfg.Prices.MachinesInUse > 0 && p.cfg.ListsFreeCapacity {
		selected := o.scanConsolidation(remaining)
		exclude(2, "consolidation", func(m *machine) bool { return !slices.Contains(selected, m) })
	}
	sum := 0.0
	for _, m := range remaining {
		sum += p.reportedLoad(m)
	}
	limit := sum/float64(len(remaining)) + reportedLoadMargin
	exclude(2, "reported load", func(m *machine) bool { return p.reportedLoad(m) >= limit })
	return o.scanPreferred(t, remaining)
}

// scanWithoutCapacity returns those of the machines that are not expected to have capacity for t, see machinesWithoutCapacity.
func (o *choiceOracle) scanWithoutCapacity(t *task, machines []*machine, recordStart bool) map[*machine]bool {
	p, full := o.placer, map[*machine]bool{}
	var accepting []*machine
	for _, m := range machines {
		rejects := m.rejectsUntil > p.now && m.minRejectedSize <= p.relativeSize(t, m)
		limited := m.offerLimit > 0 && o.activeAttempts.pending[m] >= m.offerLimit
		if rejects || limited {
			full[m] = true
		} else {
			accepting = append(accepting, m)
		}
	}
	if !p.cfg.ListsFreeCapacity {
		return full
	}
	assumed := o.sumAssumedRequests(accepting, recordStart)
	for _, m := range accepting {
		kind := p.cfg.Kinds[m.Kind]
		freeCores := m.FreeCores + kind.Cores*(p.cfg.CoreOvercommit-1)
		freeMemory := m.FreeMemory + kind.Memory*(p.cfg.MemoryOvercommit-1)
		if t.Cores <= freeCores-assumed[m].cores && t.Memory <= freeMemory-assumed[m].memory {
			continue
		}
		full[m] = true
		if t.Cores <= freeCores && t.Memory <= freeMemory {
			o.coverage["assumed requests"]++
		}
	}
	return full
}

// assumedRequests is the sum of the requests of those placements on a machine that count as assumed.
type assumedRequests struct {
	startIndex    int  // index in the history of the first placement that can count
	since         Time // placements offered before this time do not count
	cores, memory float64
}

// sumAssumedRequests returns, by machine, what this scheduler requested so recently that the machine list may not show it.
func (o *choiceOracle) sumAssumedRequests(machines []*machine, recordStart bool) map[*machine]*assumedRequests {
	sums := map[*machine]*assumedRequests{}
	for _, m := range machines {
		startIndex, ok := o.assumedStart[m]
		if !ok {
			startIndex = max(0, len(o.history)-maxHistoryPlacements)
		}
		if recordStart {
			o.assumedStart[m] = startIndex
		}
		sums[m] = &assumedRequests{startIndex: startIndex, since: o.listings[m.ID].listedAt - listDelay}
	}
	for i, placed := range o.history {
		o.resolveMachine(placed)
		if sum := sums[placed.machine]; sum != nil && i >= sum.startIndex && !placed.forgotten && placed.offeredAt >= sum.since {
			sum.cores += placed.task.Cores
			sum.memory += placed.task.Memory
		}
	}
	return sums
}

// scanConsolidation returns the fullest machines, as many as suffice for all that is requested of the fleet, see
// consolidationSet.
func (o *choiceOracle) scanConsolidation(machines []*machine) (selected []*machine) {
	p := o.placer
	var cores, memory float64 // requested of the fleet and not covered by the selected machines
	for _, m := range p.sortedMachines {
		if m.listed && m.State != Removed && m.Kind >= 0 {
			cores += p.cfg.Kinds[m.Kind].Cores - m.FreeCores + m.coresSinceListed
			memory += p.cfg.Kinds[m.Kind].Memory - m.FreeMemory + m.memorySinceListed
		}
	}
	freeFraction := func(m *machine) float64 {
		kind := p.cfg.Kinds[m.Kind]
		return min(m.FreeCores/kind.Cores, m.FreeMemory/kind.Memory)
	}
	byFreeFraction := slices.Clone(machines)
	slices.SortFunc(byFreeFraction, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(freeFraction(a), freeFraction(b)), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range byFreeFraction {
		if len(selected) >= 3 && cores <= 0 && memory <= 0 {
			break
		}
		selected = append(selected, m)
		cores -= consolidationFill * p.cfg.Kinds[m.Kind].Cores
		memory -= consolidationFill * p.cfg.Kinds[m.Kind].Memory
	}
	return selected
}

// scanPreferred returns the machines with attempts of t's service and the machine of the highest rank. If this is only one
// machine in all, it adds the machine of the second rank. For a large task it adds the two machines of the highest ranks among
// those that are not overloaded. See preferredMachines.
func (o *choiceOracle) scanPreferred(t *task, machines []*machine) (preferred []*machine) {
	add := func(m *machine) {
		if !slices.Contains(preferred, m) {
			preferred = append(preferred, m)
		}
	}
	for _, m := range machines {
		if o.activeAttempts.byService[t.Service][m] > 0 {
			add(m)
			o.coverage["machines with attempts of the service"]++
		}
	}
	ranked := o.sortedByRank(t.Service, machines)
	add(ranked[0])
	if len(ranked) > 1 && len(preferred) < 2 {
		add(ranked[1])
	}
	if o.placer.relativeSize(t, ranked[0]) > largeTaskSize {
		o.coverage["large tasks"]++
		notOverloaded := slices.DeleteFunc(ranked, func(m *machine) bool { return m.overloadedUntil > o.placer.now })
		for _, m := range notOverloaded[:min(2, len(notOverloaded))] {
			add(m)
		}
	}
	return preferred
}

// sortedByRank returns the machines in the order of their ranks for a service, the highest first.
func (o *choiceOracle) sortedByRank(service string, machines []*machine) []*machine {
	ranked := slices.Clone(machines)
	ranks := map[*machine]float64{}
	for _, m := range ranked {
		ranks[m] = o.rank(service, m)
	}
	slices.SortFunc(ranked, func(a, b *machine) int { return cmp.Compare(ranks[b], ranks[a]) })
	return ranked
}

// rank returns the weighted rendezvous rank of m for a service: u^(1/weight), where u is in (0, 1] and derived from a hash of
// both. The weight is the smaller of the machine's fractions of the cores and the memory of the largest kinds.
func (o *choiceOracle) rank(service string, m *machine) float64 {
	var largest MachineKind
	for _, kind := range o.placer.cfg.Kinds {
		largest.Cores, largest.Memory = max(largest.Cores, kind.Cores), max(largest.Memory, kind.Memory)
	}
	kind := o.placer.cfg.Kinds[m.Kind]
	weight := kind.Cores / largest.Cores
	if memoryFraction := kind.Memory / largest.Memory; memoryFraction < weight {
		weight = memoryFraction
	}
	hash := machineindex.Hash(m.ID) ^ machineindex.Hash(service)
	uniform := math.Ldexp(float64(fmix64(hash)>>11+1), -53)
	return math.Pow(uniform, 1/weight)
}

// fmix64 is the 64-bit finalizer of MurmurHash3.
func fmix64(h uint64) uint64 {
	for _, factor := range []uint64{0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53} {
		h = (h ^ h>>33) * factor
	}
	return h ^ h>>33
}

// The vote.

// indexedLoad returns the external load of m in the index.
func (o *choiceOracle) indexedLoad(m *machine) float64 {
	return o.placer.conditions.externalLoad.At(m.entry.Number())
}

// externalLoadOf returns the load of m that the machine list shows from other schedulers, plus the load that stands for its
// service shortfall, see externalLoad.
func (o *choiceOracle) externalLoadOf(m *machine) float64 {
	p, load := o.placer, 0.0
	if p.cfg.ListsFreeCapacity {
		kind := p.cfg.Kinds[m.Kind]
		freeCores, freeMemory := m.FreeCores-m.coresSinceListed, m.FreeMemory-m.memorySinceListed
		for _, s := range o.startedAttempts {
			if a := s.task.attempts[s.index]; a.active && a.machine == m {
				freeCores += s.task.Cores
				freeMemory += s.task.Memory
			}
		}
		load = max(load, 1-freeCores/kind.Cores, 1-freeMemory/kind.Memory)
	}
	if m.overloadedUntil > p.now {
		load += m.serviceShortfall * shortfallWeight
	}
	return load
}

// scanContenders returns the candidates that can win the vote: those with placements in the recent history and, of the
// others, the one with the least load. Of several with the least load, it is the one of the highest rank.
func (o *choiceOracle) scanContenders() (contenders []*machine) {
	var idle []*machine
	history := o.recentPlacementsOn(o.candidates)
	for _, m := range o.candidates {
		if slices.ContainsFunc(history, func(placed *oraclePlacement) bool { return placed.machine == m }) {
			contenders = append(contenders, m)
		} else {
			idle = append(idle, m)
		}
	}
	if len(idle) > 0 {
		service := o.service
		contenders = append(contenders, slices.MinFunc(idle, func(a, b *machine) int {
			return cmp.Or(cmp.Compare(o.indexedLoad(a), o.indexedLoad(b)), cmp.Compare(o.rank(service, b), o.rank(service, a)))
		}))
	}
	return contenders
}

// recentPlacementsOn returns the placements on the machines among the last maxHistoryPlacements, in order of time.
func (o *choiceOracle) recentPlacementsOn(machines []*machine) (found []*oraclePlacement) {
	for _, placed := range o.history[max(0, len(o.history)-maxHistoryPlacements):] {
		o.resolveMachine(placed)
		if !placed.forgotten && slices.Contains(machines, placed.machine) {
			found = append(found, placed)
		}
	}
	return found
}

// survivalOf returns the probability that a placement still runs, see Placer.survivalProbability.
func (o *choiceOracle) survivalOf(placed *oraclePlacement) float64 {
	age := o.placer.now - placed.offeredAt
	switch expected := placed.task.ExpectedRuntime; {
	case expected > age:
		return 1
	case expected > 0:
		return 0
	}
	return math.Exp(-age.Seconds() / o.placer.meanLifetime(placed.task.Class).Seconds())
}
