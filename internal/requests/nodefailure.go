package requests

import (
	"cmp"
	"slices"
	"time"
)

// The timeouts of the detection of unreachable nodes. TestNodeFailureTimeoutsAreOrdered checks how they relate to each other.
const (
	// LossNotificationDeadline is the protocol's limit on the time between the loss of a task that no node can report and
	// the notification of its owner.
	LossNotificationDeadline = 8 * time.Second
	// nodeCheckInterval is how often nodes are checked for silence.
	nodeCheckInterval = 500 * time.Millisecond
	// nodeUnresponsiveThreshold is how long a node with running tasks may send nothing before a newer link has to prove that it
	// is reachable.
	nodeUnresponsiveThreshold = 5 * nodeCheckInterval
	// maxSchedulingDelay is the longest time that a process on a shared CPU core is expected to wait before it can do a check
	// that is due.
	maxSchedulingDelay = 300 * time.Millisecond
	// DefaultNodeUnreachableTimeout is the Config.NodeUnreachableTimeout of a host that follows the protocol: the longest
	// one with which owners are notified by LossNotificationDeadline. The longer it is, the fewer tasks are reported lost
	// that survive a network partition of some seconds.
	DefaultNodeUnreachableTimeout = LossNotificationDeadline - nodeCheckInterval - maxSchedulingDelay
)

// checkUnresponsiveNodes detects machines that crashed or were partitioned from the network without a sign: established links stay
// open and silent, and new ones are never established. After Config.NodeUnreachableTimeout the tasks there count as lost; so
// do tasks that were adopted on a node that no endpoint list names.
func (c *Core) checkUnresponsiveNodes() {
	c.timers.Schedule(c.now+nodeCheckInterval, c.checkUnresponsiveNodes)
	var denied []*node
	for _, n := range c.sortedNodes() {
		switch {
		case c.nearIdleTimeout(n.currentLink):
			c.renewIdleLink(n)
		case n.deniedLink: // without a link its silence proves nothing
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

// checkUnresponsiveNode suspects the link of a silent node, and counts the tasks of an unreachable one as lost.
func (c *Core) checkUnresponsiveNode(n *node) {
	silence := c.now - n.lastReceivedAt
	if n.currentLink != nil && n.currentLink.up && !n.currentLink.suspected {
		if silence >= nodeUnresponsiveThreshold {
			c.stats.SuspectedLinks++
			c.suspectLink(n.currentLink)
		}
		return
	}
	if silence >= c.config.NodeUnreachableTimeout {
		all := func(*attempt) bool { return true }
		c.stats.LostToUnreachable += c.endLostTasks(n, all)
	}
}

// idleRenewalQuarters is after how many quarters of Config.NodeIdleTimeout an unused link is renewed.
const idleRenewalQuarters = 3

// nearIdleTimeout reports whether a link has been unused for so much of the node's idle timeout that it must be renewed. An
// offer that crosses the node's close may have been accepted and counts as lost, so the link is renewed before.
func (c *Core) nearIdleTimeout(l *link) bool {
	if l == nil || !l.up || l.suspected || c.config.NodeIdleTimeout <= 0 {
		return false
	}
	return c.now-l.lastUsedAt >= c.config.NodeIdleTimeout*idleRenewalQuarters/4
}

// renewIdleLink replaces a link that its node is about to close. If the pool is at capacity, it closes a prefetched one
// instead.
func (c *Core) renewIdleLink(n *node) {
	if len(n.attempts) == 0 && c.atCapacity() {
		c.closeLink(n.currentLink)
		return
	}
	c.suspectLink(n.currentLink)
}
