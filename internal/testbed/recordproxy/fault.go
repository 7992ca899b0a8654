package recordproxy

import (
	"errors"
	"time"
)

// Fault is what goes wrong with a proxy's connections. The zero value forwards everything at once.
type Fault struct {
	// Delay has each read forwarded so much later.
	Delay time.Duration
	// Stall has nothing forwarded, both ways; nothing is lost.
	Stall bool
	// DropReplies loses the bytes from the listening party: a half-open connection.
	DropReplies bool
	// Reject closes new connections at once.
	Reject bool
	// BreakAfterBytes, if above 0, closes the first connection on which so many more bytes come from the listening party,
	// once.
	BreakAfterBytes int
}

// errClosed is that a connection was closed while its bytes waited to be forwarded.
var errClosed = errors.New("recordproxy: the connection is closed")

// applyFault waits as long as the fault delays bytes, and returns how many of them are forwarded, and whether the
// connection is closed after them.
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

// countDown takes bytes off those that are left until a connection breaks.
func (p *Proxy) countDown(size int) (forwarded int, closing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.fault.BreakAfterBytes
	switch {
	case left <= 0: // another connection has just been broken
		return size, false
	case size >= left:
		p.fault.BreakAfterBytes = 0
		return left, true
	}
	p.fault.BreakAfterBytes -= size
	return size, false
}
