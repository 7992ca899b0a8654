package requests

import (
	"cmp"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// node is a machine by its id. Another one at the same address is another node.
type node struct {
	entry          flaxshelf.Machine
	addr           string
	listed         bool
	current        *link // the newest: set-ups go on it
	attempts       map[string]*attempt
	lastReceivedAt Time // the last sign of life: a word, or a link that came up
	failedDials    int  // dials that failed in a row
	everLinked     bool // a link to it was up in this life
	deniedLink     bool // it has no link for want of room
	redial         *timerqueue.Timer
}

// link is a connection to a node.
type link struct {
	id             Link
	node           *node
	up             bool
	suspected      bool // silent where it should have told something: a newer one takes its place
	pendingOffers  int  // set-ups out on it
	lastReceivedAt Time
	lastUsedAt     Time // the last word either way, or its coming up
}

const (
	initialRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff     = 800 * time.Millisecond
	// linkRetireDelay is how long a link that was replaced is still listened to.
	linkRetireDelay = 2 * time.Second
)

func (c *Core) nodeFor(name string) *node {
	n := c.nodes[name]
	if n == nil {
		n = &node{entry: flaxshelf.Machine{ID: name, Kind: -1, State: flaxshelf.Removed}, attempts: map[string]*attempt{},
			lastReceivedAt: c.now}
		c.nodes[name] = n
	}
	return n
}

// sortedAttempts lists a node's attempts in a fixed order.
func (n *node) sortedAttempts() []*attempt {
	all := make([]*attempt, 0, len(n.attempts))
	for _, a := range n.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.task.id, b.task.id) })
	return all
}

// needsLink tells whether a link to the node is of use.
func (n *node) needsLink() bool {
	return n.addr != "" && (n.entry.State != flaxshelf.Removed || len(n.attempts) > 0)
}

// ensureLink dials where no link is there or on its way, and none is waited with.
func (c *Core) ensureLink(n *node) {
	if !n.needsLink() || n.current != nil && !n.current.suspected || n.redial != nil && n.redial.Queued() {
		return
	}
	if n.deniedLink = !c.reserveLink(n); n.deniedLink {
		return
	}
	c.lastLinkID++
	l := &link{id: c.lastLinkID, node: n}
	n.current, c.links[l.id] = l, l
	c.emit(Dial{l.id, n.entry.ID, n.addr})
}

func (c *Core) linkUp(id Link) {
	l := c.links[id]
	if l == nil {
		c.emit(CloseLink{id})
		return
	}
	n := l.node
	l.lastUsedAt = c.now
	l.up, l.lastReceivedAt, n.lastReceivedAt, n.failedDials, n.everLinked = true, c.now, c.now, 0, true
	if n.current != l {
		c.closeLink(l)
		return
	}
	for _, a := range n.sortedAttempts() {
		switch a.phase {
		case connecting:
			c.sendOffer(a, l)
		case releasing:
			a.releaseDelivered = true
			c.sendRelease(a, l) // the former link may have broken before it
		}
	}
}

// suspectLink has a newer link take l's place. What is open on l may still be answered there for a while.
func (c *Core) suspectLink(l *link) {
	if l.suspected || c.links[l.id] == nil {
		return
	}
	l.suspected = true
	c.scheduleRetirement(l)
	c.ensureLink(l.node)
}

// scheduleRetirement ends a link a while after it was suspected, once another has taken its place.
func (c *Core) scheduleRetirement(l *link) {
	c.timers.Schedule(c.now+linkRetireDelay, func() {
		cur := l.node.current
		switch {
		case c.links[l.id] == nil || cur == l && !l.suspected:
		case cur != l && cur != nil && cur.up:
			c.closeLink(l)
		default:
			c.scheduleRetirement(l)
		}
	})
}

// closeLink ends a link from our side.
func (c *Core) closeLink(l *link) {
	c.emit(CloseLink{l.id})
	c.removeLink(l)
}

// removeLink books that a link is gone. Set-ups that are out on it may have run. Risk covered: a release of what stands that is
// written on a link that is gone, and so never reaches the node.
func (c *Core) removeLink(l *link) {
	delete(c.links, l.id)
	l.up = false
	n := l.node
	if n.current == l {
		n.current = nil
	}
	if l.pendingOffers == 0 {
		return
	}
	for _, a := range n.sortedAttempts() {
		if a.phase == offered && a.link == l {
			c.endAttempt(a, flaxshelf.Lost, flaxshelf.UnspecifiedReason)
		}
	}
}

