package requests

import "cmp"

// need is how badly a node wants a link.
type need int

const (
	forLater need = iota // nothing of ours is there: a link only saves time
	forWord              // tasks of ours stand there: the node tells of their ends on a link
	forOffer             // a set-up waits for it
)

func (n *node) need() need {
	most := forLater
	for _, a := range n.live {
		switch {
		case a.phase == connecting:
			return forOffer
		case a.phase >= standing:
			most = forWord
		}
	}
	return most
}

// crowded tells whether links that only save time are one too many: an eighth is kept for what comes.
func (c *Core) crowded() bool { return c.cfg.MaxLinks > 0 && len(c.links) >= c.cfg.MaxLinks*7/8 }

// makeRoom tells whether a link to n may be made, and ends another for it where there are too many. Risk covered: with more
// nodes than descriptors, or each with an old link beside its new one, no descriptor would be left for the node that is asked.
func (c *Core) makeRoom(n *node) bool {
	want := n.need()
	if !c.crowded() || want > forLater && len(c.links) < c.cfg.MaxLinks {
		return true
	}
	if want == forLater {
		return false
	}
	var worst *link
	rank := 0
	for _, l := range c.links {
		r := c.spare(l, want)
		if r > 0 && (worst == nil || r > rank ||
			r == rank && cmp.Or(cmp.Compare(l.usedAt, worst.usedAt), cmp.Compare(l.id, worst.id)) < 0) {
			worst, rank = l, r
		}
	}
	if worst == nil {
		return false
	}
	worst.node.starved = worst.node.cur == worst
	c.hang(worst)
	return true
}

// spare ranks what a link may be ended for: 3 one that another has replaced, 2 one to a node with nothing of ours, 1 one to a
// node with tasks of ours, which is linked again later to hear of them; 0 it may not.
func (c *Core) spare(l *link, want need) int {
	switch {
	case !l.up || l.open > 0:
		return 0
	case l.node.cur != l:
		return 3
	case len(l.node.live) == 0:
		return 2
	case l.node.need() == forOffer:
		return 0
	case want == forOffer || c.now-l.usedAt >= c.cfg.NodeUnreachableTimeout/4:
		return 1
	}
	return 0
}
