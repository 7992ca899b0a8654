package flaxshelf

import "time"

// Evidence: what outcomes and usage reports show about a machine. Each piece of evidence expires.

// provesNeverRan reports whether an outcome proves that the task was not started.
func provesNeverRan(o Outcome) bool { return o == Rejected || o == Unreachable || o == NotSent }

// recordFailure ejects a machine, or a class on it, for longer at each further failure within outcomeRetention, and at least
// for the trial interval.
func (p *Placer) recordFailure(h *health) {
	if p.now-h.lastFailure > outcomeRetention {
		h.consecutiveFailures = 0
	}
	if p.now >= h.ejectedUntil {
		h.consecutiveFailures = min(h.consecutiveFailures+1, maxEjectionDoublings)
	}
	h.lastFailure = p.now
	h.ejectedUntil = max(h.ejectedUntil, p.now+max(baseEjection<<h.consecutiveFailures, p.trialInterval()))
}

// trialInterval returns the mean time between this scheduler's offers to one machine, from the history.
func (p *Placer) trialInterval() time.Duration {
	placements := p.history.Len()
	if placements < minCandidates {
		return 0
	}
	meanInterval := (p.now - p.history.OldestOfferedAt()) / time.Duration(placements)
	return min(outcomeRetention, meanInterval*time.Duration(len(p.sortedMachines)))
}

// startTrial ejects what failed recently until the outcome of the present offer is known, so that one task shows whether
// it has recovered and not all queued tasks are offered to it.
func (p *Placer) startTrial(h *health) {
	if h.consecutiveFailures > 0 && !p.disabled[TrialPlacement] {
		h.ejectedUntil = max(h.ejectedUntil, p.now+baseEjection)
	}
}

// recordSuccess ends an ejection.
func (p *Placer) recordSuccess(h *health) {
	h.lastSuccess, h.ejectedUntil = p.now, 0
	if p.now-h.lastFailure > outcomeRetention {
		h.consecutiveFailures = 0
	}
}

// succeededRecently reports whether there was a success within outcomeRetention.
func (p *Placer) succeededRecently(h *health) bool {
	return h.lastSuccess > 0 && p.now-h.lastSuccess < outcomeRetention
}

// recordTaskFailure records an error or a time-out of t on m as a failure of its class there, and also of the machine
// unless another class succeeded there recently.
func (p *Placer) recordTaskFailure(t *task, m *machine) {
	p.recordFailure(m.healthOf(t.Class))
	for class := range m.classHealth {
		if class != t.Class && p.succeededRecently(m.healthOf(class)) {
			return
		}
	}
	p.recordFailure(&m.health)
}

// attributeFailures records failures of the machines that answered t with an error, once it is placed or has its final
// answer. Where several did and none placed it, the task is at fault: malformed tasks would otherwise eject every machine
// in turn. Where most machines begin to fail at the same time, they are ejected only after outcomeRetention without a
// success.
func (p *Placer) attributeFailures(t *task) {
	for _, m := range t.unattributedFailures {
		if t.placed || len(t.unattributedFailures) < minCandidates {
			p.recordTaskFailure(t, m)
			p.invalidate(m)
		}
	}
	t.unattributedFailures = nil
}

// recordAcceptance records as evidence that m accepted t.
func (p *Placer) recordAcceptance(t *task, m *machine) {
	p.attributeFailures(t)
	m.consecutiveRejections = max(m.consecutiveRejections-1, 0)
	m.offerLimit++
	if m.offerLimit == 1 || m.offerLimit >= maxOfferLimit {
		m.offerLimit = 0 // there was no limit, or it ends here
	}
	p.recordSuccess(&m.health)
	p.recordSuccess(m.healthOf(t.Class))
}

// classifyOutcome records the end of an attempt as evidence about its machine.
func (p *Placer) classifyOutcome(t *task, a *attempt, e AttemptEnded) {
	m := a.machine
	if a.placed {
		m.minRejectedSize += p.relativeSize(t, m) // which was freed
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

// classifyError records an error as a failure at once, unless the class succeeded there recently and a further attempt may
// show that the task is at fault: see attributeFailures.
func (p *Placer) classifyError(t *task, m *machine) {
	if p.succeededRecently(m.healthOf(t.Class)) && t.class.Idempotency != NonIdempotent {
		t.unattributedFailures = append(t.unattributedFailures, m)
		return
	}
	p.recordTaskFailure(t, m)
}

// classifyLoss records the loss of an attempt: an eviction is evidence of overload, a drain is none.
func (p *Placer) classifyLoss(m *machine, reason Reason) {
	switch reason {
	case Evicted, Preempted:
		p.markOverloaded(m, 2*overloadDuration, memoryPressureShortfall)
	case DrainedAway:
	default:
		p.recordFailure(&m.health)
	}
}

// recordRejection has m avoided for tasks of the same size or larger, for longer at each rejection in a row.
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
		m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff<<m.consecutiveRejections)
		m.consecutiveRejections = min(m.consecutiveRejections+1, maxRejectionDoublings)
	}
}

// handleUsageReport records a report of a running task as evidence about its machine.
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

// markOverloaded has the service shortfall of m count as load for the duration, see externalLoad.
func (p *Placer) markOverloaded(m *machine, duration time.Duration, shortfall float64) {
	m.overloadedUntil, m.serviceShortfall = max(m.overloadedUntil, p.now+duration), shortfall
	p.invalidate(m)
}
