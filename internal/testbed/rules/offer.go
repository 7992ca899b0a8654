package rules

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// schedulerFrameSent processes a frame when a scheduler sends it.
func (c *checker) schedulerFrameSent(link *connection, frame *nodepb.Frame) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Hello:
		link.dialer = body.Hello.Party
	case *nodepb.Frame_Offer:
		c.offerSent(link, body.Offer)
	case *nodepb.Frame_Stop:
		if a := c.attempts[body.Stop.Attempt]; a != nil {
			a.stopped = true
		}
	}
}

// offerSent checks an offer when a scheduler sends it.
func (c *checker) offerSent(link *connection, offer *nodepb.Offer) {
	task := offer.Task
	if task == nil || c.attempts[offer.Attempt] != nil {
		c.addViolation(NoDuplicateStart, "offer %s was sent twice", offer.Attempt)
		return
	}
	c.verdict.Offers++
	a := &attempt{id: offer.Attempt, scheduler: link.dialer, node: link.listener, key: task.Key, job: task.Job,
		class: task.Class, service: task.Service, placementRequest: task.Ask, connection: link.id, sentAt: c.now,
		sentAfter: c.earliest, readDelay: c.readDelay, validFor: time.Duration(offer.ValidForNs), phaseSince: c.now}
	if a.key == "" {
		a.key = a.job
	}
	class, view := c.class(a.class), c.view(a.scheduler, a.node)
	c.checkDuplicateStart(class, a, view)
	c.checkDrain(a, view)
	c.attempts[a.id] = a
	c.attemptsByKey[a.key] = append(c.attemptsByKey[a.key], a)
	c.activeSet(a.scheduler)[a] = true
	if class.SpreadDomain != "" && a.service != "" {
		c.checkSpread(class, a, view)
	}
}

// checkDuplicateStart checks an offer against the earlier attempts of the same task.
func (c *checker) checkDuplicateStart(class *Class, offered *attempt, view *nodeView) {
	c.verdict.Rules[NoDuplicateStart].Checked++
	for _, earlier := range c.attemptsByKey[offered.key] {
		c.expire(earlier)
		switch earlier.phase {
		case inFlight:
			// Of two offers whose times of sending are uncertain, the recorder may have read the later one first.
			expiredBefore := earlier.sentAt > offered.sentAfter && earlier.sentAt >= offered.expiresAfter()-c.limits.TimeTolerance
			if !earlier.stopped && !expiredBefore {
				c.addViolation(NoDuplicateStart, "%s is offered as %s while %s is in flight", offered.key, offered.id, earlier.id)
			}
		case accepted:
			c.checkAfterAcceptance(offered, earlier)
		case outcomeUnknown:
			c.checkAfterUnknownOutcome(class, offered, earlier, view)
		}
	}
}

// checkAfterAcceptance checks an offer of a task of which an earlier attempt was accepted.
func (c *checker) checkAfterAcceptance(offered, earlier *attempt) {
	// This happens with an acceptance when the earlier offer expires, or with a welcome after a broken connection. The scheduler
	// stops the earlier attempt afterwards.
	if !earlier.stopped && !c.replyCrossesOffer(earlier) {
		c.addViolation(NoDuplicateStart, "%s is offered as %s while %s runs it as %s", offered.key, offered.id, earlier.node,
			earlier.id)
	}
}

// replyCrossesOffer reports whether the latest reply to an attempt may cross the offer that is being sent. A scheduler may not
// have read yet what was delivered to it within the time tolerance.
func (c *checker) replyCrossesOffer(a *attempt) bool {
	return c.earliest-a.phaseSince < c.limits.TimeTolerance
}

// checkAfterUnknownOutcome checks an offer of a task of which an earlier attempt may have run.
func (c *checker) checkAfterUnknownOutcome(class *Class, offered, earlier *attempt, view *nodeView) {
	if class.Idempotency == Idempotent || c.deduplicated(class, offered, earlier, view) {
		return
	}
	if offered.job == earlier.job && offered.placementRequest == earlier.placementRequest {
		c.addViolation(NoDuplicateStart, "%s (%s) is offered as %s to %s though %s at %s may have run", offered.key,
			class.Idempotency, offered.id, offered.node, earlier.id, earlier.node)
		return
	}
	if c.now < earlier.phaseSince+c.limits.SettleTime-c.limits.TimeTolerance {
		c.addViolation(NoDuplicateStart, "%s (%s) is offered as %s only %v after %s may have run", offered.key, class.Idempotency,
			offered.id, (c.now - earlier.phaseSince).Round(time.Millisecond), earlier.id)
	}
}

// deduplicated reports whether the node of an offer deduplicates it against an earlier attempt, by their idempotency key.
func (c *checker) deduplicated(class *Class, offered, earlier *attempt, view *nodeView) bool {
	return class.Idempotency == IdempotentByKey && c.earliest <= earlier.sentAt+class.KeyTTL+c.limits.TimeTolerance &&
		sameDomain(class.KeyDomain, view, c.view(offered.scheduler, earlier.node), offered.node, earlier.node)
}

// checkDrain checks that the node of an offer has not been draining or removed for longer than the grace period.
func (c *checker) checkDrain(offered *attempt, view *nodeView) {
	c.verdict.Rules[DrainRespected].Checked++
	notifiedFor := c.earliest - view.membershipSince
	if view.membership != nodepb.Standing_IN && notifiedFor-c.limits.DrainGrace > c.limits.TimeTolerance {
		c.addViolation(DrainRespected, "%s offers %s to %s, %v after it was notified that the node is %s", offered.scheduler,
			offered.id, offered.node, notifiedFor.Round(time.Millisecond), membershipNames[view.membership])
	}
}

// checkSpread checks the number of active tasks of an offer's service, with the offer, in the topology domain of its node.
func (c *checker) checkSpread(class *Class, offered *attempt, view *nodeView) {
	c.verdict.Rules[SpreadRespected].Checked++
	tasks := 0
	for other := range c.activeAttempts[offered.scheduler] {
		c.expire(other)
		if c.isKnownActive(other) && other.service == offered.service && other.class == offered.class &&
			sameDomain(class.SpreadDomain, view, c.view(offered.scheduler, other.node), offered.node, other.node) {
			tasks++
		}
	}
	if tasks > class.MaxPerDomain {
		c.addViolation(SpreadRespected, "%s has %d tasks of %s in one %s with %s at %s, the limit is %d", offered.scheduler,
			tasks, offered.service, class.SpreadDomain, offered.id, offered.node, class.MaxPerDomain)
	}
}

// isKnownActive reports whether the scheduler of an attempt knows that it runs, or that it may be accepted. A scheduler that has
// stopped an unanswered attempt knows of an acceptance only when it has read it.
func (c *checker) isKnownActive(a *attempt) bool {
	if a.stopped {
		return a.phase == accepted && !c.replyCrossesOffer(a)
	}
	return a.phase == accepted || a.phase == inFlight
}

// nodeFrameSent processes a frame when a node sends it, before it is delivered to the scheduler.
func (c *checker) nodeFrameSent(link *connection, frame *nodepb.Frame) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Accepted:
		if stoppedAt, stopped := c.stoppedAt[link.listener]; stopped && link.openedAt <= stoppedAt {
			return // the last frames of a stopped incarnation: its tasks have stopped with it
		}
		c.nodeAccepted(body.Accepted.Attempt)
	case *nodepb.Frame_Ended:
		c.nodeEnded(body.Ended.Attempt)
	case *nodepb.Frame_Welcome:
		for _, ended := range body.Welcome.Ended {
			c.nodeEnded(ended.Attempt)
		}
	}
}
