package flaxshelf

import (
	"slices"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Soft constraints: preferences among the eligible machines, which evidence gives reason for.

// softFilter narrows the eligible machines by one soft constraint after another. The first are the strongest: a later one
// is skipped where it would leave too few, so that wrong evidence never stops placements.
type softFilter struct {
	placer   *Placer
	eligible *bitset.BitSet
	count    uint // of the eligible
}

// exclude applies a constraint unless it would leave fewer machines than least.
func (f *softFilter) exclude(rule PolicyRule, minKept uint, excluded *bitset.BitSet) {
	kept := f.eligible.DifferenceCardinality(excluded)
	if kept >= minKept && kept < f.count && !f.placer.disabled[rule] {
		f.eligible.InPlaceDifference(excluded)
		f.count = kept
	}
}

// applySoftConstraints returns the candidates for t among the eligible machines, which it narrows.
func (p *Placer) applySoftConstraints(t *task, eligible *bitset.BitSet) []machineindex.Candidate {
	f := softFilter{placer: p, eligible: eligible, count: eligible.Count()}
	if f.count == 0 {
		return nil
	}
	p.excludePreviouslyTried(t, &f)
	p.excludeEjected(t, &f)
	p.excludeWithoutCapacity(t, &f)
	if f.count == 0 {
		return nil
	}
	p.applyConsolidation(&f)
	f.exclude(ReportedLoadConstraint, minCandidates, p.machinesWithHighReportedLoad(&f))
	return p.preferredMachines(t, eligible)
}

// excludePreviouslyTried prefers machines that this task was not offered to before: another machine gives more evidence.
func (p *Placer) excludePreviouslyTried(t *task, f *softFilter) {
	if len(t.attempts) == 0 {
		return
	}
	tried := p.conditions.excludedBuffer.ClearAll()
	for _, a := range t.attempts {
		if number := a.machine.entry.Number(); number >= 0 {
			tried.Set(uint(number))
		}
	}
	f.exclude(PreviousAttemptConstraint, 1, tried)
}

// excludeEjected avoids ejected machines, and those that fail t's class. When over half are ejected, no single machine is
// the cause; but a class may fail on most machines, so the few that serve it remain candidates.
func (p *Placer) excludeEjected(t *task, f *softFilter) {
	c := &p.conditions
	f.exclude(EjectionConstraint, max(minCandidates, f.count/2), c.ejected)
	failingClass := c.ejected
	if t.Class >= 0 && t.Class < len(c.ejectedByClass) {
		failingClass = c.ejectedByClass[t.Class]
	}
	f.exclude(ClassEjectionConstraint, minCandidates, failingClass)
}

// excludeWithoutCapacity excludes machines that are known to lack capacity. A rejected offer has a price and uses up an
// attempt, so a task is queued while no machine has capacity. Shortly before its deadline, a task that was never offered is
// offered once in any case, because the evidence may be wrong.
func (p *Placer) excludeWithoutCapacity(t *task, f *softFilter) {
	minKept := uint(0)
	if p.nearDeadline(t) {
		minKept = 1
	}
	full := p.machinesWithoutCapacity(t, f.eligible)
	if f.eligible.DifferenceCardinality(full) >= minKept {
		f.eligible.InPlaceDifference(full)
		f.count = f.eligible.Count()
	}
}

// nearDeadline reports whether t was never offered and little of its time remains.
func (p *Placer) nearDeadline(t *task) bool {
	return p.now >= t.submittedAt+(t.Deadline-t.submittedAt)*3/4 && len(t.attempts) == 0
}

// machinesWithoutCapacity returns the machines that recently rejected t's size or a smaller one, have as many pending offers as
// allowed since a rejection, or lack free capacity by the list. After a rejection one offer may be pending, after each
// acceptance one more: otherwise all queued tasks are offered to the first machine that accepts one (incident i959772).
//
// The list is delayed, so what this scheduler requested within listDelay before an entry is assumed to be in use too. An
// estimate of what other schedulers requested since then queued too many tasks.
func (p *Placer) machinesWithoutCapacity(t *task, eligible *bitset.BitSet) *bitset.BitSet {
	full := p.conditions.excludedBuffer.ClearAll()
	machineindex.ForEachCommon(eligible, p.conditions.rejecting, func(number int) {
		m := p.sortedMachines[number]
		if p.relativeSize(t, m) >= m.minRejectedSize && !p.disabled[RejectionConstraint] {
			full.Set(uint(number))
		}
	})
	if !p.disabled[OfferLimitConstraint] {
		full.InPlaceUnion(p.conditions.offerLimited)
	}
	if p.cfg.ListsFreeCapacity && !p.disabled[CapacityConstraint] {
		if !p.disabled[AssumedCapacity] {
			p.index.UpdateAssumed(eligible.Difference(full))
		}
		p.index.AddMachinesLackingCapacity(eligible, full, t.Cores, t.Memory)
	}
	return full
}

// applyConsolidation narrows the choice to consolidationSet, where the settings price machines in use.
func (p *Placer) applyConsolidation(f *softFilter) {
	if p.cfg.Prices.MachinesInUse <= 0 || !p.cfg.ListsFreeCapacity || p.disabled[ConsolidationConstraint] {
		return
	}
	if used := p.consolidationSet(f.eligible); f.eligible.IntersectionCardinality(used) >= minCandidates {
		f.eligible.InPlaceIntersection(used)
		f.count = f.eligible.Count()
	}
}

// consolidationSet returns the machines that suffice for all that is requested of the fleet, filled to consolidationFill,
// in the order of what is requested of them by the list. All schedulers share that order, and the machines left out become
// empty the soonest. Where the fullest machines are overloaded, the later steps still avoid them: the vote and the
// constraint on reported load.
func (p *Placer) consolidationSet(eligible *bitset.BitSet) *bitset.BitSet {
	cores, memory := p.index.TotalRequested()
	used, count := p.conditions.excludedBuffer.ClearAll(), 0
	for _, number := range p.index.RankedByRequestedFraction() {
		if !eligible.Test(uint(number)) {
			continue
		}
		if cores <= 0 && memory <= 0 && count > minCandidates {
			break
		}
		kind := p.cfg.Kinds[p.index.Kind(int(number))]
		used.Set(uint(number))
		count++
		cores -= kind.Cores * consolidationFill
		memory -= kind.Memory * consolidationFill
	}
	return used
}

// machinesWithHighReportedLoad returns the eligible machines whose last reported load is far above the mean of all eligible ones.
func (p *Placer) machinesWithHighReportedLoad(f *softFilter) *bitset.BitSet {
	load, mean, count := p.conditions.reportedLoad, 0.0, float64(f.count)
	reporting := p.conditions.withLoadReport
	machineindex.ForEachCommon(f.eligible, reporting, func(number int) { mean += load.At(number) / count })
	high := p.conditions.excludedBuffer.ClearAll()
	machineindex.ForEachCommon(f.eligible, reporting, func(number int) {
		high.SetTo(uint(number), !(load.At(number) < mean+reportedLoadMargin))
	})
	return high
}

// preferredMachines returns the machines that probably have a service's program in their cache: those with active attempts
// of it, and its machine of highest affinity. When a machine is excluded, only its own services move to others. The machine
// of the next affinity is added where there are fewer than minCandidates, since a vote needs more than one. Where the
// preferred machines lost their caches, this only narrows the vote.
//
// A large task may also be offered to the two machines of highest affinity that are not known to be overloaded: a task that
// was migrated from one of its preferred machines was placed on the other one (incident r0b92bb), and capacity is worth
// more to it than the cached program.
func (p *Placer) preferredMachines(t *task, eligible *bitset.BitSet) []machineindex.Candidate {
	service := p.index.FindOrAddService(t.Service)
	if p.disabled[AffinityConstraint] {
		return p.allAsCandidates(service, eligible)
	}
	list := p.voteBuffers.candidates[:0]
	for _, number := range service.Machines() {
		if eligible.Test(uint(number)) {
			list = append(list, p.index.Candidate(service, number))
		}
	}
	first, second := p.index.TopTwoByAffinity(service, eligible)
	list = p.appendCandidate(list, service, first)
	if len(list) < minCandidates {
		list = p.appendCandidate(list, service, second)
	}
	if p.relativeSize(t, p.sortedMachines[first]) > largeTaskSize {
		first, second = p.index.TopTwoByAffinity(service, eligible.Difference(p.conditions.overloaded))
		list = p.appendCandidate(list, service, first)
		list = p.appendCandidate(list, service, second)
	}
	p.voteBuffers.candidates = list
	return list
}

// appendCandidate appends a machine unless it is in the list or -1.
func (p *Placer) appendCandidate(
	candidates []machineindex.Candidate, service *machineindex.Service, number int32,
) []machineindex.Candidate {
	isListed := func(c machineindex.Candidate) bool { return c.Machine == number }
	if number < 0 || slices.ContainsFunc(candidates, isListed) {
		return candidates
	}
	return append(candidates, p.index.Candidate(service, number))
}

// allAsCandidates returns all eligible machines, for when affinity is disabled.
func (p *Placer) allAsCandidates(service *machineindex.Service, eligible *bitset.BitSet) []machineindex.Candidate {
	list := p.voteBuffers.candidates[:0]
	machineindex.ForEachCommon(eligible, eligible, func(number int) {
		list = append(list, p.index.Candidate(service, int32(number)))
	})
	p.voteBuffers.candidates = list
	return list
}
