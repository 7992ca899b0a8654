package nodemodel

import "slices"

// inSlowStart reports whether the node is in slow start, which begins when it boots.
func (n *Node) inSlowStart() bool {
	return n.cfg.SlowStartDuration > 0 && n.now-n.bootTime < n.cfg.SlowStartDuration
}

// startRate returns the current rate of starts, as a fraction of the rate after slow start.
func (n *Node) startRate() float64 {
	if !n.inSlowStart() {
		return 1
	}
	age := n.now - n.bootTime
	return n.cfg.SlowStartInitialRate + (1-n.cfg.SlowStartInitialRate)*float64(age)/float64(n.cfg.SlowStartDuration)
}

// recordOffer records the arrival of an offer during slow start and reports whether it overloads the node.
func (n *Node) recordOffer() bool {
	if !n.inSlowStart() || n.cfg.OverloadWindow <= 0 {
		return false
	}
	windowStart := n.now - n.cfg.OverloadWindow
	n.recentOffers = slices.DeleteFunc(n.recentOffers, func(at Time) bool { return at < windowStart })
	n.recentOffers = append(n.recentOffers, n.now)
	startTime := n.cfg.CachedStartTime.Seconds() * max(n.cfg.UncachedStartFactor, 1)
	startsPerSecond := float64(n.cfg.StartSlots) / startTime
	limit := n.cfg.OverloadMultiple * startsPerSecond * n.startRate() * n.cfg.OverloadWindow.Seconds()
	return float64(len(n.recentOffers)) > max(limit, n.cfg.SlowStartBudget)
}