// linkDown: a link has ended, or could not be made. A refused connection proves that the process is dead, and with it what
// stood there; one that never comes up proves only that nothing was sent.
func (c *Core) linkDown(in LinkDown) {
	l := c.links[in.Link]
	if l == nil {
		return
	}
	n, was, current := l.node, l.up, l.node.current == l
	c.removeLink(l)
	if was {
		c.stats.BrokenLinks++
	}
	if !current {
		return
	}
	if old := c.newestLinkUp(n); old != nil && !was {
		c.retainLink(n, old, in.ConnectionRefused)
		return
	}
	// A node that drains listens no more: refused, it is dead only where a link was up and broke before. Risk covered: a
	// scheduler that starts anew would release all that it is handed over there.
	dead := in.ConnectionRefused && (n.everLinked || n.entry.State != flaxshelf.Draining)
	if in.ConnectionRefused && !dead {
		n.lastReceivedAt = c.now
	}
	if !was {
		n.failedDials++
		for _, a := range n.sortedAttempts() {
			switch {
			case a.phase == connecting:
				c.endAttempt(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason)
			case a.phase >= running && dead:
				c.stats.LostToNodeDeath++
				c.loseAttempt(a)
			}
		}
		wait := maxRedialBackoff
		if n.failedDials < 5 {
			wait = initialRedialBackoff << n.failedDials
		}
		n.redial = c.timers.Schedule(c.now+wait, func() { c.ensureLink(n) })
		return
	}
	c.ensureLink(n)
}

const (
	// silenceCheckInterval is how often nodes with tasks of ours are looked at for silence.
	silenceCheckInterval = 500 * time.Millisecond
	// nodeSilenceThreshold is how long such a node may say nothing before a newer link has to show that it is there.
	nodeSilenceThreshold = 2500 * time.Millisecond
)

// checkSilence finds the machines that vanished or were cut off without a sign: open links stay open and silent, and new ones
// never come up. What stands there counts as cut after Config.Silent; so does what was handed over on a node that no list
// names.
func (c *Core) checkSilence() {
	c.timers.Schedule(c.now+silenceCheckInterval, c.checkSilence)
	var unlinked []*node
	for _, n := range c.sortedNodes() {
		silent := c.now - n.lastReceivedAt
		switch {
		case c.nearIdleTimeout(n.current) && len(n.attempts) == 0 && c.atCapacity():
			c.closeLink(n.current)
		case c.nearIdleTimeout(n.current):
			c.suspectLink(n.current)
		case n.deniedLink: // its silence tells nothing
			unlinked = append(unlinked, n)
		case len(n.attempts) == 0:
		case n.current != nil && n.current.up && !n.current.suspected:
			if silent >= nodeSilenceThreshold {
				c.stats.SuspectedLinks++
				c.suspectLink(n.current)
			}
		case silent >= c.config.NodeUnreachableTimeout:
			for _, a := range n.sortedAttempts() {
				if a.phase >= running {
					c.stats.LostToUnreachable++
					c.loseAttempt(a)
				}
			}
		}
	}
	slices.SortStableFunc(unlinked, func(a, b *node) int { return cmp.Compare(a.lastReceivedAt, b.lastReceivedAt) })
	for _, n := range unlinked {
		c.ensureLink(n)
	}
}

// nearIdleTimeout tells whether a node may be about to close a link for want of traffic. Risk covered: a set-up that crosses such a
// close counts as one that may have run, so the link is renewed ahead of it.
func (c *Core) nearIdleTimeout(l *link) bool {
	return l != nil && l.up && !l.suspected && c.config.NodeIdleTimeout > 0 && c.now-l.lastUsedAt >= c.config.NodeIdleTimeout*3/4
}

// newestLinkUp is the newest link of a node that is up; nil where none is.
func (c *Core) newestLinkUp(n *node) (best *link) {
	for _, l := range c.links {
		if l.node == n && l.up && (best == nil || l.id > best.id) {
			best = l
		}
	}
	return best
}

