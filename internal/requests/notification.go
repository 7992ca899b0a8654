package requests

import "cmp"

// maxUndelivered is the maximum number of notifications that wait for an owner's connection. Further notifications are dropped.
const maxUndelivered = 4096

// notifyTerminated notifies the owner of a running task that the task has ended.
func (c *Core) notifyTerminated(t *task, cause Cause) {
	c.deliver(t.conn, Terminated{Task: t.id, Cause: cause})
}

// notifyMigration notifies the owner of a running task that the task migrates and must be submitted again.
func (c *Core) notifyMigration(t *task) {
	c.deliver(t.conn, Terminated{Task: t.id, Migrate: true})
}

// deliver sends a notification on the connection of its task or, if that is closed, on the connection that likelyOwner
// returns. If there is none, the notification waits until a connection is marked as a confirmed or likely owner's.
func (c *Core) deliver(conn ConnID, notification Terminated) {
	o := c.owners[conn]
	if o == nil {
		o = c.likelyOwner()
	}
	if o != nil {
		notification.Conn = o.conn
		c.emit(notification)
		return
	}
	if len(c.undelivered) < maxUndelivered {
		c.undelivered = append(c.undelivered, &notification)
	}
}

// sendUndelivered sends all undelivered notifications on a connection.
func (c *Core) sendUndelivered(conn ConnID) {
	for _, notification := range c.undelivered {
		notification.Conn = conn
		c.emit(*notification)
	}
	c.undelivered = c.undelivered[:0]
}

// likelyOwner returns the connection that was most recently confirmed to be an owner's. If none was, it returns the one with
// the most adoptions, and of several such the oldest. It returns nil if no connection was confirmed or has adoptions:
// misbehaving clients connect from owners' addresses and report tasks that no node runs, and a notification that is sent to
// one of them is lost.
func (c *Core) likelyOwner() *ownerConnection {
	var best *ownerConnection
	for _, o := range c.owners {
		if o.confirmedSeq == 0 && o.adoptions == 0 {
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
