package flaxshelf

import (
	"cmp"
	"math"
	"slices"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// The plain scans of choiceOracle.

// spreadCounts names the counts of machines excluded by a bounded spread.
var spreadCounts = map[TopologyDomain]string{
	MachineDomain: "spread in machines",
	CellDomain:    "spread in cells",
	ZoneDomain:    "spread in zones",
}

// Hard constraints.

// scanEligible returns the machines that may take t.
func (o *choiceOracle) scanEligible(t *task) (eligible []*machine) {
	if !o.counted {
		o.countAttempts()
		o.counted = true
	}
	inDomain := map[domainKey]int{}
	if t.class.SpreadDomain != NoDomain {
		for m, count := range o.attempts.byService[t.Service] {
			inDomain[domainOf(t.class.SpreadDomain, m)] += count
		}
	}
	var unsafe, spread, slowStarting int
	for _, m := range o.placer.sortedMachines { // checkNumbers compares it with all machine records
		switch {
		case !o.couldTake(t, m):
		case !o.retryIsSafe(t, m):
			unsafe++
		case len(inDomain) > 0 && inDomain[domainOf(t.class.SpreadDomain, m)] >= t.class.MaxPerDomain:
			spread++
		case !o.placer.hasSlowStartBudget(m):
			slowStarting++
		default:
			eligible = append(eligible, m)
		}
	}
	o.counts["retry safety"] += unsafe
	if spread > 0 {
		o.counts[spreadCounts[t.class.SpreadDomain]] += spread
	}
	o.counts["slow start"] += slowStarting
	return eligible
}

// couldTake reports whether m is in service and would take t when empty.
func (o *choiceOracle) couldTake(t *task, m *machine) bool {
	if !m.listed || m.State != Active || m.Kind < 0 {
		return false
	}
	if t.class.Kind >= 0 && t.class.Kind != m.Kind {
		return false
	}
	cfg, kind := o.placer.cfg, o.placer.cfg.Kinds[m.Kind]
	return kind.Cores*cfg.CoreOvercommit-t.Cores >= 0 && kind.Memory*cfg.MemoryOvercommit-t.Memory >= 0
}

// retryIsSafe reports whether a start of t on m harms no start that there may have been.
func (o *choiceOracle) retryIsSafe(t *task, m *machine) bool {
	safe := true
	for _, a := range t.attempts {
		if a.neverRan || t.class.Idempotency == Idempotent {
			continue
		}
		keyEnds := a.offeredAt + t.class.KeyTTL - o.placer.cfg.Tick
		former, here := domainOf(t.class.KeyDomain, a.machine), domainOf(t.class.KeyDomain, m)
		safe = safe && t.class.Idempotency == IdempotentByKey && keyEnds > o.placer.now && former != (domainKey{}) && former == here
	}
	return safe
}

// domainKey identifies a domain of any reach; its zero value none.
type domainKey struct {
	reach TopologyDomain
	name  string // of a machine or zone
	cell  int
}

// domainOf returns the domain of m; none for a cell or zone that no list has named.
func domainOf(reach TopologyDomain, m *machine) domainKey {
	switch {
	case reach == MachineDomain:
		return domainKey{reach: reach, name: m.ID}
	case reach == FleetDomain:
		return domainKey{reach: reach}
	case !m.listed:
		return domainKey{}
	case reach == CellDomain:
		return domainKey{reach: reach, cell: m.Cell}
	}
	return domainKey{reach: reach, name: m.Zone}
}

// attemptCounts counts active attempts by machine.
type attemptCounts struct {
	all       map[*machine]int
	pending   map[*machine]int // offers without an answer
	byService map[string]map[*machine]int
}

func newAttemptCounts() *attemptCounts {
	return &attemptCounts{
		all:       map[*machine]int{},
		pending:   map[*machine]int{},
		byService: map[string]map[*machine]int{},
	}
}

// clear sets all counts to 0.
func (c *attemptCounts) clear() {
	clear(c.all)
	clear(c.pending)
	for _, counts := range c.byService {
		clear(counts)
	}
}

// countAttempts counts the active attempts of all tasks, and forgets those that have ended.
func (o *choiceOracle) countAttempts() {
	counts := o.attempts
	counts.clear()
	o.startAdopted()
	o.started = slices.DeleteFunc(o.started, func(s startedAttempt) bool {
		a := s.task.attempts[s.number]
		if a.active {
			counts.add(s.task.Service, a.machine, !a.placed)
		}
		return !a.active
	})
}

// startAdopted adds the attempts of tasks that were adopted since the last call.
func (o *choiceOracle) startAdopted() {
	o.adopted = slices.DeleteFunc(o.adopted, func(id string) bool {
		t := o.placer.tasks[id]
		if t != nil {
			o.started = append(o.started, startedAttempt{t, 0})
		}
		return t != nil
	})
}

// add counts one more attempt.
func (c *attemptCounts) add(service string, m *machine, pending bool) {
	c.all[m]++
	if pending {
		c.pending[m]++
	}
	if c.byService[service] == nil {
		c.byService[service] = map[*machine]int{}
	}
	c.byService[service][m]++
}

// Soft constraints.

// scanCandidates returns the machines in the vote for t. The comparison of capacities is that of the step in progress where
// first is set.
func (o *choiceOracle) scanCandidates(t *task, eligible []*machine, first bool) []*machine {
	left, p := slices.Clone(eligible), o.placer
	leave := func(least int, constraint string, excluded func(m *machine) bool) {
		if !slices.ContainsFunc(left, excluded) {
			return
		}
		kept := slices.DeleteFunc(slices.Clone(left), excluded)
		if len(kept) >= least && len(kept) < len(left) {
			left = kept
			o.counts[constraint]++
		}
	}
	leave(1, "tried", func(m *machine) bool {
		return slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.machine == m })
	})
	leave(max(2, len(left)/2), "failing", func(m *machine) bool { return m.health.ejectedUntil > p.now })
	leave(2, "class failure", func(m *machine) bool { return m.healthOf(t.Class).ejectedUntil > p.now })
	full := o.scanFull(t, left, first)
	leastWithCapacity := 0
	if p.nearDeadline(t) {
		leastWithCapacity = 1
	}
	leave(leastWithCapacity, "capacity", func(m *machine) bool { return full[m] })
	if len(left) == 0 {
		return nil
	}
	if p.cfg.Prices.MachinesInUse > 0 && p.cfg.ListsFreeCapacity {
		used := o.scanConsolidation(left)
		leave(2, "consolidation", func(m *machine) bool { return !slices.Contains(used, m) })
	}
	sum := 0.0
	for _, m := range left {
		sum += p.reportedLoad(m)
	}
	limit := sum/float64(len(left)) + reportedLoadMargin
	leave(2, "reported load", func(m *machine) bool { return p.reportedLoad(m) >= limit })
	return o.scanPreferred(t, left)
}