// retainLink is for a link that was to replace one that is still up, and could not be made. Refused, it shows a live machine
// whose process listens no more: a node that drains keeps what stands, on the links that it has. Risk covered: such a
// refusal taken for a death, and all that stands there released to its owners while it runs.
func (c *Core) retainLink(n *node, old *link, refused bool) {
	n.current = old
	if refused {
		n.lastReceivedAt, old.suspected = c.now, false
	} else {
		n.redial = c.timers.Schedule(c.now+maxRedialBackoff, func() { c.ensureLink(n) }) // old is suspected on
	}
	for _, a := range n.sortedAttempts() {
		if a.phase == connecting {
			c.endAttempt(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason)
		}
	}
}

// discardIfUnused ends the links of a node that is out and has nothing of ours, and forgets it.
func (c *Core) discardIfUnused(n *node) {
	if n.needsLink() || len(n.attempts) > 0 {
		return
	}
	c.timers.Cancel(n.redial)
	for _, l := range c.linksOf(n) {
		c.closeLink(l)
	}
	if n.entry.State == flaxshelf.Removed && c.nodes[n.entry.ID] == n {
		delete(c.nodes, n.entry.ID)
	}
}

func (c *Core) linksOf(n *node) []*link {
	var all []*link
	for _, l := range c.links {
		if l.node == n {
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b *link) int { return cmp.Compare(a.id, b.id) })
	return all
}

// updateNodes takes the feed's word. It reaches the module in this step, before anything that the module decides in it.
func (c *Core) updateNodes(in NodesUpdated) {
	c.notifyModule(flaxshelf.MachinesUpdated{Machines: in.Machines, Complete: in.Complete, Stale: in.FromConfig})
	named := map[string]bool{}
	for i, m := range in.Machines {
		named[m.ID] = true
		n := c.nodeFor(m.ID)
		restarted := n.listed && m.Started > n.entry.Started && m.State != flaxshelf.Removed
		moved := n.addr != in.Addrs[i] && in.Addrs[i] != ""
		n.entry, n.listed = m, true
		if moved {
			n.addr = in.Addrs[i]
			for _, l := range c.linksOf(n) {
				c.closeLink(l)
			}
		}
		if restarted {
			c.loseStartedBefore(n, m.Started)
		}
		c.applyNodeState(n)
	}
	if in.Complete {
		for _, n := range c.sortedNodes() {
			if !named[n.entry.ID] && n.entry.State != flaxshelf.Removed {
				n.entry.State = flaxshelf.Removed
				c.applyNodeState(n)
			}
		}
	}
	c.removeReplacedNodes(in)
}

// removeReplacedNodes: a node at the address of another proves that the other is gone.
func (c *Core) removeReplacedNodes(in NodesUpdated) {
	at := make(map[string]string, len(in.Machines)) // who is at an address by this word
	for i, m := range in.Machines {
		if m.State != flaxshelf.Removed && in.Addrs[i] != "" {
			at[in.Addrs[i]] = m.ID
		}
	}
	for _, n := range c.sortedNodes() {
		if name, used := at[n.addr]; used && name != n.entry.ID {
			c.removeNode(n)
		}
	}
}

func (c *Core) sortedNodes() []*node {
	all := make([]*node, 0, len(c.nodes))
	for _, n := range c.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	return all
}

// loseStartedBefore cuts what stood at a node before it started anew.
func (c *Core) loseStartedBefore(n *node, started Time) {
	for _, a := range n.sortedAttempts() {
		if a.phase >= running && a.startedAt < started {
			c.stats.LostToRemoval++
			c.loseAttempt(a)
		}
	}
}

// applyNodeState acts on what the list says of n. Offers that still wait for a link are given up when the node drains: the
// word has come before the send.
func (c *Core) applyNodeState(n *node) {
	if n.entry.State != flaxshelf.Active {
		for _, a := range n.sortedAttempts() {
			if a.phase == connecting {
				c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
			}
		}
	}
	if n.entry.State == flaxshelf.Removed {
		c.removeNode(n)
		return
	}
	c.ensureLink(n)
}

// removeNode cuts all that stood at a node that has left.
func (c *Core) removeNode(n *node) {
	for _, a := range n.sortedAttempts() {
		if a.phase >= running {
			c.stats.LostToRemoval++
		}
		c.loseAttempt(a)
	}
	n.entry.State = flaxshelf.Removed
	c.discardIfUnused(n)
}
