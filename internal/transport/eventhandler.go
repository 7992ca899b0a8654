package transport

import (
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// eventHandler passes gnet's events to connections and their handlers. gnet calls the On methods on the event loops.
type eventHandler struct {
	gnet.BuiltinEventEngine
	options Options
	queued  queuedTasks // of all connections
	writes  writeBudget // of all connections
}

// OnOpen implements gnet.EventHandler. The context of a connection is the Conn with which it was enrolled.
func (h *eventHandler) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	c := socket.Context().(*Conn)
	if !c.enrollment.CompareAndSwap(enrollmentPending, enrollmentOpened) {
		c.closed.Store(true) // the handler is not notified
		return nil, gnet.Close
	}
	c.socket, c.remoteAddr = socket, socket.RemoteAddr().String()
	c.lastRead.Store(time.Now().UnixNano())
	h.writes.add(c)
	c.startIdleTimer()
	if opener, ok := c.handler.(Opener); ok {
		opener.Opened(c)
	}
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (h *eventHandler) OnTraffic(socket gnet.Conn) gnet.Action {
	c := socket.Context().(*Conn)
	c.markRead()
	for !c.closed.Load() {
		in, err := socket.Peek(-1)
		if err != nil || len(in) == 0 {
			return gnet.None
		}
		used, err := c.handler.Receive(c, in)
		if used > 0 {
			_, _ = socket.Discard(used) // can't fail, since Peek has just returned these bytes
		}
		if err != nil {
			if c.reason == nil {
				c.reason = err
			}
			return gnet.Close
		}
		if used > 0 {
			continue
		}
		if len(in) > h.options.MaxReadBuffer {
			c.reason = fmt.Errorf("%w: %d bytes, limit %d", ErrReadBufferFull, len(in), h.options.MaxReadBuffer)
			return gnet.Close
		}
		return gnet.None
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (h *eventHandler) OnClose(socket gnet.Conn, err error) gnet.Action {
	c, ok := socket.Context().(*Conn)
	if !ok || c.closed.Swap(true) {
		return gnet.None
	}
	h.writes.remove(c)
	c.stopTimers()
	c.handler.Closed(c, c.closeReason(err))
	return gnet.None
}

// closeReason returns why the connection closed: the reason why this side closed it, or else ErrPeerClosed with the error of
// the socket, if there is one.
func (c *Conn) closeReason(socketError error) error {
	switch {
	case c.reason != nil:
		return c.reason
	case socketError != nil:
		return fmt.Errorf("%w: %w", ErrPeerClosed, socketError)
	}
	return ErrPeerClosed
}

// queuedTasks counts the connections that have functions queued on an event loop. It is safe for concurrent use.
type queuedTasks struct {
	mu    sync.Mutex
	count int
	none  chan struct{} // closed when count becomes 0; nil unless await is called
}

func (q *queuedTasks) add() {
	q.mu.Lock()
	q.count++
	q.mu.Unlock()
}

func (q *queuedTasks) done() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count--
	if q.count == 0 && q.none != nil {
		close(q.none)
		q.none = nil
	}
}

// await waits until no connection has functions queued. Without it, stopping the engine would discard them, for instance the last
// message on a connection. A task that is queued behind them does not show that they have run, since gnet's queue has two
// priorities, and the task may overtake them.
func (q *queuedTasks) await() {
	q.mu.Lock()
	if q.count == 0 {
		q.mu.Unlock()
		return
	}
	if q.none == nil {
		q.none = make(chan struct{})
	}
	none := q.none
	q.mu.Unlock()
	<-none
}
