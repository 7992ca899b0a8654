package requests

import (
	"cmp"
	"slices"
	"time"
)

// Limits on the notifications that wait for an owner's connection.
const (
	maxUndelivered            = 4096
	maxUndeliveredUnconfirmed = 1024
	// undeliveredGrace is how long a notification waits for a confirmed or likely owner before it is sent to a possible one. The
	// protocol allows 1 s from the node's report.
	undeliveredGrace = 600 * time.Millisecond
	// regularPings is the number of health checks on a connection from which on it may be an owner's. Misbehaving clients pass
	// one.
	regularPings = 3
)

// undeliveredNotification is a notification that waits for an owner's connection.
type undeliveredNotification struct {
	Terminated
	host   string // address from which the task was submitted or adopted
	graced Time   // when its undeliveredGrace ends
}

// undeliveredNotifications are the notifications that wait for an owner's connection. Those about adopted tasks that no node has
// confirmed wait apart, so that reports of misbehaving clients do not displace the others.
type undeliveredNotifications struct {
	confirmed   []undeliveredNotification
	unconfirmed []undeliveredNotification
}

// add adds a notification. It returns false if one was dropped: the new one or, of those about unconfirmed tasks, the oldest.
func (u *undeliveredNotifications) add(notification undeliveredNotification, unconfirmed bool) bool {
	if unconfirmed {
		dropped := len(u.unconfirmed) >= maxUndeliveredUnconfirmed
		if dropped {
			u.unconfirmed = u.unconfirmed[1:]
		}
		u.unconfirmed = append(u.unconfirmed, notification)
		return !dropped
	}
	if len(u.confirmed) >= maxUndelivered {
		return false
	}
	u.confirmed = append(u.confirmed, notification)
	return true
}

func (u *undeliveredNotifications) isEmpty() bool { return len(u.confirmed)+len(u.unconfirmed) == 0 }

// removeIf removes the notifications for which remove returns true, in the order in which they were added.
func (u *undeliveredNotifications) removeIf(remove func(undeliveredNotification) bool) {
	u.confirmed = slices.DeleteFunc(u.confirmed, remove)
	u.unconfirmed = slices.DeleteFunc(u.unconfirmed, remove)
}

// nextGraced returns when the next grace ends that has not ended by now; 0: none.
func (u *undeliveredNotifications) nextGraced(now Time) (next Time) {
	for _, waiting := range [][]undeliveredNotification{u.confirmed, u.unconfirmed} {
		for _, n := range waiting {
			if n.graced > now && (next == 0 || n.graced < next) {
				next = n.graced
			}
		}
	}
	return next
}

// notifyTerminated notifies the owner of a running task that the task has ended.
func (c *Core) notifyTerminated(t *task, cause Cause) {
	c.deliver(t, Terminated{Task: t.id, Cause: cause})
}

// notifyMigration notifies the owner of a running task that the task migrates and must be submitted again.
func (c *Core) notifyMigration(t *task) {
	c.deliver(t, Terminated{Task: t.id, Migrate: true})
}

// deliver sends a notification on the connection of its task or, if that is closed, on the connection of the same address that
// likelyOwner returns. If there is none, the notification waits until such a connection is marked as a confirmed or likely
// owner's, and from undeliveredGrace on for the connection that recipientAfterGrace returns.
func (c *Core) deliver(t *task, notification Terminated) {
	o := c.owners[t.conn]
	if o == nil {
		o = c.likelyOwner(func(o *ownerConnection) bool { return o.host == t.host })
	}
	if o != nil {
		c.notify(o, notification)
		return
	}
	waiting := undeliveredNotification{Terminated: notification, host: t.host, graced: c.now + undeliveredGrace}
	if !c.undelivered.add(waiting, t.unconfirmed()) {
		c.stats.DroppedNotifications++
	}
	c.scheduleUndelivered()
}

// notify sends a notification on a connection.
func (c *Core) notify(o *ownerConnection, notification Terminated) {
	notification.Conn = o.conn
	c.emit(notification)
}

// scheduleUndelivered schedules sendAfterGrace for the end of the next grace.
func (c *Core) scheduleUndelivered() {
	if c.undeliveredTimer != nil && c.undeliveredTimer.Queued() {
		return
	}
	if next := c.undelivered.nextGraced(c.now); next > 0 {
		c.undeliveredTimer = c.timers.Schedule(next, c.sendAfterGrace)
	}
}

