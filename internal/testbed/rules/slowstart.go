package rules

import "time"

// slowStart is the state of a node's slow start: the interval after its start in which it may get fewer offers.
type slowStart struct {
	startedAt         int64            // nanoseconds since the Unix epoch
	offers            []slowStartOffer // within the window that ends with the latest offer
	violationReported bool             // at most one violation is reported for each slow start
}

// slowStartOffer is an offer to the node. Without the delay of the recorder, it would have been delivered between deliveredAfter
// and deliveredAt.
type slowStartOffer struct {
	deliveredAfter    time.Duration
	deliveredAt       time.Duration
	schedulerNotified bool // the offering scheduler was notified of this start of the node
}

// offerDelivered checks an offer when it is delivered to a node in slow start. The limit is violated only if at least two
// thirds of the offers come from schedulers that were notified of the start, since the others could not know of it.
func (c *checker) offerDelivered(link *connection, id string) {
	node, limits := link.listener, &c.limits.SlowStart
	view := c.view(link.dialer, node)
	start := c.slowStartOf(node, view)
	if start == nil {
		return
	}
	age := c.now - time.Duration(start.startedAt)
	if age < 0 || age >= limits.Duration {
		return
	}
	c.verdict.Rules[SlowStartRespected].Checked++
	offer := slowStartOffer{deliveredAfter: c.now, deliveredAt: c.now, schedulerNotified: view.startedAt() == start.startedAt}
	if a := c.attempts[id]; a != nil {
		offer.deliveredAt -= a.readDelay
		offer.deliveredAfter = offer.deliveredAt - (a.sentAt - a.sentAfter)
	}
	start.addOffer(offer, limits.Window)
	limit, offers := limits.offerLimit(age), len(start.offers)
	mostNotified := 3*start.countNotified() >= 2*offers
	if float64(offers) > limit && mostNotified && !start.violationReported {
		start.violationReported = true
		c.addViolation(SlowStartRespected, "%s, up for %v, gets %d offers within %v, the limit is %.0f", node,
			age.Round(time.Millisecond), offers, limits.Window, limit)
	}
}

// slowStartOf returns the slow start for the latest start of a node that any scheduler was notified of, or nil if there is none.
func (c *checker) slowStartOf(node string, view *nodeView) *slowStart {
	start := c.slowStarts[node]
	if at := view.startedAt(); at > 0 && (start == nil || start.startedAt < at) {
		start = &slowStart{startedAt: at}
		c.slowStarts[node] = start
	}
	return start
}

// addOffer adds an offer and removes those that may have been delivered before the window that ends with it.
func (s *slowStart) addOffer(offer slowStartOffer, window time.Duration) {
	recent := s.offers[:0]
	for _, earlier := range s.offers {
		if earlier.deliveredAfter >= offer.deliveredAt-window {
			recent = append(recent, earlier)
		}
	}
	s.offers = append(recent, offer)
}

// countNotified returns the number of offers from schedulers that were notified of the start.
func (s *slowStart) countNotified() int {
	count := 0
	for _, offer := range s.offers {
		if offer.schedulerNotified {
			count++
		}
	}
	return count
}
