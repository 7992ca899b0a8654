package transport

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// flushCheckInterval is how often CloseWrite checks whether a slow peer has read its queue.
const flushCheckInterval = 2 * time.Millisecond

// Conn is one connection. It is safe for concurrent use, except for the methods that are for its event loop only. The event
// loop owns the socket and closes it.
type Conn struct {
	options    *Options
	handler    Handler
	socket     gnet.Conn // set when the connection opens
	remoteAddr string    // set when the connection opens
	closed     atomic.Bool
	reason     error // why this side closes; belongs to the event loop

	lastRead     atomic.Int64 // Unix nanoseconds, or neverIdle
	idleTimer    *time.Timer  // nil without an idle timeout
	messageTimer *time.Timer  // nil without a message timeout; belongs to the event loop

	queuedBytes atomic.Int64 // accepted by RunOnLoop and not yet written

	mu        sync.Mutex
	pending   []func() // functions to run on the event loop
	scheduled bool     // the event loop will run them
}

// RemoteAddr returns the peer's address. It is empty until the connection is open.
func (c *Conn) RemoteAddr() string { return c.remoteAddr }

// IsClosed reports whether the connection has closed.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// WriteInLoop writes b and does not retain it. It is for the event loop only, such as in Receive.
func (c *Conn) WriteInLoop(b []byte) { c.write(b) }

func (c *Conn) write(b []byte) {
	if c.closed.Load() || len(b) == 0 {
		return
	}
	if _, err := c.socket.Write(b); err != nil {
		c.reason = fmt.Errorf("transport: write: %w", err)
	}
}

// ResumeReceive causes another call of Receive with the bytes that the handler has not used, if there are any. It is for the
// event loop only.
func (c *Conn) ResumeReceive() {
	if !c.closed.Load() && c.socket.InboundBuffered() > 0 {
		_ = c.socket.Wake(nil) // a failure leaves the bytes for the next read
	}
}

// CloseWrite closes the writing side of the connection after all queued bytes have been written. Bytes from the peer are
// read until it closes its side too.
func (c *Conn) CloseWrite() {
	c.enqueue(func() {
		if c.closed.Load() {
			return
		}
		if c.socket.OutboundBuffered() > 0 {
			time.AfterFunc(flushCheckInterval, c.CloseWrite)
			return
		}
		_ = unix.Shutdown(c.socket.Fd(), unix.SHUT_WR) // it fails if the peer has closed the connection, and OnClose follows
	})
}

// Close closes the connection after the functions that were queued before. Handler.Closed receives the reason, unless an
// earlier one is set.
func (c *Conn) Close(reason error) {
	c.enqueue(func() { c.CloseInLoop(reason) })
}

// CloseInLoop is Close for the event loop only. It closes the connection after the preceding writes.
func (c *Conn) CloseInLoop(reason error) {
	if c.closed.Load() {
		return
	}
	if c.reason == nil {
		c.reason = reason
	}
	_ = c.socket.EventLoop().Close(c.socket) // it may be closing already
}
