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
func (f *softFilter) exclude(c PolicyRule, least uint, excluded *bitset.BitSet) {
	kept := f.eligible.DifferenceCardinality(excluded)
	if kept >= least && kept < f.count && !f.placer.disabled[c] {
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
	p.excludeTried(t, &f)
	p.excludeFailing(t, &f)
	p.excludeFull(t, &f)
	if f.count == 0 {
		return nil
	}
	p.consolidate(&f)
	f.exclude(ReportedLoadConstraint, minCandidates, p.highReportedLoad(&f))
	return p.preferredMachines(t, eligible)
}

// excludeTried prefers machines that this task was not offered to before: another machine gives more evidence.
func (p *Placer) excludeTried(t *task, f *softFilter) {
	if len(t.attempts) == 0 {
		return
	}
	tried := p.conditions.excluded.ClearAll()
	for _, a := range t.attempts {
		if number := a.machine.entry.Number(); number >= 0 {
			tried.Set(uint(number))
		}
	}
	f.exclude(PreviousAttemptConstraint, 1, tried)
}

// excludeFailing avoids ejected machines, and those that fail t's class. When over half are ejected, no single machine is
// the cause; but a class may fail on most machines, so the few that serve it remain candidates.
func (p *Placer) excludeFailing(t *task, f *softFilter) {
	c := &p.conditions
	f.exclude(EjectionConstraint, max(minCandidates, f.count/2), c.failing)
	failingClass := c.failing
	if t.Class >= 0 && t.Class < len(c.failingByClass) {
		failingClass = c.failingByClass[t.Class]
	}
	f.exclude(ClassEjectionConstraint, minCandidates, failingClass)
}

// excludeFull excludes machines without capacity, as far as known. A rejected offer is priced and uses up an attempt, so a
// task is queued while no machine has capacity. Near its deadline it is still offered once, in case the evidence is wrong.
func (p *Placer) excludeFull(t *task, f *softFilter) {
	least := uint(0)
	if p.nearDeadline(t) {
		least = 1
	}
	full := p.withoutCapacity(t, f.eligible)
	if f.eligible.DifferenceCardinality(full) >= least {
		f.eligible.InPlaceDifference(full)
		f.count = f.eligible.Count()
	}
}

// nearDeadline reports whether t was never offered and little of its time remains.
func (p *Placer) nearDeadline(t *task) bool {
	return p.now >= t.submittedAt+(t.Deadline-t.submittedAt)*3/4 && len(t.attempts) == 0
}

// withoutCapacity returns the machines that recently rejected t's size or a smaller one, have as many pending offers as
// allowed since a rejection, or lack free capacity by the list. After a rejection one offer may be pending, after each
// acceptance one more: otherwise all queued tasks are offered to the first machine that accepts one (incident i959772).
//
// The list is delayed, so what this scheduler requested within listDelay before an entry is assumed to be in use too. An
// estimate of what other schedulers requested since then queued too many tasks.
func (p *Placer) withoutCapacity(t *task, eligible *bitset.BitSet) *bitset.BitSet {
	full := p.conditions.excluded.ClearAll()
	machineindex.ForEachCommon(eligible, p.conditions.rejecting, func(number int) {
		m := p.machinesByID[number]
		if p.sizeOn(t, m) >= m.rejectedSize && !p.disabled[RejectionConstraint] {
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

// consolidate narrows the choice to consolidationSet, where the settings price machines in use.
func (p *Placer) consolidate(f *softFilter) {
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
	used, count := p.conditions.excluded.ClearAll(), 0
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

// highReportedLoad returns the eligible machines whose last reported load is far above the mean of all eligible ones.
func (p *Placer) highReportedLoad(f *softFilter) *bitset.BitSet {
	load, mean, count := p.conditions.reportedLoad, 0.0, float64(f.count)
	reporting := p.conditions.reporting
	machineindex.ForEachCommon(f.eligible, reporting, func(number int) { mean += load.At(number) / count })
	over := p.conditions.excluded.ClearAll()
	machineindex.ForEachCommon(f.eligible, reporting, func(number int) {
		over.SetTo(uint(number), !(load.At(number) < mean+reportedLoadMargin))
	})
	return over
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
	list = p.addCandidate(list, service, first)
	if len(list) < minCandidates {
		list = p.addCandidate(list, service, second)
	}
	if p.sizeOn(t, p.machinesByID[first]) > largeTaskSize {
		first, second = p.index.TopTwoByAffinity(service, eligible.Difference(p.conditions.overloaded))
		list = p.addCandidate(list, service, first)
		list = p.addCandidate(list, service, second)
	}
	p.voteBuffers.candidates = list
	return list
}

// addCandidate appends a machine unless it is in the list or -1.
func (p *Placer) addCandidate(
	list []machineindex.Candidate, service *machineindex.Service, number int32,
) []machineindex.Candidate {
	isListed := func(c machineindex.Candidate) bool { return c.Machine == number }
	if number < 0 || slices.ContainsFunc(list, isListed) {
		return list
	}
	return append(list, p.index.Candidate(service, number))
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
