package recordproxy

import (
	"errors"
	"time"
)

// Fault is a fault of the connections of a proxy. The zero value forwards all bytes at once.
type Fault struct {
	// Delay is the time after which each read is forwarded.
	Delay time.Duration
	// Stall stops forwarding in both directions; no bytes are lost.
	Stall bool
	// DropReplies drops the bytes from the listening party: the connection is half-open.
	DropReplies bool
	// Reject closes new connections at once.
	Reject bool
	// BreakAfterBytes, if positive, closes one connection: the one on which the listening party has sent the last of that
	// number of bytes, counted over all connections.
	BreakAfterBytes int
}

// errClosed reports that a connection was closed while bytes of it waited to be forwarded.
var errClosed = errors.New("recordproxy: the connection is closed")

// applyFault waits as long as the fault delays size bytes, and returns how many of them to forward, and whether to close the
// connection after them. The error is errClosed.
func (c *connection) applyFault(size int, fromListener bool) (forwarded int, closing bool, err error) {
	fault, changed := c.proxy.currentFault()
	for fault.Stall {
		select {
		case <-changed:
		case <-c.done:
			return 0, false, errClosed
		}
		fault, changed = c.proxy.currentFault()
	}
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-c.done:
			return 0, false, errClosed
		}
	}
	switch {
	case fromListener && fault.DropReplies:
		return 0, false, nil
	case fromListener && fault.BreakAfterBytes > 0:
		forwarded, closing = c.proxy.countDown(size)
		return forwarded, closing, nil
	}
	return size, false, nil
}

// countDown subtracts size bytes from those that remain until a connection is closed; the results are those of applyFault.
func (p *Proxy) countDown(size int) (forwarded int, closing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.fault.BreakAfterBytes
	switch {
	case remaining <= 0: // another connection has just been broken
		return size, false
	case size >= remaining:
		p.fault.BreakAfterBytes = 0
		return remaining, true
	}
	p.fault.BreakAfterBytes -= size
	return size, false
}
