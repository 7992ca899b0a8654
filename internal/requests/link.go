package requests

import (
	"cmp"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// link is a connection to a node, from its dial to its end.
type link struct {
	id             LinkID
	node           *node
	up             bool // established, and not ended
	suspected      bool // possibly broken, and to be replaced by a newer link
	finishing      bool // nothing is sent on it any more, and the node's last messages on it are awaited
	pendingOffers  int  // offers that were sent on the link and have no response yet
	receivedAny    bool // a message of the node has arrived on it
	establishedAt  Time
	lastReceivedAt Time
	lastUsedAt     Time // when it was established, or last used for an offer or a message of the node
}

const (
	// linkRetirementDelay is the minimum time that a suspected link stays open to receive late messages.
	linkRetirementDelay = 2 * time.Second
	// finishTimeout is how long the node's last messages on a replaced link are awaited after its writing side was closed.
	finishTimeout = time.Second
	// silenceRenewalDelay is how long after a node's first message the link is renewed; see renewAfterSilence. By then the
	// node has noticed which of its links are closed.
	silenceRenewalDelay = time.Second
)

// ensureLink dials a node that needs a link. It does nothing if the node has an unsuspected link, established or being dialed,
// or waits for its redial backoff. If Config.MaxLinks allows no further link to the node, it sets deniedLink instead.
func (c *Core) ensureLink(n *node) {
	hasLink := n.currentLink != nil && !n.currentLink.suspected
	waiting := n.redialTimer != nil && n.redialTimer.Queued()
	if !n.needsLink() || hasLink || waiting {
		return
	}
	n.deniedLink = !c.reserveLink(n)
	if n.deniedLink {
		return
	}
	c.lastLinkID++
	l := &link{id: c.lastLinkID, node: n}
	n.currentLink = l
	c.links[l.id] = l
	c.emit(Dial{Link: l.id, Node: n.machine.ID, Addr: n.addr})
}

// linkUp handles an established link, and sends the offers and releases that were waiting for it.
func (c *Core) linkUp(id LinkID) {
	l := c.links[id]
	if l == nil {
		c.emit(CloseLink{id})
		return
	}
	n := l.node
	l.up = true
	l.establishedAt = c.now
	l.lastUsedAt = c.now
	l.lastReceivedAt = c.now
	n.lastReceivedAt = c.now
	n.failedDials = 0
	n.everConnected = true
	if n.currentLink != l {
		c.closeLink(l)
		return
	}
	c.repeatRecentReleases(n, l)
	for _, a := range n.sortedAttempts() {
		switch a.phase {
		case phaseConnecting:
			c.sendOffer(a, l)
		case phaseReleasing:
			c.sendRelease(a, l) // the previous link may have broken before it transmitted the release
			a.releasedOnNewLink = true
		}
	}
}

// linkDown handles a link that has ended or could not be established.
func (c *Core) linkDown(in LinkDown) {
	l := c.links[in.Link]
	if l == nil {
		return
	}
	n, wasUp, wasCurrent := l.node, l.up, l.node.currentLink == l
	c.removeLink(l)
	if wasUp {
		c.stats.BrokenLinks++
	}
	if !wasCurrent {
		return
	}
	if wasUp {
		c.redialBroken(l)
		return
	}
	if old := c.newestLinkUp(n); old != nil {
		c.retainLink(n, old, in.ConnectionRefused)
		return
	}
	c.dialFailed(n, in.ConnectionRefused)
}

// redialBroken dials the node of a link that has broken, at once unless its former link broke as well before any message of the
// node arrived: a node that accepts connections and closes them would be dialed without a pause.
func (c *Core) redialBroken(l *link) {
	n := l.node
	if l.receivedAny {
		n.fruitlessLinks = 0
	} else {
		n.fruitlessLinks++
	}
	if n.fruitlessLinks < 2 {
		c.ensureLink(n)
		return
	}
	c.scheduleRedial(n, c.withJitter(exponentialBackoff(initialRedialBackoff, maxRedialBackoff, n.fruitlessLinks-2)))
}

// dialFailed handles a failed dial of a node that has no other link. A refused connection proves that the node's process has
// ended and its tasks are lost, except on a draining node that never had a link. Any other failure proves only that no offer
// was sent on the link.
func (c *Core) dialFailed(n *node, refused bool) {
	// A draining node no longer listens, so a refused connection proves its end only if a link to it was up and has broken.
	// Without this exception, a scheduler that has just started would report all tasks that it adopts there as lost.
	nodeEnded := refused && (n.everConnected || n.machine.State != flaxshelf.Draining)
	if refused && !nodeEnded {
		n.lastReceivedAt = c.now
	}
	n.failedDials++
	for _, a := range n.sortedAttempts() {
		switch {
		case a.phase == phaseConnecting:
			c.endAttempt(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason)
		case a.phase >= phaseRunning && nodeEnded:
			c.stats.LostToNodeDeath++
			c.endLostAttempt(a)
		}
	}
	c.scheduleRedial(n, exponentialBackoff(initialRedialBackoff, maxRedialBackoff, n.failedDials-1))
}

// retainLink continues to use a link that is up after its replacement could not be established. A refused connection shows
// that the machine is reachable and the node no longer listens. A draining node does not listen, but keeps its running tasks
// and open links. If the refusal were treated as the end of the node, those tasks would be reported lost while they run.
func (c *Core) retainLink(n *node, old *link, refused bool) {
	n.currentLink = old
	if refused {
		n.lastReceivedAt = c.now
		old.suspected = false
	} else {
		c.scheduleRedial(n, maxRedialBackoff) // old stays suspected
	}
	c.endConnecting(n, flaxshelf.Unreachable)
}

// suspectLink starts to replace l by a newer link. Until l is closed, responses to the offers pending on it are still
// received.
func (c *Core) suspectLink(l *link) {
	if l.suspected || c.links[l.id] == nil {
		return
	}
	l.suspected = true
	c.scheduleRetirement(l)
	c.ensureLink(l.node)
}

// scheduleRetirement finishes a suspected link once linkRetirementDelay has passed and a newer link has replaced it.
func (c *Core) scheduleRetirement(l *link) {
	c.timers.Schedule(c.now+linkRetirementDelay, func() {
		switch {
		case c.links[l.id] == nil || l.node.currentLink == l && !l.suspected:
			return
		case l.isReplaced():
			c.finishLink(l)
		default:
			c.scheduleRetirement(l)
		}
	})
}

// isReplaced reports whether a newer link does what l did. An established connection shows that the node's machine works, but
// not that its process does: the kernel of a node that hangs accepts connections. Once it goes on, the node reports the ends
// of its tasks on the link of their set-up. So while tasks run there, a link on which the node has sent messages is kept until
// it sends one on a newer link.
func (l *link) isReplaced() bool {
	current := l.node.currentLink
	if current == l || current == nil || !current.up {
		return false
	}
	return current.receivedAny || !l.receivedAny || len(l.node.attempts) == 0
}

// renewAfterSilence replaces the link of a node that has sent a message after links on which it had sent nothing were
// replaced. Its process may have hung: once it goes on, it still counts these links as open, and may have sent the ends of
// tasks on them. It sends them again on the next link that is established.
func (c *Core) renewAfterSilence(n *node) {
	n.silentReplaced = false
	c.timers.Schedule(c.now+silenceRenewalDelay, func() {
		if l := n.currentLink; l != nil && l.up && len(n.attempts) > 0 {
			c.suspectLink(l)
		}
	})
}

// finishLink closes the writing side of a replaced link, and the whole link when the node has closed its side or after
// finishTimeout. If the link were closed at once, a report of the node that crosses the close would be lost: the node sends it on
// the link of its task, and again only on a link that is established later.
func (c *Core) finishLink(l *link) {
	if l.finishing {
		return
	}
	l.finishing = true
	if !l.receivedAny && len(l.node.attempts) > 0 {
		l.node.silentReplaced = true
	}
	c.emit(FinishLink{l.id})
	c.timers.Schedule(c.now+finishTimeout, func() {
		if c.links[l.id] == l {
			c.closeLink(l)
		}
	})
}

// closeLink closes a link and removes it from the core. It does nothing for a link that was removed before: the end of an
// attempt, which a removal causes, may close further links.
func (c *Core) closeLink(l *link) {
	if c.links[l.id] != l {
		return
	}
	c.emit(CloseLink{l.id})
	c.removeLink(l)
}

// closeLinksOf closes all links to a node.
func (c *Core) closeLinksOf(n *node) {
	var links []*link
	for _, l := range c.links {
		if l.node == n {
			links = append(links, l)
		}
	}
	slices.SortFunc(links, func(a, b *link) int { return cmp.Compare(a.id, b.id) })
	for _, l := range links {
		c.closeLink(l)
	}
}

// removeLink removes a link that has ended. Offers pending on it may have been accepted, so their outcome is Lost. The link
// is marked as down, because an attempt may still refer to it, and no release may be sent on it.
func (c *Core) removeLink(l *link) {
	delete(c.links, l.id)
	l.up = false
	n := l.node
	if n.currentLink == l {
		n.currentLink = nil
	}
	if l.pendingOffers == 0 {
		return
	}
	for _, a := range n.sortedAttempts() {
		if a.phase == phaseOffered && a.link == l {
			c.endAttempt(a, flaxshelf.Lost, flaxshelf.UnspecifiedReason)
		}
	}
}

// newestLinkUp returns the newest established link to a node that is not being finished, or nil if there is none.
func (c *Core) newestLinkUp(n *node) *link {
	var newest *link
	for _, l := range c.links {
		if l.node == n && l.up && !l.finishing && (newest == nil || l.id > newest.id) {
			newest = l
		}
	}
	return newest
}
