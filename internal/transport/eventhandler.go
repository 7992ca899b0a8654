package transport

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// eventHandler connects gnet's events to the connections and their handlers. gnet calls the On methods on the event loops.
type eventHandler struct {
	gnet.BuiltinEventEngine
	options    Options
	newHandler func(c *Conn) Handler // of accepted connections; nil for a Dialer
	booted     chan gnet.Engine      // receives the engine when it runs; nil for a Dialer
	loops      sync.Map              // the set of gnet.EventLoop that have had a connection
}

// OnBoot implements gnet.EventHandler.
func (h *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	if h.booted != nil {
		h.booted <- engine
	}
	return gnet.None
}

// OnOpen implements gnet.EventHandler. The context of an enrolled connection is its Conn; an accepted one has none yet.
func (h *eventHandler) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	c, enrolled := socket.Context().(*Conn)
	if !enrolled {
		c = &Conn{options: &h.options}
		socket.SetContext(c)
	}
	c.socket, c.remoteAddr = socket, socket.RemoteAddr().String()
	h.loops.LoadOrStore(socket.EventLoop(), struct{}{})
	c.lastRead.Store(time.Now().UnixNano())
	if !enrolled {
		c.handler = h.newHandler(c)
	}
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
			_, _ = socket.Discard(used) // these bytes were just peeked at
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
			c.reason = fmt.Errorf("%w: %d bytes wait", ErrReadBufferFull, len(in))
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
	c.stopTimers()
	c.handler.Closed(c, c.closeReason(err))
	return gnet.None
}

// closeReason returns why the connection closed: the reason of this side or else ErrPeerClosed, with the error of the
// socket if there is one.
func (c *Conn) closeReason(socketError error) error {
	switch {
	case c.reason != nil:
		return c.reason
	case socketError != nil:
		return fmt.Errorf("%w: %w", ErrPeerClosed, socketError)
	}
	return ErrPeerClosed
}

// awaitQueuedTasks waits until the event loops have run the tasks that are queued now. Stopping the engine would discard
// these tasks, such as the last message of a connection.
func (h *eventHandler) awaitQueuedTasks() {
	h.loops.Range(func(loop, _ any) bool {
		done := make(chan struct{})
		task := loopTask(func() { close(done) })
		if loop.(gnet.EventLoop).Execute(context.Background(), task) == nil {
			<-done
		}
		return true
	})
}