// scanFull returns those of the machines that have no capacity for t, as far as known.
func (o *choiceOracle) scanFull(t *task, machines []*machine, first bool) map[*machine]bool {
	p, full := o.placer, map[*machine]bool{}
	var withOffers []*machine
	for _, m := range machines {
		rejects := m.rejectsUntil > p.now && m.minRejectedSize <= p.relativeSize(t, m)
		limited := m.offerLimit > 0 && o.attempts.pending[m] >= m.offerLimit
		if rejects || limited {
			full[m] = true
		} else {
			withOffers = append(withOffers, m)
		}
	}
	if !p.cfg.ListsFreeCapacity {
		return full
	}
	assumed := o.assumedOn(withOffers, first)
	for _, m := range withOffers {
		kind := p.cfg.Kinds[m.Kind]
		freeCores := m.FreeCores + kind.Cores*(p.cfg.CoreOvercommit-1)
		freeMemory := m.FreeMemory + kind.Memory*(p.cfg.MemoryOvercommit-1)
		if t.Cores <= freeCores-assumed[m].cores && t.Memory <= freeMemory-assumed[m].memory {
			continue
		}
		full[m] = true
		if t.Cores <= freeCores && t.Memory <= freeMemory {
			o.counts["assumed requests"]++
		}
	}
	return full
}

// requested is the sum of what the placements on a machine request, from a position in the history and a time on.
type requested struct {
	from          int
	since         Time
	cores, memory float64
}

// assumedOn sums by machine what this scheduler requested so recently that the list may not show it.
func (o *choiceOracle) assumedOn(machines []*machine, first bool) map[*machine]*requested {
	sums := map[*machine]*requested{}
	for _, m := range machines {
		from, ok := o.assumedFrom[m]
		if !ok {
			from = max(0, len(o.history)-maxHistoryPlacements)
		}
		if first {
			o.assumedFrom[m] = from
		}
		sums[m] = &requested{from: from, since: o.listings[m.ID].listedAt - listDelay}
	}
	for i, b := range o.history {
		o.resolve(b)
		if sum := sums[b.machine]; sum != nil && i >= sum.from && !b.forgotten && b.offeredAt >= sum.since {
			sum.cores += b.task.Cores
			sum.memory += b.task.Memory
		}
	}
	return sums
}

// scanConsolidation returns the machines that suffice for what is requested of the fleet, the fullest first.
func (o *choiceOracle) scanConsolidation(machines []*machine) (used []*machine) {
	p := o.placer
	var cores, memory float64 // not provided for yet
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
		if len(used) >= 3 && cores <= 0 && memory <= 0 {
			break
		}
		used = append(used, m)
		cores -= consolidationFill * p.cfg.Kinds[m.Kind].Cores
		memory -= consolidationFill * p.cfg.Kinds[m.Kind].Memory
	}
	return used
}

