package rules

import "time"

// overlap is an acceptance that was recorded while a node still ran an earlier attempt of the task, as far as recorded.
type overlap struct {
	earlier, later *attempt
	recordedAt     time.Duration // when the later attempt's acceptance was recorded
}

// nodeAccepted checks that nodes have accepted at most one attempt at a time of a task that is not idempotent, regardless of
// what schedulers know.
func (c *checker) nodeAccepted(id string) {
	a := c.attempts[id]
	if a == nil {
		return
	}
	if c.acceptedByKey[a.key] == nil {
		c.acceptedByKey[a.key] = map[string]*attempt{}
	}
	if class := c.class(a.class); class.Idempotency != Idempotent {
		c.verdict.Rules[NoDuplicateStart].Checked++
		for _, other := range c.acceptedByKey[a.key] {
			if other.id != id {
				c.checkOverlap(class, overlap{earlier: other, later: a, recordedAt: c.now})
			}
		}
	}
	c.acceptedByKey[a.key][id] = a
}

// checkOverlap adds a violation for two attempts that run at the same time. The nodes of a key's domain give the key up before
// they report the end of its task, and the recorder reads the connections of two nodes in any order. So if the earlier attempt
// was stopped or its connection was lost, and a node of its key's domain accepts the later one, the end of the earlier one is
// awaited first.
func (c *checker) checkOverlap(class *Class, o overlap) {
	view, earlierView := c.view(o.later.scheduler, o.later.node), c.view(o.later.scheduler, o.earlier.node)
	if (o.earlier.stopped || c.isConnectionLost(o.earlier)) && class.Idempotency == IdempotentByKey &&
		sameDomain(class.KeyDomain, view, earlierView, o.later.node, o.earlier.node) {
		c.overlaps = append(c.overlaps, o)
		return
	}
	c.addOverlapViolation(o)
}

// isConnectionLost reports whether the connection that an attempt was offered on has ended.
func (c *checker) isConnectionLost(a *attempt) bool {
	link := c.connections[a.connection]
	return link == nil || link.closed
}

// nodeEnded processes the end of an attempt when its node reports it. It settles the overlaps that wait for it.
func (c *checker) nodeEnded(id string) {
	a := c.attempts[id]
	if a == nil {
		return
	}
	delete(c.acceptedByKey[a.key], id)
	var waiting []overlap
	for _, o := range c.overlaps {
		switch {
		case o.earlier != a:
			waiting = append(waiting, o)
		case c.earliest-o.recordedAt > c.limits.TimeTolerance:
			c.addOverlapViolation(o)
		}
	}
	c.overlaps = waiting
}

// checkOpenOverlaps adds a violation for each overlap whose earlier attempt has not ended. It is called after the last record.
func (c *checker) checkOpenOverlaps() {
	for _, o := range c.overlaps {
		c.addOverlapViolation(o)
	}
	c.overlaps = nil
}

// addOverlapViolation adds a violation at the time at which the later acceptance was recorded.
func (c *checker) addOverlapViolation(o overlap) {
	c.addViolationAt(o.recordedAt-c.start, NoDuplicateStart, "%s (%s) is accepted by %s as %s and by %s as %s", o.later.key,
		c.class(o.later.class).Idempotency, o.earlier.node, o.earlier.id, o.later.node, o.later.id)
}
