package baseline

import (
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// process offers a pending task, waits for its open attempt, or answers that it is not placed.
func (c *Placer) process(t *task) {
	if t.answered {
		return
	}
	answerMargin := 2*c.cfg.Tick + time.Millisecond // time for the steps and messages until an answer arrives
	answerBy := t.Deadline - answerMargin
	lastOffer := answerBy - answerMargin
	switch {
	case t.hasOpenAttempt() && c.now < answerBy:
		c.setTimerWithin(answerBy - c.now)
	case t.hasOpenAttempt() || c.now >= lastOffer || !c.mayRetry(t):
		c.answerUnplaced(t)
	default:
		c.offer(t, answerBy, lastOffer)
	}
}

// mayRetry reports whether the number and the outcomes of a task's attempts permit another one.
func (c *Placer) mayRetry(t *task) bool {
	if c.cfg.MaxAttempts > 0 && len(t.attempts) >= c.cfg.MaxAttempts {
		return false
	}
	return t.class.Idempotency != flaxshelf.NonIdempotent || !t.mayHaveRun()
}

// offer offers a task to a machine. If none is eligible, it tries again later, or answers a task with idempotency keys that may
// have run.
func (c *Placer) offer(t *task, answerBy, lastOffer flaxshelf.Time) {
	m := c.chooseMachine(t)
	if m == nil {
		if t.mayHaveRun() && t.class.Idempotency == flaxshelf.IdempotentByKey {
			c.answerUnplaced(t)
		} else {
			c.setTimerWithin(placementRetryDelay)
		}
		return
	}
	c.startAttempt(t, m)
	if c.slowStartApplies(m) {
		m.slowStartOffers = append(m.slowStartOffers, c.now)
	}
	timeout := lastOffer - c.now
	if t.class.Idempotency != flaxshelf.NonIdempotent && len(t.attempts) < c.cfg.MaxAttempts {
		timeout = min(timeout, max(t.class.LatencyObjective/2, minAttemptTimeout)) // leaves time for another attempt
	}
	c.actions = append(c.actions, flaxshelf.Offer{Task: t.ID, Machine: m.ID, Timeout: timeout})
	c.setTimerWithin(answerBy - c.now)
}

func (c *Placer) startAttempt(t *task, m *machine) {
	t.attempts = append(t.attempts, attempt{machine: m, sentAt: c.now, open: true})
	m.requestedCores += t.Cores
	m.requestedMemory += t.Memory
	m.tasksByService[t.Service]++
}

func (t *task) hasOpenAttempt() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.open })
}

// mayHaveRun reports whether there is no proof for some attempt that it never ran.
func (t *task) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return !a.neverRan })
}

// answerUnplaced answers that a task is not placed. A Reject promises that the client may safely submit the task again. This
// requires proof that the task never ran, or a class that permits repeated runs. Otherwise the answer is Fail.
func (c *Placer) answerUnplaced(t *task) {
	t.answered = true
	repeatable := t.class.Idempotency == flaxshelf.Idempotent ||
		t.class.Idempotency == flaxshelf.IdempotentByKey && t.class.KeyDomain == flaxshelf.FleetDomain
	if repeatable || !t.mayHaveRun() {
		c.actions = append(c.actions, flaxshelf.Reject{Task: t.ID})
	} else {
		c.actions = append(c.actions, flaxshelf.Fail{Task: t.ID})
	}
	c.forgetIfDone(t)
}

// chooseMachine returns an eligible machine that the strategy chooses, or nil if none is eligible.
func (c *Placer) chooseMachine(t *task) *machine {
	var candidates []*machine
	for _, m := range c.machineOrder {
		if c.eligible(t, m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := candidates[c.rng.IntN(len(candidates))]
	switch c.strategy {
	case TwoChoices:
		if other := candidates[c.rng.IntN(len(candidates))]; c.loadFraction(other) < c.loadFraction(chosen) {
			return other
		}
	case LeastLoaded:
		for _, m := range candidates { // equally loaded machines don't replace the one that was drawn
			if c.loadFraction(m) < c.loadFraction(chosen) {
				chosen = m
			}
		}
	}
	return chosen
}

// loadFraction returns the requested fraction of a machine's cores or memory, whichever is higher.
func (c *Placer) loadFraction(m *machine) float64 {
	kind := c.cfg.Kinds[m.Kind]
	return max(m.requestedCores/kind.Cores, m.requestedMemory/kind.Memory)
}
