package flaxshelf

import (
	"math"
	"slices"
	"time"
)

// Open tasks are submitted and not yet settled. An open task is offered to one machine after the other, until a machine
// accepts it or the scheduler gives it a final answer, which is Reject or Fail.

// processOpenTasks offers the open tasks that have no active attempt and gives the final answer to those whose answer is
// due. Tasks within their tenant's quota come first, and among these the ones that can still start within their latency
// objective: when capacity is short, they earn the most. See queueRankOf.
func (p *Placer) processOpenTasks() {
	if !p.disabled[QueueRankOrder] {
		p.sortOpenTasks()
	}
	for _, t := range p.openTasks {
		switch {
		case t.settled:
		case t.activeAttempt() == nil:
			p.placeTask(t)
		case p.now >= p.answerDeadline(t):
			p.sendFinalAnswer(t)
		}
	}
	p.openTasks = slices.DeleteFunc(p.openTasks, func(t *task) bool { return t.settled })
}

// placeTask offers t to a machine, leaves it in the queue or gives it its final answer.
func (p *Placer) placeTask(t *task) {
	if !p.mayOffer(t) {
		p.sendFinalAnswer(t)
		return
	}
	m := p.chooseMachine(t)
	if m == nil {
		if !p.mayStayQueued(t) {
			p.sendFinalAnswer(t)
		}
		return
	}
	p.recordAttempt(t, m)
	p.startTrial(&m.health)
	p.startTrial(m.healthOf(t.Class))
	p.invalidate(m)
	p.recordSlowStartOffer(m)
	p.emit(Offer{Task: t.ID, Machine: m.ID, Timeout: p.attemptTimeout(t)})
}

// mayOffer reports whether t may have a further attempt.
func (p *Placer) mayOffer(t *task) bool {
	if p.now >= p.offerDeadline(t) || p.attemptsExhausted(t) || t.class == &p.unknownClass {
		return false
	}
	return t.class.Idempotency != NonIdempotent || !t.mayHaveRun() || p.disabled[RetrySafetyConstraint]
}

// mayStayQueued reports whether t stays queued while no machine may take it. Even a task without a latency objective may be
// queued for minQueueTimeout, because owners may be slow to submit a rejected task again.
func (p *Placer) mayStayQueued(t *task) bool {
	if t.mayHaveRun() && t.class.Idempotency == IdempotentByKey {
		return false
	}
	return p.now-t.submittedAt <= max(t.class.LatencyObjective, minQueueTimeout)
}

// attemptsExhausted reports whether t has had as many attempts as the settings allow.
func (p *Placer) attemptsExhausted(t *task) bool {
	return p.cfg.MaxAttempts > 0 && len(t.attempts) >= p.cfg.MaxAttempts
}

// attemptTimeout returns the time-out of an attempt that is offered now. The attempt ends before the final answer is due and,
// if t may have another attempt, normally early enough to leave time for that one.
func (p *Placer) attemptTimeout(t *task) time.Duration {
	remaining := p.offerDeadline(t) - p.now
	if t.class.Idempotency == NonIdempotent || p.attemptsExhausted(t) {
		return remaining
	}
	latencyBound := time.Duration((p.latencyMean + latencyDeviations*p.latencyDeviation) * float64(time.Second))
	return min(remaining, max(latencyBound, t.class.LatencyObjective/2, minAttemptTimeout))
}

// recordLatency updates the smoothed mean and deviation of the time from offer to placement.
func (p *Placer) recordLatency(latency time.Duration) {
	seconds := latency.Seconds()
	p.latencyDeviation += (math.Abs(seconds-p.latencyMean) - p.latencyDeviation) / latencySmoothing
	p.latencyMean += (seconds - p.latencyMean) / latencySmoothing
}

// answerDeadline returns the time at which t must get its final answer.
func (p *Placer) answerDeadline(t *task) Time { return t.Deadline - p.answerMargin() }

// offerDeadline returns the time by which an attempt must end, so that time remains for the final answer.
func (p *Placer) offerDeadline(t *task) Time { return t.Deadline - 2*p.answerMargin() }

// answerMargin returns how long before its deadline a task must get its final answer. It is negative, so that answers are
// late, if AnswerDeadlineConstraint is disabled.
func (p *Placer) answerMargin() time.Duration {
	if p.disabled[AnswerDeadlineConstraint] {
		return -time.Second
	}
	return 2*p.cfg.Tick + answerDeadlineMargin
}

// sendFinalAnswer gives t its final answer. Reject guarantees that submitting the task again is safe, so it needs proof that
// no attempt ran, or a class for which a second start does no harm on any machine. Otherwise the answer is Fail.
func (p *Placer) sendFinalAnswer(t *task) {
	t.settled = true
	p.attributeFailures(t)
	for i := range t.attempts {
		if t.attempts[i].active && p.cfg.CanCancel {
			p.emit(Cancel{Task: t.ID, Attempt: i})
		}
	}
	class := t.class
	if !t.mayHaveRun() || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.KeyDomain == FleetDomain {
		p.emit(Reject{Task: t.ID})
	} else {
		p.emit(Fail{Task: t.ID})
	}
	p.deleteIfSettled(t)
}

// mayHaveRun reports whether t has an attempt without proof that it was never started.
func (t *task) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return !a.neverRan })
}
