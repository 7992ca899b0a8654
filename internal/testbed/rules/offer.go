package rules

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// schedulerFrameSent handles a frame of a scheduler when the scheduler sends it.
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

// offerSent judges an offer when its scheduler sends it.
func (c *checker) offerSent(link *connection, offer *nodepb.Offer) {
	task := offer.Task
	if task == nil || c.attempts[offer.Attempt] != nil {
		c.addViolation(NoDuplicateStart, "offer %s was sent twice", offer.Attempt)
		return
	}
	c.verdict.Offers++
	a := &attempt{id: offer.Attempt, scheduler: link.dialer, node: link.listener, key: task.Key, job: task.Job,
		class: task.Class, service: task.Service, placementRequest: task.Ask, connection: link.id, sentAt: c.now,
		validFor: time.Duration(offer.ValidForNs), phaseSince: c.now}
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

// judgeDuplicateStart judges an offer by the earlier attempts of the same task.
func (c *checker) checkDuplicateStart(class *Class, offered *attempt, view *nodeView) {
	c.verdict.Rules[NoDuplicateStart].Checked++
	for _, earlier := range c.attemptsByKey[offered.key] {
		c.expire(earlier)
		switch earlier.phase {
		case inFlight:
			if !earlier.stopped {
				c.addViolation(NoDuplicateStart, "%s is offered as %s while %s is in flight", offered.key, offered.id, earlier.id)
			}
		case accepted:
			c.checkAfterAcceptance(offered, earlier)
		case outcomeUnknown:
			c.checkAfterUnknownOutcome(class, offered, earlier, view)
		}
	}
}

// judgeAfterAcceptance judges an offer of a task that a node has accepted.
func (c *checker) checkAfterAcceptance(offered, earlier *attempt) {
	// A reply that was delivered within the clock skew may cross the offer: the scheduler had not read it yet, as with an
	// acceptance when the offer expires, or a welcome after a broken connection. It stops the earlier attempt afterwards.
	crossed := c.now-earlier.phaseSince < c.limits.TimeTolerance
	if !earlier.stopped && !crossed {
		c.addViolation(NoDuplicateStart, "%s is offered as %s while %s runs it as %s", offered.key, offered.id, earlier.node,
			earlier.id)
	}
}

// judgeAfterUnknownOutcome judges an offer of a task of which an earlier attempt may have run.
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

// deduplicated reports whether the domain of an offer still remembers the idempotency key of an earlier attempt.
func (c *checker) deduplicated(class *Class, offered, earlier *attempt, view *nodeView) bool {
	return class.Idempotency == IdempotentByKey && c.now <= earlier.sentAt+class.KeyTTL+c.limits.TimeTolerance &&
		sameDomain(class.KeyDomain, view, c.view(offered.scheduler, earlier.node), offered.node, earlier.node)
}

// judgeDrain judges an offer by the membership of its node.
func (c *checker) checkDrain(offered *attempt, view *nodeView) {
	c.verdict.Rules[DrainRespected].Checked++
	notifiedFor := c.now - view.membershipSince
	if view.membership != nodepb.Standing_IN && notifiedFor-c.limits.DrainGrace > c.limits.TimeTolerance {
		c.addViolation(DrainRespected, "%s offers %s to %s, %v after it was notified that the node is %s", offered.scheduler,
			offered.id, offered.node, notifiedFor.Round(time.Millisecond), membershipNames[view.membership])
	}
}

// judgeSpread counts the active tasks of an offer's service in the topology domain of its node.
func (c *checker) checkSpread(class *Class, offered *attempt, view *nodeView) {
	c.verdict.Rules[SpreadRespected].Checked++
	tasks := 0
	for other := range c.activeAttempts[offered.scheduler] {
		c.expire(other)
		active := other.phase == accepted || other.phase == inFlight && !other.stopped
		if active && other.service == offered.service && other.class == offered.class &&
			sameDomain(class.SpreadDomain, view, c.view(offered.scheduler, other.node), offered.node, other.node) {
			tasks++
		}
	}
	if tasks > class.MaxPerDomain {
		c.addViolation(SpreadRespected, "%s has %d tasks of %s in one %s with %s at %s, the limit is %d", offered.scheduler, tasks,
			offered.service, class.SpreadDomain, offered.id, offered.node, class.MaxPerDomain)
	}
}

// nodeFrameSent handles a frame of a node when the node sends it, before it is delivered to the scheduler.
func (c *checker) nodeFrameSent(link *connection, frame *nodepb.Frame) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Accepted:
		c.nodeAccepted(link.listener, body.Accepted.Attempt)
	case *nodepb.Frame_Ended:
		if a := c.attempts[body.Ended.Attempt]; a != nil {
			delete(c.acceptedByNode[a.key], a.id)
		}
	}
}

// nodeAccepted judges the acceptances of nodes, independently of what schedulers know: two nodes must not have accepted a
// non-idempotent task at the same time.
func (c *checker) nodeAccepted(node, id string) {
	a := c.attempts[id]
	if a == nil {
		return
	}
	if c.acceptedByNode[a.key] == nil {
		c.acceptedByNode[a.key] = map[string]*attempt{}
	}
	if class := c.class(a.class); class.Idempotency != Idempotent {
		c.verdict.Rules[NoDuplicateStart].Checked++
		for _, other := range c.acceptedByNode[a.key] {
			if other.id != id {
				c.addViolation(NoDuplicateStart, "%s (%s) is accepted by %s as %s and by %s as %s", a.key, class.Idempotency,
					other.node, other.id, node, id)
			}
		}
	}
	c.acceptedByNode[a.key][id] = a
}
