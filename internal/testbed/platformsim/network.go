package platformsim

import "time"

// latency is the time that bytes take from one end of a connection to the other.
const latency = time.Millisecond

// connHandler is told of the events at one end of a connection.
type connHandler interface {
	received(c *conn, data []byte)
	closed(c *conn, reset bool)
}

// side is one end of a connection.
type side int

const (
	dialer side = iota
	listener
)

func (s side) other() side { return 1 - s }

// conn is a connection. Bytes in each direction arrive in their order.
type conn struct {
	sim      *simulation
	ends     [2]connHandler
	node     *node   // the node at the listening end; nil if it is a connection of an owner
	lastAt   [2]Time // when the last event arrives at each end
	isClosed bool
	resetAt  Time // when it was reset; 0: not
	finished bool // the dialing end has closed its writing side, as the listening end knows
	useless  bool // it stays open, and nothing arrives any more
}

// network makes connections.
type network struct{ sim *simulation }

// connect returns an open connection. n is the node at the listening end, or nil.
func (w *network) connect(dialing, listening connHandler, n *node) *conn {
	return &conn{sim: w.sim, ends: [2]connHandler{dialer: dialing, listener: listening}, node: n}
}

// send sends bytes from one end to the other.
func (c *conn) send(from side, data []byte) {
	if c.isClosed || c.useless || c.finished {
		return
	}
	c.deliver(from.other(), func() {
		if !c.isClosed && !c.useless {
			c.ends[from.other()].received(c, data)
		}
	})
}

// close closes the connection from one end, after the bytes that were sent before.
func (c *conn) close(from side) {
	if c.isClosed {
		return
	}
	c.deliver(from.other(), func() { c.shut(from.other(), false) })
}

// finish closes the writing side of the dialing end. The listening end closes its side as well, after what it has sent before.
func (c *conn) finish() {
	if c.isClosed {
		return
	}
	c.deliver(listener, c.readFinish)
}

// readFinish lets the listening end read that the dialing end has finished. A process that does not run reads it later.
func (c *conn) readFinish() {
	if c.isClosed || c.useless {
		return
	}
	if c.node != nil && c.sim.now <= c.node.hungUntil {
		c.sim.timers.Schedule(c.node.hungUntil+1, c.readFinish)
		return
	}
	c.finished = true
	c.ends[listener].closed(c, false)
	c.deliver(dialer, func() { c.shut(dialer, false) })
}

// reset ends the connection at both ends. Bytes on their way are lost.
func (c *conn) reset() {
	if c.isClosed {
		return
	}
	c.isClosed, c.resetAt = true, c.sim.now
	for _, at := range []side{dialer, listener} {
		c.deliver(at, func() { c.ends[at].closed(c, true) })
	}
}

// shut ends the connection, which the other end has closed. A connection that is of no further use stays open there.
func (c *conn) shut(at side, reset bool) {
	if c.isClosed || c.useless {
		return
	}
	c.isClosed = true
	c.ends[at].closed(c, reset)
}

// deliver schedules an event at one end, after those that were scheduled before. While the node is cut off, the event waits.
func (c *conn) deliver(to side, event func()) {
	at := max(c.sim.now+latency, c.lastAt[to]+1)
	if c.node != nil {
		at = max(at, c.node.cutOffUntil+1)
	}
	c.lastAt[to] = at
	c.sim.timers.Schedule(at, event)
}