// sendAfterGrace sends the notifications whose grace has ended on the connections that recipientAfterGrace returns. Those for
// which there is none wait until a connection becomes a possible owner's.
func (c *Core) sendAfterGrace() {
	c.undelivered.removeIf(func(n undeliveredNotification) bool {
		if n.graced > c.now {
			return false
		}
		o := c.recipientAfterGrace(n.host)
		if o == nil {
			return false
		}
		c.notify(o, n.Terminated)
		return true
	})
	c.scheduleUndelivered()
}

// recipientAfterGrace returns the connection for a notification about a task from an address, none of whose connections is a
// confirmed or likely owner's. If one of another address is, any connection of the task's own address is better: the other owner
// does not know the task. Otherwise it returns the connection that possibleOwner returns, or nil.
func (c *Core) recipientAfterGrace(host string) *ownerConnection {
	sameHost := func(o *ownerConnection) bool { return o.host == host }
	if o := c.likelyOwner(sameHost); o != nil {
		return o
	}
	other := c.likelyOwner(func(*ownerConnection) bool { return true })
	if other == nil {
		return c.possibleOwner()
	}
	if o := c.oldestConnection(sameHost); o != nil {
		return o
	}
	return other
}

// oldestConnection returns the oldest connection that meets a condition, or nil if none does.
func (c *Core) oldestConnection(condition func(*ownerConnection) bool) *ownerConnection {
	var oldest *ownerConnection
	for _, o := range c.owners {
		if condition(o) && (oldest == nil || o.conn < oldest.conn) {
			oldest = o
		}
	}
	return oldest
}

// possibleOwner returns the connection that may be an owner's although it is not a likely owner's: a request on it was rejected
// or has failed, or health checks are sent on it regularly. Misbehaving clients can achieve this too. A connection with both
// comes first, then one with a request. Of several such the oldest is chosen, since misbehaving clients connect again and again.
func (c *Core) possibleOwner() *ownerConnection {
	var best *ownerConnection
	for _, o := range c.owners {
		if o.possibility() == 0 {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(o.possibility(), best.possibility()), cmp.Compare(best.conn, o.conn)) > 0 {
			best = o
		}
	}
	return best
}

// possibility orders connections by how possible it is that they belong to an owner. It is 0 if nothing suggests that.
func (o *ownerConnection) possibility() (order int) {
	if o.pings >= regularPings {
		order++
	}
	if o.hadResponse {
		order += 2
	}
	return order
}

// notifyIfPossibleOwner sends the notifications that have waited for undeliveredGrace to a possible owner.
func (c *Core) notifyIfPossibleOwner() {
	if !c.undelivered.isEmpty() {
		c.sendAfterGrace()
	}
}

// sendUndelivered sends the undelivered notifications that are for a confirmed or likely owner's connection: those about tasks
// from its address, and those whose grace has ended.
func (c *Core) sendUndelivered(o *ownerConnection) {
	c.undelivered.removeIf(func(n undeliveredNotification) bool {
		if n.host != o.host && n.graced > c.now {
			return false
		}
		c.notify(o, n.Terminated)
		return true
	})
}

// likelyOwner returns, of the connections that meet a condition, the one most recently confirmed to be an owner's. If none
// was, it returns the one with the most adoptions, and of several such the oldest. It returns nil if none was confirmed or has
// adoptions: misbehaving clients connect from owners' addresses and report tasks that no node runs, and a notification that is
// sent to one of them is lost.
func (c *Core) likelyOwner(condition func(*ownerConnection) bool) *ownerConnection {
	var best *ownerConnection
	for _, o := range c.owners {
		if o.confirmedSeq == 0 && o.adoptions == 0 || !condition(o) {
			continue
		}
		if best == nil || compareLikelihood(o, best) > 0 {
			best = o
		}
	}
	return best
}

// compareLikelihood orders connections by how likely they belong to an owner. It returns a positive number if a is likelier.
func compareLikelihood(a, b *ownerConnection) int {
	return cmp.Or(
		cmp.Compare(a.confirmedSeq, b.confirmedSeq),
		cmp.Compare(a.adoptions, b.adoptions),
		cmp.Compare(b.conn, a.conn),
	)
}
