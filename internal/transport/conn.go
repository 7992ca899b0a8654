package transport

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// flushCheckInterval is how often CloseWrite checks whether all queued bytes have been written.
const flushCheckInterval = 2 * time.Millisecond

// The values of Conn.enrollment.
const (
	enrollmentPending   int32 = iota // no event loop has taken the connection over
	enrollmentOpened                 // an event loop has opened the connection
	enrollmentAbandoned              // the dialing side no longer waits; the event loop closes the connection
)

// Conn is one connection. It is safe for concurrent use, except for the methods that may be called on its event loop only.
// The event loop owns the socket and closes it.
type Conn struct {
	options    *Options
	queued     *queuedTasks
	handler    Handler
	socket     gnet.Conn // set when the connection opens
	remoteAddr string    // set when the connection opens
	closed     atomic.Bool
	enrollment atomic.Int32
	writes     *writeBudget
	overflowed bool  // the write queue was too long, so that the connection is about to close; used on the event loop only
	reason     error // why this side closes the connection, nil if it does not; used on the event loop only

	lastRead     atomic.Int64 // when bytes were last received, in Unix nanoseconds, or neverIdle
	idleTimer    *time.Timer  // nil without an idle timeout
	messageTimer *time.Timer  // nil without a message timeout; used on the event loop only

	queuedBytes atomic.Int64 // sum of the sizes passed to RunOnLoop for functions that have not run yet

	mu        sync.Mutex
	pending   []func() // functions to run on the event loop, in order
	scheduled bool     // the event loop will run the pending functions
}

// RemoteAddr returns the peer's address, as host:port. It is empty until the connection opens.
func (c *Conn) RemoteAddr() string { return c.remoteAddr }

// IsClosed reports whether the connection has closed.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// WriteInLoop writes b and does not retain it. It may be called on the event loop only, for instance by Handler.Receive.
func (c *Conn) WriteInLoop(b []byte) { c.write(b) }

func (c *Conn) write(b []byte) {
	if c.closed.Load() || c.overflowed || len(b) == 0 {
		return
	}
	if _, err := c.socket.Write(b); err != nil {
		c.reason = fmt.Errorf("transport: write %d bytes: %w", len(b), err)
		return
	}
	queued := c.socket.OutboundBuffered()
	if queued == 0 {
		return
	}
	if queued > c.options.MaxWriteQueue {
		c.overflow()
	}
	c.writes.written(len(b))
}

// unwritten returns the number of bytes that are queued for the peer. It is called on the event loop only.
func (c *Conn) unwritten() int {
	if c.overflowed || c.closed.Load() {
		return 0
	}
	return c.socket.OutboundBuffered() + int(c.queuedBytes.Load())
}

// overflow drops further writes, and closes the connection once its handler has returned. It is called on the event loop only.
func (c *Conn) overflow() {
	if c.overflowed {
		return
	}
	queued := c.unwritten()
	c.overflowed = true
	c.Close(slowReaderError(int64(queued)))
}

// ResumeReceive causes another call of Handler.Receive with the bytes that the handler has not used, if there are any. It may
// be called on the event loop only.
func (c *Conn) ResumeReceive() {
	if !c.closed.Load() && c.socket.InboundBuffered() > 0 {
		_ = c.socket.Wake(nil) // after a failure, the bytes are passed on with the next ones received
	}
}

// CloseWrite closes the writing side of the connection after all queued bytes have been written. Bytes from the peer are
// still received until it closes its side, too.
func (c *Conn) CloseWrite() {
	c.enqueue(func() {
		if c.closed.Load() {
			return
		}
		if c.socket.OutboundBuffered() > 0 {
			time.AfterFunc(flushCheckInterval, c.CloseWrite)
			return
		}
		// Shutdown fails if the peer has closed the connection; gnet then calls OnClose.
		_ = unix.Shutdown(c.socket.Fd(), unix.SHUT_WR)
	})
}

// Close closes the connection after all writes and functions that were queued before. Handler.Closed receives the reason,
// unless another one was set before.
func (c *Conn) Close(reason error) {
	c.enqueue(func() { c.CloseInLoop(reason) })
}

// CloseInLoop closes the connection after all preceding writes, like Close. It may be called on the event loop only.
func (c *Conn) CloseInLoop(reason error) {
	if c.closed.Load() {
		return
	}
	if c.reason == nil {
		c.reason = reason
	}
	_ = c.socket.EventLoop().Close(c.socket) // fails if the connection is closing already
}
