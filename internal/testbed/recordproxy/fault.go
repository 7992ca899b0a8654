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
var errConnectionClosed = errors.New("recordproxy: the connection is closed")

// applyFault waits as long as the fault delays size bytes, and returns how many of them to forward, and whether to close the
// connection after them. The error is errClosed.
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

// countDown subtracts size bytes from those that remain until a connection is closed; the results are those of applyFault.
func (p *Proxy) applyByteLimit(byteCount int) (forwarded int, closeAfter bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.fault.BreakAfterBytes
	switch {
	case remaining <= 0: // another connection has just been broken
		return byteCount, false
	case byteCount >= remaining:
		p.fault.BreakAfterBytes = 0
		return remaining, true
	}
	p.fault.BreakAfterBytes -= byteCount
	return byteCount, false
}
