package requests

import "cmp"

// linkPriority is the importance of a link to a node.
type linkPriority int

const (
	priorityPrefetch     linkPriority = iota // no task runs or waits there: a link only saves time later
	priorityRunningTasks                     // tasks run there: their ends are reported on a link
	priorityPendingOffer                     // an offer waits for the link
)

// linkPriority returns the current priority of a link to the node.
func (n *node) linkPriority() linkPriority {
	priority := priorityPrefetch
	for _, a := range n.attempts {
		switch {
		case a.phase == phaseConnecting:
			return priorityPendingOffer
		case a.phase >= phaseRunning:
			priority = priorityRunningTasks
		}
	}
	return priority
}

// prefetchLinkEighths is the number of eighths of Config.MaxLinks that must be in use, by links of any priority, for no more
// links to be prefetched. The last eighth is reserved for links of a higher priority.
const prefetchLinkEighths = 7

// atCapacity reports whether no more links may be prefetched.
func (c *Core) atCapacity() bool {
	return c.config.MaxLinks > 0 && len(c.links) >= c.config.MaxLinks*prefetchLinkEighths/8
}

// reserveLink reports whether a link to n may be dialed, and evicts another one for it if the pool is full. Without the
// limit, a large number of nodes, or of nodes with both an old and a new link, would leave no descriptor for a node with a
// pending offer.
func (c *Core) reserveLink(n *node) bool {
	priority := n.linkPriority()
	if !c.atCapacity() || priority > priorityPrefetch && len(c.links) < c.config.MaxLinks {
		return true
	}
	if priority == priorityPrefetch {
		return false
	}
	candidate := c.evictionCandidate(priority)
	if candidate == nil {
		return false
	}
	candidate.node.deniedLink = candidate.node.currentLink == candidate
	c.closeLink(candidate)
	return true
}

// evictionCandidate returns the link to close for one of the given priority: that of the highest rank, then the least
// recently used, then the oldest. It returns nil if no link may be evicted.
func (c *Core) evictionCandidate(priority linkPriority) *link {
	var best *link
	var bestRank evictionRank
	for _, l := range c.links {
		rank := c.rankForEviction(l, priority)
		if rank == rankNotEvictable {
			continue
		}
		olderUse := best != nil && cmp.Or(cmp.Compare(l.lastUsedAt, best.lastUsedAt), cmp.Compare(l.id, best.id)) < 0
		if rank > bestRank || rank == bestRank && olderUse {
			best, bestRank = l, rank
		}
	}
	return best
}

// evictionRank orders links by how little is lost when they are closed.
type evictionRank int

const (
	rankNotEvictable evictionRank = iota
	rankRunningTasks              // tasks run on its node, which is dialed again later for its reports
	rankNoAttempts                // its node has no attempt
	rankReplaced                  // a newer link has taken its place
)

// evictionIdleDivisor divides Config.NodeUnreachableTimeout into the time that a link to a node with running tasks must be unused
// before another such link may replace it, so that each of several nodes gets a link in time.
const evictionIdleDivisor = 4

// rankForEviction returns the rank of l if a link of the given priority is required.
func (c *Core) rankForEviction(l *link, wanted linkPriority) evictionRank {
	switch {
	case !l.up || l.pendingOffers > 0:
		return rankNotEvictable
	case l.node.currentLink != l:
		return rankReplaced
	case len(l.node.attempts) == 0:
		return rankNoAttempts
	case l.node.linkPriority() == priorityPendingOffer:
		return rankNotEvictable
	case wanted == priorityPendingOffer || c.now-l.lastUsedAt >= c.config.NodeUnreachableTimeout/evictionIdleDivisor:
		return rankRunningTasks
	}
	return rankNotEvictable
}
