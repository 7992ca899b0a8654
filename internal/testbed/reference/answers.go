package reference

import (
	"cmp"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// serveOpenTasks answers the open tasks that are due and offers those that have no active attempt. Those that can still
// start within their latency objective go first.
func (p *Placer) serveOpenTasks() {
	byRank := func(a, b *task) int { return cmp.Compare(p.queueRankOf(a), p.queueRankOf(b)) }
	slices.SortStableFunc(p.openTasks, byRank)
	for _, t := range p.openTasks {
		switch {
		case t.settled:
		case t.activeAttempt() == nil:
			p.placeTask(t)
		case p.now >= p.answerDeadline(t):
			p.answerTask(t)
		}
	}
	p.openTasks = slices.DeleteFunc(p.openTasks, func(t *task) bool { return t.settled })
}

// queueRankOf is the rank of an open task, the lowest first.
func (p *Placer) queueRankOf(t *task) int {
	rank := 0
	if p.now > t.submittedAt+t.class.LatencyObjective {
		rank = 1
	}
	if p.overQuota(t) {
		rank += 2
	}
	return rank
}

// overQuota reports whether t's tenant has more than its quota, where that is worth less.
func (p *Placer) overQuota(t *task) bool {
	if t.Tenant < 0 || t.Tenant >= len(p.cfg.Tenants) || p.cfg.OverQuotaWeight >= 1 {
		return false
	}
	quota := p.cfg.Tenants[t.Tenant].QuotaCores
	return quota > 0 && p.tenantCores[t.Tenant]*float64(p.cfg.Schedulers) > quota
}

// placeTask offers t to a machine, leaves it in the queue, or gives it its final answer.
func (p *Placer) placeTask(t *task) {
	if !p.mayOffer(t) {
		p.answerTask(t)
		return
	}
	m := p.chooseMachine(t)
	if m == nil {
		if !p.mayQueue(t) {
			p.answerTask(t)
		}
		return
	}
	p.recordPlacement(t, m)
	p.startTrial(&m.health)
	p.startTrial(m.healthOf(t.Class))
	p.recordSlowStartOffer(m)
	p.emit(flaxshelf.Offer{Task: t.ID, Machine: m.ID, Timeout: p.attemptTimeout(t)})
}

// mayOffer reports whether t may have a further attempt.
func (p *Placer) mayOffer(t *task) bool {
	if p.now >= p.offerDeadline(t) || p.attemptsUsedUp(t) || t.class == &p.unknownClass {
		return false
	}
	return t.class.Idempotency != flaxshelf.NonIdempotent || !t.mayHaveRun()
}

// mayQueue reports whether t stays queued while no machine may take it.
func (p *Placer) mayQueue(t *task) bool {
	if t.mayHaveRun() && t.class.Idempotency == flaxshelf.IdempotentByKey {
		return false
	}
	return p.now-t.submittedAt <= max(t.class.LatencyObjective, 5*time.Second)
}

func (p *Placer) attemptsUsedUp(t *task) bool {
	return p.cfg.MaxAttempts > 0 && len(t.attempts) >= p.cfg.MaxAttempts
}

// attemptTimeout leaves time for a further attempt where one is allowed, and ends before the answer is due.
func (p *Placer) attemptTimeout(t *task) time.Duration {
	remaining := p.offerDeadline(t) - p.now
	if t.class.Idempotency == flaxshelf.NonIdempotent || p.attemptsUsedUp(t) {
		return remaining
	}
	usual := time.Duration((p.latencyMean + 4*p.latencyDeviation) * float64(time.Second))
	return min(remaining, max(usual, t.class.LatencyObjective/2, 50*time.Millisecond))
}

// answerDeadline is the last moment to give the final answer.
func (p *Placer) answerDeadline(t *task) flaxshelf.Time { return t.Deadline - p.answerMargin() }

// offerDeadline is the last moment for an attempt to end, early enough for an answer after it.
func (p *Placer) offerDeadline(t *task) flaxshelf.Time { return t.Deadline - 2*p.answerMargin() }

func (p *Placer) answerMargin() time.Duration { return 2*p.cfg.Tick + time.Millisecond }

// answerTask gives t its final answer: a rejection needs proof that a retry is safe.
func (p *Placer) answerTask(t *task) {
	t.settled = true
	p.attributeFailures(t)
	for i := range t.attempts {
		if t.attempts[i].active && p.cfg.CanCancel {
			p.emit(flaxshelf.Cancel{Task: t.ID, Attempt: i})
		}
	}
	class := t.class
	if !t.mayHaveRun() || class.Idempotency == flaxshelf.Idempotent ||
		class.Idempotency == flaxshelf.IdempotentByKey && class.KeyDomain == flaxshelf.FleetDomain {
		p.emit(flaxshelf.Reject{Task: t.ID})
	} else {
		p.emit(flaxshelf.Fail{Task: t.ID})
	}
	p.forgetIfSettled(t)
}
