package recordproxy

import (
	"errors"
	"time"
)

// Fault describes how a proxy disturbs its connections. The zero value forwards all bytes without delay.
type Fault struct {
	// Delay is how long the proxy waits before it forwards the bytes of each read.
	Delay time.Duration
	// Stall suspends forwarding in both directions. The bytes are forwarded when the stall ends.
	Stall bool
	// DropReplies drops all bytes from the listening party, as on a half-open connection.
	DropReplies bool
	// Reject closes each new connection as soon as it is accepted.
	Reject bool
	// BreakAfterBytes, if positive, closes one connection after the listening party has sent this many bytes, counted over all
	// connections of the proxy. The connection that carries the last of these bytes is closed right after that byte.
	BreakAfterBytes int
}

// errConnectionClosed reports that a connection was closed while some of its bytes waited to be forwarded.
var errConnectionClosed = errors.New("recordproxy: the connection is closed")

// applyFault waits as long as the fault delays the next bytes, byteCount in number. It returns how many of them to forward and
// whether to close the connection after that; the rest is dropped. The error is errConnectionClosed.
func (c *connection) applyFault(byteCount int, fromListener bool) (forwarded int, closeAfter bool, err error) {
	fault, changed := c.proxy.currentFault()
	for fault.Stall {
		select {
		case <-changed:
		case <-c.done:
			return 0, false, errConnectionClosed
		}
		fault, changed = c.proxy.currentFault()
	}
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-c.done:
			return 0, false, errConnectionClosed
		}
	}
	switch {
	case fromListener && fault.DropReplies:
		return 0, false, nil
	case fromListener && fault.BreakAfterBytes > 0:
		forwarded, closeAfter = c.proxy.applyByteLimit(byteCount)
		return forwarded, closeAfter, nil
	}
	return byteCount, false, nil
}

// applyByteLimit counts bytes toward Fault.BreakAfterBytes. The results are those of applyFault.
func (p *Proxy) applyByteLimit(byteCount int) (forwarded int, closeAfter bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.fault.BreakAfterBytes
	switch {
	case remaining <= 0: // another connection has reached the limit in the meantime
		return byteCount, false
	case byteCount >= remaining:
		p.fault.BreakAfterBytes = 0
		return remaining, true
	}
	p.fault.BreakAfterBytes -= byteCount
	return byteCount, false
}
