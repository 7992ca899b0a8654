package flaxshelf

import (
	"slices"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Soft constraints are preferences among the eligible machines. They rest on evidence, which may be wrong.

// softFilter applies the soft constraints to the eligible machines, the most important one first. A constraint that would
// leave too few machines is skipped, so that wrong evidence never stops placements.
type softFilter struct {
	placer   *Placer
	eligible *bitset.BitSet
	count    uint // number of eligible machines
}

// exclude removes the excluded machines, unless fewer than minKept would remain or the rule is disabled.
func (f *softFilter) exclude(rule PolicyRule, minKept uint, excluded *bitset.BitSet) {
	kept := f.eligible.DifferenceCardinality(excluded)
	if kept >= minKept && kept < f.count && !f.placer.disabled[rule] {
		f.eligible.InPlaceDifference(excluded)
		f.count = kept
	}
}

// applySoftConstraints returns the candidates for t among the eligible machines. Machines that any constraint
// except AffinityConstraint excludes are also removed from eligible.
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

// excludePreviouslyTried avoids machines that t was offered to before. An attempt on another machine gives more evidence on
// whether the task or the machine is at fault.
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

// excludeEjected avoids machines that are ejected as a whole or for t's class. EjectionConstraint is skipped when more than
// half of the machines are ejected, since the cause is then not in single machines. One class, however, may fail on most
// machines, so ClassEjectionConstraint applies even if it leaves only minCandidates machines.
func (p *Placer) excludeEjected(t *task, f *softFilter) {
	c := &p.conditions
	f.exclude(EjectionConstraint, max(minCandidates, f.count/2), c.ejected)
	ejectedForClass := c.ejected
	if t.Class >= 0 && t.Class < len(c.ejectedByClass) {
		ejectedForClass = c.ejectedByClass[t.Class]
	}
	f.exclude(ClassEjectionConstraint, minCandidates, ejectedForClass)
}

// excludeWithoutCapacity excludes machines that are known to lack capacity. A rejected offer has a price and uses up an
// attempt, so a task is queued while no machine has capacity. Shortly before its deadline, a task that was never offered is
// offered once in any case, because the evidence may be wrong.
func (p *Placer) excludeWithoutCapacity(t *task, f *softFilter) {
	minKept := uint(0)
	if p.nearDeadline(t) {
		minKept = 1
	}
	lacking := p.machinesWithoutCapacity(t, f.eligible)
	if f.eligible.DifferenceCardinality(lacking) >= minKept {
		f.eligible.InPlaceDifference(lacking)
		f.count = f.eligible.Count()
	}
}

// nearDeadline reports whether t was never offered and at most a quarter of the time until its deadline remains.
func (p *Placer) nearDeadline(t *task) bool {
	return p.now >= t.submittedAt+(t.Deadline-t.submittedAt)*3/4 && len(t.attempts) == 0
}

// machinesWithoutCapacity returns the machines that recently rejected a task of t's size or a smaller one, that have as many
// pending offers as their limit allows, or that lack free capacity according to the machine list. A rejection sets the limit
// to one pending offer and each acceptance raises it by one. Without the limit, all queued tasks are offered to the first
// machine that accepts one of them (incident i959772).
//
// The machine list is delayed, so what this scheduler has requested since listDelay before a machine's last listing counts
// as used too. An estimate of what the other schedulers requested in that time was tried, but it queued too many tasks.
func (p *Placer) machinesWithoutCapacity(t *task, eligible *bitset.BitSet) *bitset.BitSet {
	lacking := p.conditions.excludedBuffer.ClearAll()
	machineindex.ForEachCommon(eligible, p.conditions.rejecting, func(number int) {
		m := p.sortedMachines[number]
		if p.relativeSize(t, m) >= m.minRejectedSize && !p.disabled[RejectionConstraint] {
			lacking.Set(uint(number))
		}
	})
	if !p.disabled[OfferLimitConstraint] {
		lacking.InPlaceUnion(p.conditions.offerLimited)
	}
	if p.cfg.ListsFreeCapacity && !p.disabled[CapacityConstraint] {
		if !p.disabled[AssumedCapacity] {
			p.index.UpdateAssumed(eligible.Difference(lacking))
		}
		p.index.AddMachinesLackingCapacity(eligible, lacking, t.Cores, t.Memory)
	}
	return lacking
}

// applyConsolidation excludes the machines outside consolidationSet, if machines in use have a price.
func (p *Placer) applyConsolidation(f *softFilter) {
	if p.cfg.Prices.MachinesInUse <= 0 || !p.cfg.ListsFreeCapacity || p.disabled[ConsolidationConstraint] {
		return
	}
	if used := p.consolidationSet(f.eligible); f.eligible.IntersectionCardinality(used) >= minCandidates {
		f.eligible.InPlaceIntersection(used)
		f.count = f.eligible.Count()
	}
}

// consolidationSet returns enough machines for everything that is requested of the fleet, if each is filled to
// consolidationFill. It takes the machines with the largest requested fraction first. That fraction is from the machine
// list, so that all schedulers choose the same machines, and those left out are the least used, which become empty the
// soonest. If some of the fullest machines are overloaded, the constraint on reported load and the vote still avoid them.
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

// machinesWithHighReportedLoad returns the eligible machines whose last reported load exceeds the mean of all eligible ones
// by at least reportedLoadMargin. Machines without a fresh report count as 0 in the mean.
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

// preferredMachines returns the machines that probably have the program of t's service in their cache: those with active
// attempts of the service and the machine of highest affinity to it. With affinity, the exclusion of a machine moves only
// the services that prefer it. If these are fewer than minCandidates, the machine of second highest affinity is added, since
// a vote needs more than one candidate. If the preferred machines have lost their caches, this constraint only
// reduces the number of candidates.
//
// For a large task, the two machines of highest affinity that are not known to be overloaded are added. Without them, a task
// that was migrated from one of its preferred machines was placed on the other one (incident r0b92bb). Free capacity is
// worth more to a large task than a cached program.
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

// appendCandidate appends the machine of the given number, unless the number is -1 or already among the candidates.
func (p *Placer) appendCandidate(
	candidates []machineindex.Candidate, service *machineindex.Service, number int32,
) []machineindex.Candidate {
	isListed := func(c machineindex.Candidate) bool { return c.Machine == number }
	if number < 0 || slices.ContainsFunc(candidates, isListed) {
		return candidates
	}
	return append(candidates, p.index.Candidate(service, number))
}

// allAsCandidates returns all eligible machines as candidates. It is used when AffinityConstraint is disabled.
func (p *Placer) allAsCandidates(service *machineindex.Service, eligible *bitset.BitSet) []machineindex.Candidate {
	list := p.voteBuffers.candidates[:0]
	machineindex.ForEachCommon(eligible, eligible, func(number int) {
		list = append(list, p.index.Candidate(service, int32(number)))
	})
	p.voteBuffers.candidates = list
	return list
}