// scanPreferred returns the machines with attempts of t's service, with the best by rank and the second where there is no
// other; for a large task also the two best that are not overloaded.
func (o *choiceOracle) scanPreferred(t *task, machines []*machine) (preferred []*machine) {
	add := func(m *machine) {
		if !slices.Contains(preferred, m) {
			preferred = append(preferred, m)
		}
	}
	for _, m := range machines {
		if o.attempts.byService[t.Service][m] > 0 {
			add(m)
			o.counts["machines of the service"]++
		}
	}
	best := o.byRank(t.Service, machines)
	add(best[0])
	if len(best) > 1 && len(preferred) < 2 {
		add(best[1])
	}
	if o.placer.relativeSize(t, best[0]) > largeTaskSize {
		o.counts["large tasks"]++
		notOverloaded := slices.DeleteFunc(best, func(m *machine) bool { return m.overloadedUntil > o.placer.now })
		for _, m := range notOverloaded[:min(2, len(notOverloaded))] {
			add(m)
		}
	}
	return preferred
}

// byRank returns machines by their rank for a service, the highest first.
func (o *choiceOracle) byRank(service string, machines []*machine) []*machine {
	ranked := slices.Clone(machines)
	ranks := map[*machine]float64{}
	for _, m := range ranked {
		ranks[m] = o.rank(service, m)
	}
	slices.SortFunc(ranked, func(a, b *machine) int { return cmp.Compare(ranks[b], ranks[a]) })
	return ranked
}

// rank is the rendezvous rank of m for a service: a number in (0, 1] from a hash, to the power of one over the machine's
// weight. The weight is the smaller of its fractions of the largest cores and the largest memory.
func (o *choiceOracle) rank(service string, m *machine) float64 {
	var most MachineKind
	for _, kind := range o.placer.cfg.Kinds {
		most.Cores, most.Memory = max(most.Cores, kind.Cores), max(most.Memory, kind.Memory)
	}
	kind := o.placer.cfg.Kinds[m.Kind]
	weight := kind.Cores / most.Cores
	if byMemory := kind.Memory / most.Memory; byMemory < weight {
		weight = byMemory
	}
	h := machineindex.Hash(m.ID) ^ machineindex.Hash(service)
	uniform := math.Ldexp(float64(finalize(h)>>11+1), -53)
	return math.Pow(uniform, 1/weight)
}

// finalize is the last step of MurmurHash3 for 64 bits.
func finalize(h uint64) uint64 {
	for _, factor := range []uint64{0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53} {
		h = (h ^ h>>33) * factor
	}
	return h ^ h>>33
}

// The vote.

// indexedLoad returns the external load of m by the index.
func (o *choiceOracle) indexedLoad(m *machine) float64 {
	return o.placer.conditions.externalLoad.At(m.entry.Number())
}

// externalLoadOf returns the load of m without this scheduler's active attempts that the list shows.
func (o *choiceOracle) externalLoadOf(m *machine) float64 {
	p, load := o.placer, 0.0
	if p.cfg.ListsFreeCapacity {
		kind := p.cfg.Kinds[m.Kind]
		freeCores, freeMemory := m.FreeCores-m.coresSinceListed, m.FreeMemory-m.memorySinceListed
		for _, s := range o.started {
			if a := s.task.attempts[s.number]; a.active && a.machine == m {
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

// scanContenders returns the candidates that can win: those with history, and of the others the one of the least load, of
// the highest rank among equals.
func (o *choiceOracle) scanContenders() (contenders []*machine) {
	var idle []*machine
	history := o.replayedOn(o.candidates)
	for _, m := range o.candidates {
		if slices.ContainsFunc(history, func(b *oraclePlacement) bool { return b.machine == m }) {
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

// replayedOn returns the recent history on the machines.
func (o *choiceOracle) replayedOn(machines []*machine) (found []*oraclePlacement) {
	for _, b := range o.history[max(0, len(o.history)-maxHistoryPlacements):] {
		o.resolve(b)
		if !b.forgotten && slices.Contains(machines, b.machine) {
			found = append(found, b)
		}
	}
	return found
}

// survivalOf returns the probability that a placement still runs.
func (o *choiceOracle) survivalOf(b *oraclePlacement) float64 {
	age := o.placer.now - b.offeredAt
	switch expected := b.task.ExpectedRuntime; {
	case expected > age:
		return 1
	case expected > 0:
		return 0
	}
	return math.Exp(-age.Seconds() / o.placer.meanLifetime(b.task.Class).Seconds())
}
