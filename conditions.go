package flaxshelf

import (
	"math"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// conditions holds the current state of all machines. In each set, bit n says whether the machine with number n in the index
// is in the named condition, and each column holds a value for each machine. updateIndex writes them from the records of the
// machines; the constraints and the vote read them.
type conditions struct {
	slowStarting    *bitset.BitSet
	ejected         *bitset.BitSet   // ejected for tasks of all classes
	ejectedByClass  []*bitset.BitSet // by task class: ejected for tasks of that class
	overloaded      *bitset.BitSet
	withAttempts    *bitset.BitSet   // with active attempts of this scheduler
	rejecting       *bitset.BitSet   // expected to reject tasks of some size
	offerLimited    *bitset.BitSet   // with as many pending offers as machine.offerLimit allows
	withLoadReport  *bitset.BitSet   // with a fresh load report
	inServiceByKind []*bitset.BitSet // by machine kind: machines of that kind that are in service

	reportedLoad *machineindex.Column
	externalLoad *machineindex.Column

	// Scratch sets, which each choice overwrites: the eligible machines, and the ones that one constraint excludes.
	eligibleBuffer *bitset.BitSet
	excludedBuffer *bitset.BitSet
}

func newConditions(index *machineindex.Index, kinds, classes int) conditions {
	return conditions{
		slowStarting:    index.NewSet(),
		ejected:         index.NewSet(),
		ejectedByClass:  newSets(index, classes),
		overloaded:      index.NewSet(),
		withAttempts:    index.NewSet(),
		rejecting:       index.NewSet(),
		offerLimited:    index.NewSet(),
		withLoadReport:  index.NewSet(),
		inServiceByKind: newSets(index, kinds),
		reportedLoad:    index.NewColumn(),
		externalLoad:    index.NewColumn(),
		eligibleBuffer:  index.NewSet(),
		excludedBuffer:  index.NewSet(),
	}
}

func newSets(index *machineindex.Index, count int) []*bitset.BitSet {
	sets := make([]*bitset.BitSet, count)
	for i := range sets {
		sets[i] = index.NewSet()
	}
	return sets
}

// expiryTracker finds the earliest time at which a condition of a machine ends.
type expiryTracker struct {
	now  Time
	next Time
}

// isActive reports whether a condition that ends at the given time still holds, and tracks its end.
func (e *expiryTracker) isActive(end Time) bool {
	if e.now >= end {
		return false
	}
	e.next = min(e.next, end)
	return true
}

// refreshIndex brings the index up to date. If any machine has changed, it clears p.infeasible, since that machine may now
// take requests that were infeasible before.
func (p *Placer) refreshIndex() {
	if p.index.Refresh(func(number int) { p.updateIndex(p.sortedMachines[number]) }) {
		clear(p.infeasible)
	}
}

// invalidate marks m as changed, so that the next choice first updates the index from the record of m.
func (p *Placer) invalidate(m *machine) { p.index.Invalidate(m.entry) }

// updateIndex writes the current state of m into the index. It sets the expiry of m to the earliest time at which a part of
// that state ends, so that m is updated again then.
func (p *Placer) updateIndex(m *machine) {
	c, number := &p.conditions, uint(m.entry.Number())
	kind := p.updateKind(m)
	tracker := expiryTracker{now: p.now, next: math.MaxInt64}
	c.slowStarting.SetTo(number, p.inSlowStart(m) && tracker.isActive(p.slowStartEnd(m)))
	c.ejected.SetTo(number, tracker.isActive(m.health.ejectedUntil))
	for class := range c.ejectedByClass {
		c.ejectedByClass[class].SetTo(number, tracker.isActive(m.classHealth[class].ejectedUntil))
	}
	c.overloaded.SetTo(number, tracker.isActive(m.overloadedUntil))
	c.withAttempts.SetTo(number, m.entry.HasAttempts())
	c.rejecting.SetTo(number, tracker.isActive(m.rejectsUntil))
	c.offerLimited.SetTo(number, m.offerLimit > 0 && m.pendingOffers >= m.offerLimit)
	c.withLoadReport.SetTo(number, m.loadReport.Present && tracker.isActive(m.loadReportedAt+reportFreshness+1))
	c.reportedLoad.Set(int(number), p.reportedLoad(m))
	p.updateCapacity(m, kind)
	p.index.SetExpiry(m.entry, tracker.next)
}

// updateKind writes the kind of m into the index, and whether m is in service. It returns the kind, or -1 if it is unknown.
func (p *Placer) updateKind(m *machine) int {
	number, kind := m.entry.Number(), -1
	if m.listed && m.Kind >= 0 {
		kind = m.Kind
	}
	p.index.SetKind(number, kind)
	inService := m.State == Active || m.State == Draining && p.disabled[DrainConstraint]
	for k, active := range p.conditions.inServiceByKind {
		active.SetTo(uint(number), kind == k && inService)
	}
	return kind
}
