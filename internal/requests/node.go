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
	entry   flaxshelf.Machine
	addr    string
	listed  bool
	cur     *link // the newest: set-ups go on it
	live    map[string]*attempt
	heardAt Time // the last sign of life: a word, or a link that came up
	fails   int  // dials that failed in a row
	linked  bool // a link to it was up in this life
	starved bool // it has no link for want of room
	redial  *timerqueue.Timer
}

// link is a connection to a node.
type link struct {
	id        Link
	node      *node
	up        bool
	suspected bool // silent where it should have told something: a newer one takes its place
	open      int  // set-ups out on it
	heardAt   Time
	usedAt    Time // the last word either way, or its coming up
}

const (
	redialFirst = 50 * time.Millisecond
	redialMost  = 800 * time.Millisecond
	// lingers is how long a link that was replaced is still listened to.
	lingers = 2 * time.Second
)

func (c *Core) node(name string) *node {
	n := c.nodes[name]
	if n == nil {
		n = &node{entry: flaxshelf.Machine{ID: name, Kind: -1, State: flaxshelf.Removed}, live: map[string]*attempt{},
			heardAt: c.now}
		c.nodes[name] = n
	}
	return n
}

// sorted lists a node's attempts in a fixed order.
func (n *node) sorted() []*attempt {
	all := make([]*attempt, 0, len(n.live))
	for _, a := range n.live {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.task.id, b.task.id) })
	return all
}

// wanted tells whether a link to the node is of use.
func (n *node) wanted() bool {
	return n.addr != "" && (n.entry.State != flaxshelf.Removed || len(n.live) > 0)
}

// keepLink dials where no link is there or on its way, and none is waited with.
func (c *Core) keepLink(n *node) {
	if !n.wanted() || n.cur != nil && !n.cur.suspected || n.redial != nil && n.redial.Queued() {
		return
	}
	if n.starved = !c.makeRoom(n); n.starved {
		return
	}
	c.lastLink++
	l := &link{id: c.lastLink, node: n}
	n.cur, c.links[l.id] = l, l
	c.emit(Dial{l.id, n.entry.ID, n.addr})
}

func (c *Core) up(id Link) {
	l := c.links[id]
	if l == nil {
		c.emit(CloseLink{id})
		return
	}
	n := l.node
	l.usedAt = c.now
	l.up, l.heardAt, n.heardAt, n.fails, n.linked = true, c.now, c.now, 0, true
	if n.cur != l {
		c.hang(l)
		return
	}
	for _, a := range n.sorted() {
		switch a.phase {
		case connecting:
			c.send(a, l)
		case ending:
			a.reached = true
			c.cut(a, l) // the former link may have broken before it
		}
	}
}

// suspect has a newer link take l's place. What is open on l may still be answered there for a while.
func (c *Core) suspect(l *link) {
	if l.suspected || c.links[l.id] == nil {
		return
	}
	l.suspected = true
	c.retire(l)
	c.keepLink(l.node)
}

// retire ends a link a while after it was suspected, once another has taken its place.
func (c *Core) retire(l *link) {
	c.timers.Schedule(c.now+lingers, func() {
		cur := l.node.cur
		switch {
		case c.links[l.id] == nil || cur == l && !l.suspected:
		case cur != l && cur != nil && cur.up:
			c.hang(l)
		default:
			c.retire(l)
		}
	})
}

// hang ends a link from our side.
func (c *Core) hang(l *link) {
	c.emit(CloseLink{l.id})
	c.drop(l)
}

// drop books that a link is gone. Set-ups that are out on it may have run. Risk covered: a release of what stands that is
// written on a link that is gone, and so never reaches the node.
func (c *Core) drop(l *link) {
	delete(c.links, l.id)
	l.up = false
	n := l.node
	if n.cur == l {
		n.cur = nil
	}
	if l.open == 0 {
		return
	}
	for _, a := range n.sorted() {
		if a.phase == offered && a.link == l {
			c.end(a, flaxshelf.Lost, flaxshelf.UnspecifiedReason)
		}
	}
}

// down: a link has ended, or could not be made. A refused connection proves that the process is dead, and with it what
// stood there; one that never comes up proves only that nothing was sent.
func (c *Core) down(in LinkDown) {
	l := c.links[in.Link]
	if l == nil {
		return
	}
	n, was, current := l.node, l.up, l.node.cur == l
	c.drop(l)
	if was {
		c.figures.BrokenLinks++
	}
	if !current {
		return
	}
	if old := c.standingLink(n); old != nil && !was {
		c.keepOld(n, old, in.ConnectionRefused)
		return
	}
	// A node that drains listens no more: refused, it is dead only where a link was up and broke before. Risk covered: a
	// scheduler that starts anew would release all that it is handed over there.
	dead := in.ConnectionRefused && (n.linked || n.entry.State != flaxshelf.Draining)
	if in.ConnectionRefused && !dead {
		n.heardAt = c.now
	}
	if !was {
		n.fails++
		for _, a := range n.sorted() {
			switch {
			case a.phase == connecting:
				c.end(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason)
			case a.phase >= standing && dead:
				c.figures.LostToNodeDeath++
				c.lose(a)
			}
		}
		wait := redialMost
		if n.fails < 5 {
			wait = redialFirst << n.fails
		}
		n.redial = c.timers.Schedule(c.now+wait, func() { c.keepLink(n) })
		return
	}
	c.keepLink(n)
}

const (
	// sweepEvery is how often nodes with tasks of ours are looked at for silence.
	sweepEvery = 500 * time.Millisecond
	// quiet is how long such a node may say nothing before a newer link has to show that it is there.
	quiet = 2500 * time.Millisecond
)

