package transport

import (
	"fmt"
	"math"
	"time"
)

// neverIdle is the value of Conn.lastRead of a connection without an idle timeout.
const neverIdle = math.MaxInt64

// SetMessageTimeout closes the connection with ErrMessageTimeout after timeout, unless it is called again before. Zero means
// no timeout. It is for the event loop only.
func (c *Conn) SetMessageTimeout(timeout time.Duration) {
	if c.messageTimer != nil {
		c.messageTimer.Stop()
		c.messageTimer = nil
	}
	if timeout > 0 && !c.closed.Load() {
		c.messageTimer = time.AfterFunc(timeout, func() { c.Close(ErrMessageTimeout) })
	}
}

// DisableIdleTimeout disables the idle timeout, for a connection on which only this side sends.
func (c *Conn) DisableIdleTimeout() { c.lastRead.Store(neverIdle) }

// startIdleTimer starts the idle timeout, if any. It is called on the event loop when the connection opens.
func (c *Conn) startIdleTimer() {
	if c.options.IdleTimeout > 0 {
		c.idleTimer = time.AfterFunc(c.options.IdleTimeout, c.checkIdle)
	}
}

// markRead records that bytes were read.
func (c *Conn) markRead() {
	if c.options.IdleTimeout > 0 && c.lastRead.Load() != neverIdle {
		c.lastRead.Store(time.Now().UnixNano())
	}
}

// stopTimers stops all timeouts. It is called on the event loop when the connection closes.
func (c *Conn) stopTimers() {
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.SetMessageTimeout(0)
}

// checkIdle closes the connection if it is idle, or resets the timer. It is called in the timer's goroutine.
func (c *Conn) checkIdle() {
	lastRead := c.lastRead.Load()
	if lastRead == neverIdle {
		return
	}
	idle := time.Duration(time.Now().UnixNano() - lastRead)
	if idle >= c.options.IdleTimeout {
		c.Close(fmt.Errorf("%w: nothing was read for %v", ErrIdleTimeout, idle.Round(time.Millisecond)))
		return
	}
	c.idleTimer.Reset(c.options.IdleTimeout - idle)
}
