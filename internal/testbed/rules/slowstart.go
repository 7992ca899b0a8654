package rules

import "time"

// slowStart is the interval after the start of a node in which its limit of offers is lower.
type slowStart struct {
	startedAt         int64 // nanoseconds of Unix time
	offers            []slowStartOffer
	violationReported bool // reported as a violation
}

type slowStartOffer struct {
	deliveredAt       time.Duration
	schedulerNotified bool // its scheduler was notified of this start of the node
}

// offerDelivered judges an offer when it reaches a node in slow start. The limit is violated only if at least two thirds of
// the offers are from schedulers that were notified of the start: the others could not know of it.
func (c *checker) offerDelivered(link *connection) {
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
	start.addOffer(slowStartOffer{deliveredAt: c.now, schedulerNotified: view.startedAt() == start.startedAt}, limits.Window)
	limit, offers := limits.offerLimit(age), len(start.offers)
	mostNotified := 3*start.countNotified() >= 2*offers
	if float64(offers) > limit && mostNotified && !start.violationReported {
		start.violationReported = true
		c.addViolation(SlowStartRespected, "%s, up for %v, gets %d offers within %v, the limit is %.0f", node,
			age.Round(time.Millisecond), offers, limits.Window, limit)
	}
}

// slowStartOf returns the slow start of the latest start of a node that any scheduler was notified of, or nil.
func (c *checker) slowStartOf(node string, view *nodeView) *slowStart {
	start := c.slowStarts[node]
	if at := view.startedAt(); at > 0 && (start == nil || start.startedAt < at) {
		start = &slowStart{startedAt: at}
		c.slowStarts[node] = start
	}
	return start
}

// add adds an offer and removes those before the window that ends with it.
func (s *slowStart) addOffer(offer slowStartOffer, window time.Duration) {
	recent := s.offers[:0]
	for _, earlier := range s.offers {
		if earlier.deliveredAt >= offer.deliveredAt-window {
			recent = append(recent, earlier)
		}
	}
	s.offers = append(recent, offer)
}

// notified returns the number of offers of schedulers that were notified of the start.
func (s *slowStart) countNotified() int {
	count := 0
	for _, offer := range s.offers {
		if offer.schedulerNotified {
			count++
		}
	}
	return count
}
