package flaxshelf

import "time"

// Evidence is what outcomes and usage reports show about a machine. All of it expires.

// provesNeverRan reports whether an outcome proves that the task was never started.
func provesNeverRan(o Outcome) bool { return o == Rejected || o == Unreachable || o == NotSent }

// recordFailure ejects a machine, or one class of tasks on it. If the last failure was within outcomeRetention and no
// ejection is in progress, the new one is twice as long as the last, up to maxEjectionDoublings doublings. Each ejection
// lasts at least as long as the trial interval.
func (p *Placer) recordFailure(h *health) {
	if p.now-h.lastFailure > outcomeRetention {
		h.ejectionDoublings = 0
	}
	if p.now >= h.ejectedUntil {
		h.ejectionDoublings = min(h.ejectionDoublings+1, maxEjectionDoublings)
	}
	h.lastFailure = p.now
	h.ejectedUntil = max(h.ejectedUntil, p.now+max(baseEjection<<h.ejectionDoublings, p.trialInterval()))
}

// trialInterval returns the mean time between this scheduler's offers to the same machine, estimated from the history.
func (p *Placer) trialInterval() time.Duration {
	placements := p.history.Len()
	if placements < minCandidates {
		return 0
	}
	meanInterval := (p.now - p.history.OldestOfferedAt()) / time.Duration(placements)
	return min(outcomeRetention, meanInterval*time.Duration(len(p.sortedMachines)))
}

// startTrial makes the offer in progress a trial, if the machine or class that h describes failed recently. The machine or
// class is ejected again for baseEjection, or until the offer is accepted, so that other queued tasks are not offered to it
// before this one shows whether it has recovered.
func (p *Placer) startTrial(h *health) {
	if h.ejectionDoublings > 0 && !p.disabled[TrialPlacement] {
		h.ejectedUntil = max(h.ejectedUntil, p.now+baseEjection)
	}
}

// recordSuccess ends an ejection. The length of the next one is reset only if the last failure is more than
// outcomeRetention ago.
func (p *Placer) recordSuccess(h *health) {
	h.lastSuccess, h.ejectedUntil = p.now, 0
	if p.now-h.lastFailure > outcomeRetention {
		h.ejectionDoublings = 0
	}
}

// succeededRecently reports whether the last success was within outcomeRetention.
func (p *Placer) succeededRecently(h *health) bool {
	return h.lastSuccess > 0 && p.now-h.lastSuccess < outcomeRetention
}

// recordTaskFailure records an error or a time-out of t as a failure of its class on m. It counts against the whole machine
// too, unless another class succeeded there recently.
func (p *Placer) recordTaskFailure(t *task, m *machine) {
	p.recordFailure(m.healthOf(t.Class))
	for class := range m.classHealth {
		if class != t.Class && p.succeededRecently(m.healthOf(class)) {
			return
		}
	}
	p.recordFailure(&m.health)
}

// attributeFailures decides, once t is placed or gets its final answer, whether t or the machines that answered it with an
// error are at fault. If several machines answered with an error and none accepted t, then t is at fault and no failure is
// recorded, because a malformed task must not eject one machine after the other. The drawback is that when most machines
// begin to fail at the same time, each is only ejected once it had no success for outcomeRetention.
func (p *Placer) attributeFailures(t *task) {
	for _, m := range t.unattributedFailures {
		if t.placed || len(t.unattributedFailures) < minCandidates {
			p.recordTaskFailure(t, m)
			p.invalidate(m)
		}
	}
	t.unattributedFailures = nil
}

// recordAcceptance records that m accepted t. It shortens the backoff after the next rejection by m, raises or lifts the limit
// of pending offers to m, and ends the ejection of m and of t's class on m. It also attributes the errors of t's earlier
// attempts.
func (p *Placer) recordAcceptance(t *task, m *machine) {
	p.attributeFailures(t)
	m.rejectionDoublings = max(m.rejectionDoublings-1, 0)
	m.offerLimit++
	if m.offerLimit == 1 || m.offerLimit >= maxOfferLimit {
		m.offerLimit = 0 // there was no limit, or it is high enough to be lifted
	}
	p.recordSuccess(&m.health)
	p.recordSuccess(m.healthOf(t.Class))
}

// classifyOutcome records what the end of an attempt shows about its machine.
func (p *Placer) classifyOutcome(t *task, a *attempt, e AttemptEnded) {
	m := a.machine
	if a.placed {
		m.minRejectedSize += p.relativeSize(t, m) // t has freed that capacity
	}
	switch e.Outcome {
	case Failed:
		p.classifyError(t, m)
	case TimedOut:
		p.recordTaskFailure(t, m)
	case Unreachable:
		p.recordFailure(&m.health)
	case Lost:
		p.classifyLoss(m, e.Reason)
	case Rejected:
		p.recordRejection(t, m, e.Reason)
	}
}

// classifyError records an error as a failure at once. If the class succeeded on m recently and t may have further attempts,
// attributeFailures decides later, since the task may be at fault.
func (p *Placer) classifyError(t *task, m *machine) {
	if p.succeededRecently(m.healthOf(t.Class)) && t.class.Idempotency != NonIdempotent {
		t.unattributedFailures = append(t.unattributedFailures, m)
		return
	}
	p.recordTaskFailure(t, m)
}

// classifyLoss records the loss of an attempt. Eviction and preemption show overload, a drain shows nothing, and any other
// loss is a failure of the machine.
func (p *Placer) classifyLoss(m *machine, reason Reason) {
	switch reason {
	case Evicted, Preempted:
		p.markOverloaded(m, 2*overloadDuration, memoryPressureShortfall)
	case DrainedAway:
	default:
		p.recordFailure(&m.health)
	}
}

// recordRejection makes the scheduler avoid m for tasks of t's size or larger. Each further rejection doubles the time, up to
// maxRejectionDoublings doublings. After a full queue or an unsupported task, the scheduler avoids m for tasks of any size,
// for a fixed time.
func (p *Placer) recordRejection(t *task, m *machine, reason Reason) {
	m.offerLimit = 1
	size := p.relativeSize(t, m)
	if p.now >= m.rejectsUntil || size < m.minRejectedSize {
		m.minRejectedSize = size
	}
	switch reason {
	case QueueFull:
		m.minRejectedSize = 0
		m.rejectsUntil = max(m.rejectsUntil, p.now+queueFullBackoff)
	case UnsupportedTask:
		m.minRejectedSize = 0
		m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff)
	default:
		m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff<<m.rejectionDoublings)
		m.rejectionDoublings = min(m.rejectionDoublings+1, maxRejectionDoublings)
	}
}

// handleUsageReport records what the usage report of an attempt shows about its machine, and may migrate the task.
func (p *Placer) handleUsageReport(e UsageReport) {
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	switch e.Kind {
	case ServiceLevel:
		p.migrateIfUnderserved(t, a, 1-e.Amount)
		if e.Amount < fullServiceLevel {
			p.markOverloaded(a.machine, overloadDuration, 1-e.Amount)
		}
	case MemoryPressure:
		if e.Amount > memoryPressureLimit {
			p.markOverloaded(a.machine, overloadDuration, memoryPressureShortfall)
		}
	}
}

// markOverloaded records that m is overloaded for the given duration. The shortfall counts as load, see externalLoad.
func (p *Placer) markOverloaded(m *machine, duration time.Duration, shortfall float64) {
	m.overloadedUntil, m.serviceShortfall = max(m.overloadedUntil, p.now+duration), shortfall
	p.invalidate(m)
}
