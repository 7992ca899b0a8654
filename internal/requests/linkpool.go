package requests

import "cmp"

// linkPriority is the priority of a link to a node when Config.MaxLinks limits the links.
type linkPriority int

const (
	priorityPrefetch     linkPriority = iota // no task runs or waits there; a link only makes a later offer faster
	priorityRunningTasks                     // tasks run there, and their ends are reported on the link
	priorityPendingOffer                     // an offer is waiting for the link
)

// linkPriority returns the priority of a link to the node at present.
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

// prefetchLinkEighths is the share of Config.MaxLinks, in eighths, at which no more links are prefetched. The share
// includes the links of all priorities. The last eighth is reserved for links of a higher priority.
const prefetchLinkEighths = 7

// prefetchLimitReached reports whether no more links may be prefetched.
func (c *Core) prefetchLimitReached() bool {
	return c.config.MaxLinks > 0 && len(c.links) >= c.config.MaxLinks*prefetchLinkEighths/8
}

// reserveLink makes room for a link to n, by closing another link if necessary, and reports whether the link may be dialed.
// Without Config.MaxLinks, a large number of nodes, or of nodes with both an old and a new link, would use up the file
// descriptors, and none would be left for a node with a pending offer.
func (c *Core) reserveLink(n *node) bool {
	priority := n.linkPriority()
	if !c.prefetchLimitReached() || priority > priorityPrefetch && len(c.links) < c.config.MaxLinks {
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

// evictionCandidate returns the link to close in favor of a new one of the given priority: the link of the highest rank, among
// several such the first in evictionOrder, and among several of these the oldest. It returns nil if no link may be closed.
func (c *Core) evictionCandidate(priority linkPriority) *link {
	var best *link
	var bestRank evictionRank
	for _, l := range c.links {
		rank := c.rankForEviction(l, priority)
		if rank == rankNotEvictable {
			continue
		}
		if rank > bestRank || rank == bestRank && rank.compareForEviction(l, best) < 0 {
			best, bestRank = l, rank
		}
	}
	return best
}

// evictionRank orders links for eviction: links of the highest rank are closed first.
type evictionRank int

const (
	rankNotEvictable evictionRank = iota
	rankRunningTasks              // tasks run on its node, which must be dialed again to receive its reports
	rankNoAttempts                // its node has no attempts
	rankReplaced                  // a newer link has replaced it
)

// evictionOrder returns the time by which links of a rank are ordered for eviction. Links to nodes with running tasks take turns,
// whether they are used or not: nodes that send usage reports would otherwise keep their links, and the others could not report
// the ends of their tasks.
func (r evictionRank) evictionOrder(l *link) Time {
	if r == rankRunningTasks {
		return l.establishedAt
	}
	return l.lastUsedAt
}

// compareForEviction returns a negative number if, of two links of the rank, a is to be evicted first.
func (r evictionRank) compareForEviction(a, b *link) int {
	return cmp.Or(cmp.Compare(r.evictionOrder(a), r.evictionOrder(b)), cmp.Compare(a.id, b.id))
}

// linkTurnDivisor sets how long a link to a node with running tasks stays up before it may be closed in favor of a link to
// another such node: Config.NodeUnreachableTimeout / linkTurnDivisor. If these nodes share too few links, each of several nodes
// thus gets a link in time to report the ends of its tasks.
const linkTurnDivisor = 4

// rankForEviction returns the rank of l among the links that may be closed in favor of a new link of priority wanted.
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
	case wanted == priorityPendingOffer || c.now-l.establishedAt >= c.config.NodeUnreachableTimeout/linkTurnDivisor:
		return rankRunningTasks
	}
	return rankNotEvictable
}
