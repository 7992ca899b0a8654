package rules

import "time"

// slowStart is the time after a node has come up, in which it bears fewer offers than later.
type slowStart struct {
	startedAt  int64 // nanoseconds of Unix time
	offers     []slowStartOffer
	overloaded bool // reported once
}

type slowStartOffer struct {
	deliveredAt       time.Duration
	schedulerNotified bool // its scheduler was notified of this start of the node
}

// offerDelivered judges an offer as it reaches a node in its slow start. A scheduler that was not notified of the start
// can't know better, so that most of the offers must come from schedulers that were.
func (c *checker) offerDelivered(link *connection) {
	node, limits := link.listener, &c.figures.SlowStart
	view := c.view(link.dialer, node)
	start := c.slowStartOf(node, view)
	if start == nil {
		return
	}
	age := c.now - time.Duration(start.startedAt)
	if age < 0 || age >= limits.For {
		return
	}
	c.verdict.Rules[ColdKept].Checked++
	start.add(slowStartOffer{deliveredAt: c.now, schedulerNotified: view.startedAt() == start.startedAt}, limits.Window)
	limit, offers := limits.offerLimit(age), len(start.offers)
	mostNotified := 3*start.notified() >= 2*offers
	if float64(offers) > limit && mostNotified && !start.overloaded {
		start.overloaded = true
		c.violated(ColdKept, "%s, up for %v, gets %d offers within %v and bears %.0f", node, age.Round(time.Millisecond),
			offers, limits.Window, limit)
	}
}

// slowStartOf returns the latest start of a node that any scheduler was notified of; nil for none.
func (c *checker) slowStartOf(node string, view *nodeView) *slowStart {
	start := c.slowStarts[node]
	if at := view.startedAt(); at > 0 && (start == nil || start.startedAt < at) {
		start = &slowStart{startedAt: at}
		c.slowStarts[node] = start
	}
	return start
}

// add notes an offer and forgets those before the window that ends with it.
func (s *slowStart) add(offer slowStartOffer, window time.Duration) {
	recent := s.offers[:0]
	for _, earlier := range s.offers {
		if earlier.deliveredAt >= offer.deliveredAt-window {
			recent = append(recent, earlier)
		}
	}
	s.offers = append(recent, offer)
}

// notified counts the offers of schedulers that were notified of the start.
func (s *slowStart) notified() int {
	count := 0
	for _, offer := range s.offers {
		if offer.schedulerNotified {
			count++
		}
	}
	return count
}
