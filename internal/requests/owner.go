package requests

import (
	"cmp"

	"flaxshelf.example/flaxshelf/internal/admission"
)

// ownerConnection is the state of an owner's connection.
type ownerConnection struct {
	conn         ConnID
	host         string           // the peer's address without its port
	pending      map[string]*task // by task ID; nil before the first request
	confirmedSeq uint64           // number of its latest confirmation, counted over all connections; 0: never confirmed
	adoptions    int              // number of tasks on listed nodes that were adopted from it
	pings        int              // number of health checks that it has sent
	hadResponse  bool             // whether a request on it was rejected or has failed
}

// addPending adds a request that waits for its response on the connection.
func (o *ownerConnection) addPending(t *task) {
	if o.pending == nil {
		o.pending = map[string]*task{}
	}
	o.pending[t.id] = t
}

// sortedPending returns the pending requests in the order of their task IDs.
func (o *ownerConnection) sortedPending() []*task {
	return sortedValues(o.pending, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
}

// connectOwner registers an owner's connection. Admission control may then require that other connections or this one be closed.
func (c *Core) connectOwner(in OwnerConnected) {
	c.owners[in.Conn] = &ownerConnection{conn: in.Conn, host: in.Host}
	for _, id := range c.admission.Opened(c.now, admission.ID(in.Conn), in.Host) {
		c.closeOwner(ConnID(id))
	}
	if c.idleTimer == nil || !c.idleTimer.Queued() {
		c.closeIdleOwners()
	}
}

// closeIdleOwners closes the connections that admission control considers idle, and schedules its next call.
func (c *Core) closeIdleOwners() {
	idle, next := c.admission.CloseIdle(c.now)
	for _, id := range idle {
		c.closeOwner(ConnID(id))
	}
	if next > 0 {
		c.idleTimer = c.timers.Schedule(next, c.closeIdleOwners)
	}
}

// closeOwner closes an owner's connection, and cancels its pending requests without a response.
func (c *Core) closeOwner(conn ConnID) {
	c.stats.OwnersClosed++
	c.disconnectOwner(conn)
	c.emit(CloseOwner{conn})
}

// disconnectOwner removes a connection that has ended, and cancels the requests pending on it. Running tasks continue,
// because they are not bound to a connection.
func (c *Core) disconnectOwner(conn ConnID) {
	o := c.owners[conn]
	if o == nil {
		return
	}
	delete(c.owners, conn)
	for _, pool := range c.adoptionPools() {
		pool.connectionEnded(conn)
	}
	c.admission.Closed(admission.ID(conn))
	for _, t := range o.sortedPending() {
		c.cancelRequest(t)
	}
}

// protocolError counts a protocol error, and closes the connection if it has caused more than the limit. While requests are
// pending on it, it stays open, since they would be lost; the next error closes it.
func (c *Core) protocolError(conn ConnID) {
	o := c.owners[conn]
	exceeded := c.admission.RecordProtocolError(admission.ID(conn))
	if o != nil && exceeded && len(o.pending) == 0 {
		c.closeOwner(conn)
	}
}

// ping answers a health check, which fails once the scheduler is shutting down.
func (c *Core) ping(in Ping) {
	o := c.owners[in.Conn]
	if o == nil {
		return
	}
	o.pings++
	c.admission.RecordPing(c.now, admission.ID(in.Conn))
	c.emit(Pong{Conn: in.Conn, Task: in.Task, Passed: !c.shuttingDown})
	c.notifyIfPossibleOwner()
}

// recordOwnerUse records in admission control that a connection was used in a way in which only owners use one.
func (c *Core) recordOwnerUse(conn ConnID) { c.admission.RecordOwnerUse(c.now, admission.ID(conn)) }

// markConfirmedOwner marks a connection that certainly belongs to an owner, because a task submitted on it was placed, or a
// node has confirmed a task that was adopted from it. The undelivered notifications are sent on it.
func (c *Core) markConfirmedOwner(conn ConnID) {
	if o := c.owners[conn]; o != nil {
		c.lastConfirmedSeq++
		o.confirmedSeq = c.lastConfirmedSeq
		for _, pool := range c.adoptionPools() {
			pool.connectionConfirmed(conn)
		}
		c.sendUndelivered(o)
	}
}

// markLikelyOwner marks a connection from which a task on a listed node was adopted. This does not prove that the connection
// belongs to an owner. It stays unverified in admission control until the node confirms the task. Notifications about
// tasks of closed connections are sent on it only if no other connection is more likely to belong to an owner.
func (c *Core) markLikelyOwner(conn ConnID) {
	if o := c.owners[conn]; o != nil {
		o.adoptions++
		c.admission.MarkLikelyOwner(admission.ID(conn))
		c.sendUndelivered(o)
	}
}

// confirmAdoption handles the first message of a node about an adopted task. The message confirms that the node knows the
// task, and so that the connection from which it was adopted belongs to an owner.
func (c *Core) confirmAdoption(t *task) {
	if !t.unconfirmed() {
		return
	}
	t.leaveAdoptionPool()
	c.recordOwnerUse(t.conn)
	c.markConfirmedOwner(t.conn)
}
