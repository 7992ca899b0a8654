package platform

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/transport"
)

// partialMessage records whether the last message on a connection was received only in part. It is used on the event loop only.
type partialMessage bool

// update is called after a handler has used some of the received bytes. If bytes remain, they are the start of a partial
// message, and update starts the timeout for its rest; further parts of the same message do not extend the timeout. It returns
// the change in the number of connections with a partial message: -1, 0 or 1.
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
