package requests

import "cmp"

// linkPriority is how badly a node wants a link.
type linkPriority int

const (
	prefetchLink     linkPriority = iota // nothing of ours is there: a link only saves time
	runningTasksLink                     // tasks of ours stand there: the node tells of their ends on a link
	pendingOfferLink                     // a set-up waits for it
)

func (n *node) linkPriority() linkPriority {
	most := prefetchLink
	for _, a := range n.attempts {
		switch {
		case a.phase == connecting:
			return pendingOfferLink
		case a.phase >= running:
			most = runningTasksLink
		}
	}
	return most
}

// atCapacity tells whether links that only save time are one too many: an eighth is kept for what comes.
func (c *Core) atCapacity() bool {
	return c.config.MaxLinks > 0 && len(c.links) >= c.config.MaxLinks*7/8
}

// reserveLink tells whether a link to n may be made, and ends another for it where there are too many. Risk covered: with more
// nodes than descriptors, or each with an old link beside its new one, no descriptor would be left for the node that is asked.
func (c *Core) reserveLink(n *node) bool {
	want := n.linkPriority()
	if !c.atCapacity() || want > prefetchLink && len(c.links) < c.config.MaxLinks {
		return true
	}
	if want == prefetchLink {
		return false
	}
	var worst *link
	rank := 0
	for _, l := range c.links {
		r := c.evictionRank(l, want)
		if r > 0 && (worst == nil || r > rank ||
			r == rank && cmp.Or(cmp.Compare(l.lastUsedAt, worst.lastUsedAt), cmp.Compare(l.id, worst.id)) < 0) {
			worst, rank = l, r
		}
	}
	if worst == nil {
		return false
	}
	worst.node.deniedLink = worst.node.current == worst
	c.closeLink(worst)
	return true
}

// evictionRank ranks what a link may be ended for: 3 one that another has replaced, 2 one to a node with nothing of ours, 1 one to a
// node with tasks of ours, which is linked again later to hear of them; 0 it may not.
func (c *Core) evictionRank(l *link, want linkPriority) int {
	switch {
	case !l.up || l.pendingOffers > 0:
		return 0
	case l.node.current != l:
		return 3
	case len(l.node.attempts) == 0:
		return 2
	case l.node.linkPriority() == pendingOfferLink:
		return 0
	case want == pendingOfferLink || c.now-l.lastUsedAt >= c.config.NodeUnreachableTimeout/4:
		return 1
	}
	return 0
}
