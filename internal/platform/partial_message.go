package platform

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/transport"
)

// partialMessage reports whether a message on a connection has arrived in part. It belongs to the event loop.
type partialMessage bool

// update records that a handler has used some of the bytes that were received, and sets the timeout for the rest of a
// partial message: it starts with the message and is not extended by a further part of it. It returns the change in the
// number of connections with a partial message: -1, 0 or 1.
func (p *partialMessage) update(c *transport.Conn, used, received int, timeout time.Duration) (change int64) {
	before, after := bool(*p), used < received
	if before == after && (!after || used == 0) {
		return 0
	}
	*p = partialMessage(after)
	if !after {
		c.SetMessageTimeout(0)
		return -1
	}
	c.SetMessageTimeout(timeout)
	if before {
		return 0
	}
	return 1
}
