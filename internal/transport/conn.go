package transport

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// flushCheckInterval is how often CloseWrite checks whether a slow peer has read what was queued for it.
const flushCheckInterval = 2 * time.Millisecond

// Conn is one connection. Several goroutines may use it, except for the methods that are for its event loop only. The event
// loop owns the socket and closes it.
type Conn struct {
	options *Options
	handler Handler
	socket  gnet.Conn // set when the connection opens
	remote  string    // set when the connection opens
	closed  atomic.Bool
	reason  error // why this side closes; belongs to the event loop

	lastRead     atomic.Int64 // Unix nanoseconds, or neverIdle
	idleTimer    *time.Timer  // nil: there is no idle timeout
	messageTimer *time.Timer  // nil: no message timeout is set; belongs to the event loop

	queuedBytes atomic.Int64 // accepted by RunInLoop, not yet written

	mu        sync.Mutex
	pending   []func() // to be run on the event loop
	scheduled bool     // the event loop is about to run them
}

// Remote returns the peer's address. It is empty until the connection is open.
func (c *Conn) Remote() string { return c.remote }

// IsClosed reports whether the connection has closed.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// WriteInLoop writes b, which it does not keep. It is for the event loop only, as within Receive.
func (c *Conn) WriteInLoop(b []byte) { c.write(b) }

func (c *Conn) write(b []byte) {
	if c.closed.Load() || len(b) == 0 {
		return
	}
	if _, err := c.socket.Write(b); err != nil {
		c.reason = fmt.Errorf("transport: write: %w", err)
	}
}

// Resume has Receive called again with the bytes that the handler had left unused, if there are any. It is for the event
// loop only.
func (c *Conn) Resume() {
	if !c.closed.Load() && c.socket.InboundBuffered() > 0 {
		_ = c.socket.Wake(nil) // a failure leaves the bytes for the next read
	}
}

// CloseWrite sends what was queued before and then closes our side of the connection; what the peer still sends is read until
// it has closed its side too.
func (c *Conn) CloseWrite() {
	c.runOnLoop(func() {
		if c.closed.Load() {
			return
		}
		if c.socket.OutboundBuffered() > 0 {
			time.AfterFunc(flushCheckInterval, c.CloseWrite)
			return
		}
		_ = unix.Shutdown(c.socket.Fd(), unix.SHUT_WR) // it fails where the peer has gone, and the close follows
	})
}

// Close closes the connection, after what was queued before. Handler.Closed gets the reason, unless there was another before.
func (c *Conn) Close(reason error) {
	c.runOnLoop(func() { c.CloseInLoop(reason) })
}

// CloseInLoop is Close for the event loop only, after what was written.
func (c *Conn) CloseInLoop(reason error) {
	if c.closed.Load() {
		return
	}
	if c.reason == nil {
		c.reason = reason
	}
	_ = c.socket.EventLoop().Close(c.socket) // it may be closing already
}
