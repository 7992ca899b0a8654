package reference

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// recordFailure ejects a machine, or a class on it, for longer at each further failure within failureMemory, and at least
// until an offer would come to it again.
func (p *Placer) recordFailure(h *health) {
	if p.now-h.lastFailure > failureMemory {
		h.consecutiveFailures = 0
	}
	if p.now >= h.ejectedUntil {
		h.consecutiveFailures = min(h.consecutiveFailures+1, maxEjectionDoublings)
	}
	h.lastFailure = p.now
	h.ejectedUntil = max(h.ejectedUntil, p.now+max(baseEjection<<h.consecutiveFailures, p.trialInterval()))
}

// trialInterval is the mean time between this scheduler's offers to one machine, from the history.
func (p *Placer) trialInterval() time.Duration {
	if len(p.history) < minCandidates {
		return 0
	}
	gap := (p.now - p.history[0].offeredAt) / time.Duration(len(p.history))
	return min(failureMemory, gap*time.Duration(len(p.machinesByID)))
}

// startTrial keeps further offers from what failed lately until the outcome of the present offer is known.
func (p *Placer) startTrial(h *health) {
	if h.consecutiveFailures > 0 {
		h.ejectedUntil = max(h.ejectedUntil, p.now+baseEjection)
	}
}

// recordSuccess ends an ejection.
func (p *Placer) recordSuccess(h *health) {
	h.lastSuccess, h.ejectedUntil = p.now, 0
	if p.now-h.lastFailure > failureMemory {
		h.consecutiveFailures = 0
	}
}

// succeededLately reports whether there was a success within failureMemory.
func (p *Placer) succeededLately(h *health) bool {
	return h.lastSuccess > 0 && p.now-h.lastSuccess < failureMemory
}

// recordTaskFailure records an error or a time-out of t on m: as a failure of its class there alone where another class
// succeeded lately, else of the machine too.
func (p *Placer) recordTaskFailure(t *task, m *machine) {
	p.recordFailure(m.healthOf(t.Class))
	for class := range m.classHealth {
		if class != t.Class && p.succeededLately(m.healthOf(class)) {
			return
		}
	}
	p.recordFailure(&m.health)
}

// attributeFailures records failures of the machines that answered t with an error, unless the task is at fault.
func (p *Placer) attributeFailures(t *task) {
	for _, m := range t.unattributedFailures {
		if t.placed || len(t.unattributedFailures) < minCandidates {
			p.recordTaskFailure(t, m)
		}
	}
	t.unattributedFailures = nil
}

// classifyOutcome reads the end of an attempt as evidence about its machine.
func (p *Placer) classifyOutcome(t *task, a *attempt, e flaxshelf.AttemptEnded) {
	m := a.machine
	switch e.Outcome {
	case flaxshelf.Failed:
		if p.succeededLately(m.healthOf(t.Class)) && t.class.Idempotency != flaxshelf.NonIdempotent {
			t.unattributedFailures = append(t.unattributedFailures, m)
			return
		}
		p.recordTaskFailure(t, m)
	case flaxshelf.TimedOut:
		p.recordTaskFailure(t, m)
	case flaxshelf.Unreachable:
		p.recordFailure(&m.health)
	case flaxshelf.Lost:
		switch e.Reason {
		case flaxshelf.Evicted, flaxshelf.Preempted:
			p.markOverloaded(m, 2*overloadDuration, memoryShortfall)
		case flaxshelf.DrainedAway:
		default:
			p.recordFailure(&m.health)
		}
	case flaxshelf.Rejected:
		p.recordRejection(t, m, e.Reason)
	}
}

// recordRejection expects further rejections of such a size for a while.
func (p *Placer) recordRejection(t *task, m *machine, reason flaxshelf.Reason) {
	m.offerWindow = 1
	size := p.sizeOn(t, m)
	if p.now >= m.rejectsUntil || size < m.rejectedSize {
		m.rejectedSize = size
	}
	switch reason {
	case flaxshelf.QueueFull:
		m.rejectedSize = 0
		m.rejectsUntil = max(m.rejectsUntil, p.now+queueFullBackoff)
	case flaxshelf.UnsupportedTask:
		m.rejectedSize = 0
		m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff)
	default:
		m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff<<m.consecutiveRejections)
		m.consecutiveRejections = min(m.consecutiveRejections+1, 3)
	}
}

// handleUsageReport reads a report of a running task as evidence about its machine.
func (p *Placer) handleUsageReport(e flaxshelf.UsageReport) {
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	if e.Kind == flaxshelf.ServiceLevel {
		p.migrateIfUnderserved(t, a, 1-e.Amount)
	}
	switch {
	case e.Kind == flaxshelf.ServiceLevel && e.Amount < 0.95:
		p.markOverloaded(a.machine, overloadDuration, 1-e.Amount)
	case e.Kind == flaxshelf.MemoryPressure && e.Amount > memoryPressureLimit:
		p.markOverloaded(a.machine, overloadDuration, memoryShortfall)
	}
}

// migrateIfUnderserved emits Migrate for a task that has been served poorly for a while, where that pays and where better
// machines are known.
func (p *Placer) migrateIfUnderserved(t *task, a *attempt, shortfall float64) {
	if shortfall < poorServiceShortfall {
		a.poorServiceAt = 0
		return
	}
	if p.now-a.poorServiceAt > overloadDuration {
		a.poorServiceSince = p.now
	}
	a.poorServiceAt = p.now
	price, class := p.cfg.Prices.Migration, t.class
	gain := time.Duration((shortfall - price) * float64(p.meanLifetime(t.Class)))
	cost := 2*class.LatencyObjective + time.Duration(price*class.StartValueSeconds*float64(time.Second))
	if p.now-a.poorServiceSince < overloadDuration/2 || gain < cost || a.migrating || class == &p.unknownClass {
		return
	}
	if p.hasBetterMachines(t) {
		a.migrating = true
		p.emit(flaxshelf.Migrate{Task: t.ID})
	}
}

// hasBetterMachines reports whether half of the machines that could take t serve this scheduler's tasks well, and no
// machine fails its class or rejects tasks.
func (p *Placer) hasBetterMachines(t *task) bool {
	possible, good := 0, 0
	for _, m := range p.machinesByID {
		if p.now < m.healthOf(t.Class).ejectedUntil || p.now < m.rejectsUntil {
			return false
		}
		if !p.isEligible(t, m) {
			continue
		}
		possible++
		healthy := p.now >= m.overloadedUntil && p.now >= m.health.ejectedUntil && !p.inSlowStart(m)
		if healthy && len(m.attemptsOf) > 0 {
			good++
		}
	}
	return good >= max(minCandidates, possible/2)
}

// markOverloaded has the service shortfall of m count as load for a while, see externalLoad.
func (p *Placer) markOverloaded(m *machine, duration time.Duration, shortfall float64) {
	m.overloadedUntil, m.serviceShortfall = max(m.overloadedUntil, p.now+duration), shortfall
}

// recordLoadReport keeps a machine's own report of its load.
func (p *Placer) recordLoadReport(m *machine, report flaxshelf.LoadReport) {
	if report.Present {
		m.loadReport, m.loadReportedAt = report, p.now
	}
}
