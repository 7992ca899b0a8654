package baseline

import (
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// advance does what is next for a pending task: it offers the task, waits, or answers that it is not placed.
func (c *Chooser) advance(t *task) {
	if t.answered {
		return
	}
	margin := 2*c.cfg.Tick + time.Millisecond // for the steps and messages that an answer takes
	answerBy := t.Deadline - margin
	lastOffer := answerBy - margin
	switch {
	case t.hasLiveAttempt() && c.now < answerBy:
		c.wakeAfter(answerBy - c.now)
	case t.hasLiveAttempt() || c.now >= lastOffer || !c.mayRetry(t):
		c.answer(t)
	default:
		c.offer(t, answerBy, lastOffer)
	}
}

// mayRetry reports whether a further attempt is allowed after those that a task has had.
func (c *Chooser) mayRetry(t *task) bool {
	if c.cfg.MaxAttempts > 0 && len(t.attempts) >= c.cfg.MaxAttempts {
		return false
	}
	return t.class.Idempotency != flaxshelf.NonIdempotent || !t.mayHaveRun()
}

// offer offers a task to a machine, or tries later if no machine may take it.
func (c *Chooser) offer(t *task, answerBy, lastOffer flaxshelf.Time) {
	m := c.choose(t)
	if m == nil {
		if t.mayHaveRun() && t.class.Idempotency == flaxshelf.IdempotentByKey {
			c.answer(t)
		} else {
			c.wakeAfter(placementRetryDelay)
		}
		return
	}
	c.startAttempt(t, m)
	if c.warmingUp(m) {
		m.offers = append(m.offers, c.now)
	}
	timeout := lastOffer - c.now
	if t.class.Idempotency != flaxshelf.NonIdempotent && len(t.attempts) < c.cfg.MaxAttempts {
		timeout = min(timeout, max(t.class.LatencyObjective/2, minAttemptTimeout)) // leave time for another attempt
	}
	c.actions = append(c.actions, flaxshelf.Offer{Task: t.ID, Machine: m.ID, Timeout: timeout})
	c.wakeAfter(answerBy - c.now)
}

func (c *Chooser) startAttempt(t *task, m *machine) {
	t.attempts = append(t.attempts, attempt{machine: m, sentAt: c.now, live: true})
	m.cores += t.Cores
	m.memory += t.Memory
	m.tasksByService[t.Service]++
}

func (t *task) hasLiveAttempt() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.live })
}

// mayHaveRun reports whether an attempt lacks the proof that it never ran.
func (t *task) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return !a.neverRan })
}

// answer answers a task that is not placed. A Reject promises that the client may safely submit the task again. This needs
// proof that it never ran, or a class that permits repeated runs.
func (c *Chooser) answer(t *task) {
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

// choose picks a machine by the strategy; nil if the constraints allow none.
func (c *Chooser) choose(t *task) *machine {
	var candidates []*machine
	for _, m := range c.machineOrder {
		if c.allowed(t, m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := candidates[c.rng.IntN(len(candidates))]
	switch c.strategy {
	case TwoChoices:
		if other := candidates[c.rng.IntN(len(candidates))]; c.load(other) < c.load(chosen) {
			return other
		}
	case LeastLoaded:
		for _, m := range candidates { // of equals, the one that was drawn
			if c.load(m) < c.load(chosen) {
				chosen = m
			}
		}
	}
	return chosen
}

// load returns the share of a machine that is requested, of cores or of memory, whichever is higher.
func (c *Chooser) load(m *machine) float64 {
	kind := c.cfg.Kinds[m.Kind]
	return max(m.cores/kind.Cores, m.memory/kind.Memory)
}
