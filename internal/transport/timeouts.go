package transport

import (
	"fmt"
	"math"
	"time"
)

// neverIdle is the value of Conn.lastRead after DisableIdleTimeout.
const neverIdle = math.MaxInt64

// SetMessageTimeout makes the connection close with ErrMessageTimeout after timeout, unless it is called again before. Zero
// means no timeout. It may be called on the event loop only.
func (c *Conn) SetMessageTimeout(timeout time.Duration) {
	if c.messageTimer != nil {
		c.messageTimer.Stop()
		c.messageTimer = nil
	}
	if timeout > 0 && !c.closed.Load() {
		c.messageTimer = time.AfterFunc(timeout, func() { c.Close(ErrMessageTimeout) })
	}
}

// DisableIdleTimeout disables the idle timeout. It is for connections on which only this side sends.
func (c *Conn) DisableIdleTimeout() { c.lastRead.Store(neverIdle) }

// startIdleTimer starts the idle timer, if there is an idle timeout. It is called on the event loop when the connection opens.
func (c *Conn) startIdleTimer() {
	if c.options.IdleTimeout > 0 {
		c.idleTimer = time.AfterFunc(c.options.IdleTimeout, c.checkIdle)
	}
}

// markRead records that bytes were received now.
func (c *Conn) markRead() {
	if c.options.IdleTimeout > 0 && c.lastRead.Load() != neverIdle {
		c.lastRead.Store(time.Now().UnixNano())
	}
}

// stopTimers stops all timers. It is called on the event loop when the connection closes.
func (c *Conn) stopTimers() {
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.SetMessageTimeout(0)
}

// checkIdle closes the connection if its idle timeout has passed, and otherwise restarts the idle timer for the remaining time.
// It is called on the timer's goroutine.
func (c *Conn) checkIdle() {
	lastRead := c.lastRead.Load()
	if lastRead == neverIdle {
		return
	}
	idle := time.Duration(time.Now().UnixNano() - lastRead)
	if idle >= c.options.IdleTimeout {
		c.Close(fmt.Errorf("%w: nothing received for %v, limit %v", ErrIdleTimeout, idle.Round(time.Millisecond),
			c.options.IdleTimeout))
		return
	}
	c.idleTimer.Reset(c.options.IdleTimeout - idle)
}