// sweep finds the machines that vanished or were cut off without a sign: open links stay open and silent, and new ones
// never come up. What stands there counts as cut after Config.Silent; so does what was handed over on a node that no list
// names.
func (c *Core) sweep() {
	c.timers.Schedule(c.now+sweepEvery, c.sweep)
	var unlinked []*node
	for _, n := range c.sortedNodes() {
		silent := c.now - n.heardAt
		switch {
		case c.idles(n.cur) && len(n.live) == 0 && c.crowded():
			c.hang(n.cur)
		case c.idles(n.cur):
			c.suspect(n.cur)
		case n.starved: // its silence tells nothing
			unlinked = append(unlinked, n)
		case len(n.live) == 0:
		case n.cur != nil && n.cur.up && !n.cur.suspected:
			if silent >= quiet {
				c.figures.SuspectedLinks++
				c.suspect(n.cur)
			}
		case silent >= c.cfg.NodeUnreachableTimeout:
			for _, a := range n.sorted() {
				if a.phase >= standing {
					c.figures.LostToUnreachable++
					c.lose(a)
				}
			}
		}
	}
	slices.SortStableFunc(unlinked, func(a, b *node) int { return cmp.Compare(a.heardAt, b.heardAt) })
	for _, n := range unlinked {
		c.keepLink(n)
	}
}

// idles tells whether a node may be about to close a link for want of traffic. Risk covered: a set-up that crosses such a
// close counts as one that may have run, so the link is renewed ahead of it.
func (c *Core) idles(l *link) bool {
	return l != nil && l.up && !l.suspected && c.cfg.NodeIdleTimeout > 0 && c.now-l.usedAt >= c.cfg.NodeIdleTimeout*3/4
}

// standingLink is the newest link of a node that is up; nil where none is.
func (c *Core) standingLink(n *node) (best *link) {
	for _, l := range c.links {
		if l.node == n && l.up && (best == nil || l.id > best.id) {
			best = l
		}
	}
	return best
}

// keepOld is for a link that was to replace one that is still up, and could not be made. Refused, it shows a live machine
// whose process listens no more: a node that drains keeps what stands, on the links that it has. Risk covered: such a
// refusal taken for a death, and all that stands there released to its owners while it runs.
func (c *Core) keepOld(n *node, old *link, refused bool) {
	n.cur = old
	if refused {
		n.heardAt, old.suspected = c.now, false
	} else {
		n.redial = c.timers.Schedule(c.now+redialMost, func() { c.keepLink(n) }) // old is suspected on
	}
	for _, a := range n.sorted() {
		if a.phase == connecting {
			c.end(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason)
		}
	}
}

// letGo ends the links of a node that is out and has nothing of ours, and forgets it.
func (c *Core) letGo(n *node) {
	if n.wanted() || len(n.live) > 0 {
		return
	}
	c.timers.Cancel(n.redial)
	for _, l := range c.linksOf(n) {
		c.hang(l)
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

// listed takes the feed's word. It reaches the module in this step, before anything that the module decides in it.
func (c *Core) listed(in NodesUpdated) {
	c.tell(flaxshelf.MachinesUpdated{Machines: in.Machines, Complete: in.Complete, Stale: in.FromConfig})
	named := map[string]bool{}
	for i, m := range in.Machines {
		named[m.ID] = true
		n := c.node(m.ID)
		restarted := n.listed && m.Started > n.entry.Started && m.State != flaxshelf.Removed
		moved := n.addr != in.Addrs[i] && in.Addrs[i] != ""
		n.entry, n.listed = m, true
		if moved {
			n.addr = in.Addrs[i]
			for _, l := range c.linksOf(n) {
				c.hang(l)
			}
		}
		if restarted {
			c.loseBefore(n, m.Started)
		}
		c.standingOf(n)
	}
	if in.Complete {
		for _, n := range c.sortedNodes() {
			if !named[n.entry.ID] && n.entry.State != flaxshelf.Removed {
				n.entry.State = flaxshelf.Removed
				c.standingOf(n)
			}
		}
	}
	c.replaced(in)
}

// replaced: a node at the address of another proves that the other is gone.
func (c *Core) replaced(in NodesUpdated) {
	at := make(map[string]string, len(in.Machines)) // who is at an address by this word
	for i, m := range in.Machines {
		if m.State != flaxshelf.Removed && in.Addrs[i] != "" {
			at[in.Addrs[i]] = m.ID
		}
	}
	for _, n := range c.sortedNodes() {
		if name, used := at[n.addr]; used && name != n.entry.ID {
			c.gone(n)
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

// loseBefore cuts what stood at a node before it started anew.
func (c *Core) loseBefore(n *node, started Time) {
	for _, a := range n.sorted() {
		if a.phase >= standing && a.sent < started {
			c.figures.LostToRemoval++
			c.lose(a)
		}
	}
}

// standingOf acts on what the list says of n. Offers that still wait for a link are given up when the node drains: the
// word has come before the send.
func (c *Core) standingOf(n *node) {
	if n.entry.State != flaxshelf.Active {
		for _, a := range n.sorted() {
			if a.phase == connecting {
				c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
			}
		}
	}
	if n.entry.State == flaxshelf.Removed {
		c.gone(n)
		return
	}
	c.keepLink(n)
}

// gone cuts all that stood at a node that has left.
func (c *Core) gone(n *node) {
	for _, a := range n.sorted() {
		if a.phase >= standing {
			c.figures.LostToRemoval++
		}
		c.lose(a)
	}
	n.entry.State = flaxshelf.Removed
	c.letGo(n)
}
