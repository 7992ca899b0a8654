package requests

import (
	"cmp"
	"slices"
	"time"
)

// Timeouts for the detection of unreachable nodes. TestNodeFailureTimeoutsAreOrdered checks their relations.
const (
	// LossNotificationDeadline is the time within which the protocol requires that the owner of a lost task is notified, if no
	// node can report the loss.
	LossNotificationDeadline = 8 * time.Second
	// nodeCheckInterval is the interval between checks for unresponsive nodes.
	nodeCheckInterval = 500 * time.Millisecond
	// nodeUnresponsiveThreshold is how long a node with running tasks may send nothing before a new link to it is opened, to
	// find out whether it is reachable.
	nodeUnresponsiveThreshold = 5 * nodeCheckInterval
	// maxSchedulingDelay is the longest delay that is expected before a process on a shared CPU core executes a check that is
	// due.
	maxSchedulingDelay = 300 * time.Millisecond
	// DefaultNodeUnreachableTimeout is the longest Config.NodeUnreachableTimeout with which owners are notified within
	// LossNotificationDeadline, as the protocol requires. With a shorter one, more tasks would be reported as lost although
	// they survive a network partition of a few seconds.
	DefaultNodeUnreachableTimeout = LossNotificationDeadline - nodeCheckInterval - maxSchedulingDelay
)

// checkUnresponsiveNodes detects machines that have crashed or been partitioned from the network without closing their
// connections: established links stay open but receive nothing, and new ones are never established. After
// Config.NodeUnreachableTimeout, the tasks there count as lost, and so do tasks that were adopted on a node that no endpoint
// list contains. It also renews idle links, and dials nodes that were denied a link.
func (c *Core) checkUnresponsiveNodes() {
	c.timers.Schedule(c.now+nodeCheckInterval, c.checkUnresponsiveNodes)
	var denied []*node
	for _, n := range c.sortedNodes() {
		switch {
		case c.nearIdleTimeout(n.currentLink):
			c.renewIdleLink(n)
		case n.deniedLink: // without a link, the lack of messages proves nothing
			denied = append(denied, n)
		case len(n.attempts) > 0:
			c.checkUnresponsiveNode(n)
		}
	}
	slices.SortStableFunc(denied, func(a, b *node) int { return cmp.Compare(a.lastReceivedAt, b.lastReceivedAt) })
	for _, n := range denied {
		c.ensureLink(n)
	}
}

// checkUnresponsiveNode suspects the link of a node that has sent nothing for too long, and ends the tasks of an unreachable
// node as lost.
func (c *Core) checkUnresponsiveNode(n *node) {
	unresponsiveFor := c.now - n.lastReceivedAt
	if n.currentLink != nil && n.currentLink.up && !n.currentLink.suspected {
		if unresponsiveFor >= nodeUnresponsiveThreshold {
			c.stats.SuspectedLinks++
			c.suspectLink(n.currentLink)
		}
		return
	}
	if unresponsiveFor >= c.config.NodeUnreachableTimeout {
		all := func(*attempt) bool { return true }
		c.stats.LostToUnreachable += c.endLostTasks(n, all)
	}
}

// idleRenewalQuarters is the share of Config.NodeIdleTimeout, in quarters, after which an unused link is renewed.
const idleRenewalQuarters = 3

// nearIdleTimeout reports whether a link has been unused for so long that it must be renewed before its node closes it: an
// offer sent while the node closes the link may have been accepted, and would count as lost.
func (c *Core) nearIdleTimeout(l *link) bool {
	if l == nil || !l.up || l.suspected || c.config.NodeIdleTimeout <= 0 {
		return false
	}
	return c.now-l.lastUsedAt >= c.config.NodeIdleTimeout*idleRenewalQuarters/4
}

// renewIdleLink replaces a link that its node is about to close. If no more links may be prefetched and the node has no
// attempts, the link is closed without a replacement.
func (c *Core) renewIdleLink(n *node) {
	if len(n.attempts) == 0 && c.prefetchLimitReached() {
		c.closeLink(n.currentLink)
		return
	}
	c.suspectLink(n.currentLink)
}
