package flaxshelf

import "math"

// A machine for a task is chosen in three steps: hard constraints, which are never relaxed, soft constraints,
// which give way in a fixed order, and the replay vote among the machines that are left.

// chooseMachine picks a machine for t; nil where none may take it now.
func (p *Placer) chooseMachine(t *task) *machine {
	p.refresh()
	request := equivalenceClass{
		class: t.Class, cores: t.Cores, memory: t.Memory, nearDeadline: p.nearDeadline(t),
	}
	if t.class.SpreadDomain != NoDomain {
		request.service = t.Service
	}
	first := len(t.attempts) == 0
	if first && p.index.infeasible[request] {
		return nil
	}
	m := p.vote(p.applySoftConstraints(t, p.applyHardConstraints(t)))
	if m == nil && first {
		p.index.infeasible[request] = true
	}
	return m
}

// reviewMachine writes the present state of m into the sets that the constraints work on, and schedules the
// next review for when a part of that state ends.
func (p *Placer) reviewMachine(m *machine) {
	x, number := &p.index, m.number
	kind := p.reviewKind(m)
	next := Time(math.MaxInt64)
	lasts := func(end Time) bool {
		if p.now < end {
			next = min(next, end)
		}
		return p.now < end
	}
	setMember(x.slowStarting, number, p.inSlowStart(m) && lasts(p.slowStartEnd(m)))
	setMember(x.failing, number, lasts(m.health.ejectedUntil))
	for class := range x.failingByClass {
		setMember(x.failingByClass[class], number, lasts(m.classHealth[class].ejectedUntil))
	}
	setMember(x.overloaded, number, lasts(m.overloadedUntil))
	setMember(x.occupied, number, len(m.residencies) > 0)
	setMember(x.rejecting, number, lasts(m.rejectsUntil))
	setMember(x.offerLimited, number, m.offerWindow > 0 && m.pendingOffers >= m.offerWindow)
	x.reportedLoad[number] = p.reportedLoad(m)
	setMember(x.reporting, number, m.loadReport.Present && lasts(m.loadReportedAt+reportFreshness+1))
	p.updateColumns(m, kind)
	x.scheduleReview(m, next)
}

// reviewKind writes of which kind m is and whether it is in service; the kind is -1 for an unlisted machine.
func (p *Placer) reviewKind(m *machine) int {
	x, number, kind := &p.index, m.number, -1
	if m.listed && m.Kind >= 0 {
		kind = m.Kind
	}
	if x.kindOf[number] != int32(kind) {
		x.kindOf[number] = int32(kind)
		x.fleetVersion++
	}
	inService := m.State == Active || m.State == Draining && p.disabled[DrainConstraint]
	for k := range x.activeByKind {
		setMember(x.activeByKind[k], number, kind == k && inService)
	}
	return kind
}
