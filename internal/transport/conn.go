// Package transport owns sockets: gnet event loops, bounded queues each way, idle and connect time-outs and
// reconnection. It must not know what the bytes mean.
package transport

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// The reasons for which this side closes a connection. Closed gets them, wrapped with figures.
var (
	ErrSlowReader     = errors.New("transport: the peer does not read what is sent")
	ErrReadBufferFull = errors.New("transport: the peer sends more than can be taken in")
	ErrIdleTimeout    = errors.New("transport: nothing was heard for too long")
	ErrStopping       = errors.New("transport: stopping")
	ErrPeerClosed     = errors.New("transport: closed by the peer")
	ErrPartialMessage = errors.New("transport: half a message came, and no more")
)

// Options bound a connection. Zero values mean the defaults given.
type Options struct {
	MaxReadBuffer int           // unparsed bytes kept, 2 MiB
	MaxWriteQueue int           // bytes queued for the peer, 8 MiB
	IdleTimeout   time.Duration // close when nothing was read for so long; 0: never
	Loops         int           // event loops, 1
	Log           zerolog.Logger
}

func (o Options) withDefaults() Options {
	if o.MaxReadBuffer <= 0 {
		o.MaxReadBuffer = 2 << 20
	}
	if o.MaxWriteQueue <= 0 {
		o.MaxWriteQueue = 8 << 20
	}
	if o.Loops <= 0 {
		o.Loops = 1
	}
	return o
}

// Handler takes what happens on one connection. All calls come from the connection's event loop and must not
// block or take a lock that others hold for long.
type Handler interface {
	// Receive is given all bytes not used yet and tells how many it has used; it must keep no part of in. An
	// error closes the connection.
	Receive(c *Conn, in []byte) (used int, err error)
	// Closed is called once; why is never nil.
	Closed(c *Conn, why error)
}

// Conn is one connection. Its methods may be called from any goroutine unless they say otherwise.
type Conn struct {
	g      gnet.Conn
	peer   Handler
	opt    *Options
	queued atomic.Int64 // handed over, not yet written
	heard  atomic.Int64 // Unix nanoseconds of the last bytes
	idle   *time.Timer
	half   *time.Timer
	mu     sync.Mutex
	todo   []func() // for the loop
	called bool     // the loop is on its way to them
	closed bool     // of the loop
	gone   atomic.Bool
	why    error // of the loop
	remote string
}

// Remote is the peer's address.
func (c *Conn) Remote() string { return c.remote }

// Send queues b, which the caller must not touch any more. It is false where the queue is full: the peer is
// then cut off, since it does not read.
func (c *Conn) Send(b []byte) bool {
	return c.RunInLoop(len(b), func(write func([]byte)) { write(b) })
}

// RunInLoop runs f on the connection's loop, unless it has closed by then. f may write size bytes or so. It is false
// where the queue is full or the loop has stopped; f is then never run.
func (c *Conn) RunInLoop(size int, f func(write func([]byte))) bool {
	if n := c.queued.Add(int64(size)); n > int64(c.opt.MaxWriteQueue) {
		c.queued.Add(-int64(size))
		c.Close(fmt.Errorf("%w: %d bytes wait", ErrSlowReader, n))
		return false
	}
	return c.queue(func() {
		c.queued.Add(-int64(size))
		if c.closed {
			return
		}
		f(c.write)
		if n := c.g.OutboundBuffered(); !c.closed && n > c.opt.MaxWriteQueue {
			c.closeNow(fmt.Errorf("%w: %d bytes wait", ErrSlowReader, n))
		}
	})
}

// queue has f run on the connection's loop, in the order of the calls; false: the loop has stopped. Risk covered: the loop's
// own queue has two lanes and puts what comes while over 1,024 tasks wait behind what comes after it, so messages would
// change places.
func (c *Conn) queue(f func()) bool {
	c.mu.Lock()
	c.todo = append(c.todo, f)
	first := !c.called
	c.called = true
	c.mu.Unlock()
	if !first {
		return true
	}
	if c.g.EventLoop().Execute(context.Background(), run(c.work)) != nil {
		c.mu.Lock()
		c.todo, c.called = nil, false
		c.mu.Unlock()
		return false
	}
	return true
}

// work runs on the loop.
func (c *Conn) work() {
	for {
		c.mu.Lock()
		todo := c.todo
		c.todo = nil
		c.called = len(todo) > 0
		c.mu.Unlock()
		if len(todo) == 0 {
			return
		}
		for _, f := range todo {
			f()
		}
	}
}

// IsClosed tells whether the connection has closed.
func (c *Conn) IsClosed() bool { return c.gone.Load() }

// WriteInLoop writes from within the loop, as from Receive.
func (c *Conn) WriteInLoop(b []byte) { c.write(b) }

func (c *Conn) write(b []byte) {
	if c.closed || len(b) == 0 {
		return
	}
	if _, err := c.g.Write(b); err != nil {
		c.why = fmt.Errorf("transport: write: %w", err)
	}
}

// Resume has Receive called again with what is there, if anything, for a peer that had left bytes unused. Within the
// loop only.
func (c *Conn) Resume() {
	if !c.closed && c.g.InboundBuffered() > 0 {
		_ = c.g.Wake(nil)
	}
}

// CloseInLoop closes from within the loop, after what was written.
func (c *Conn) CloseInLoop(why error) { c.closeNow(why) }

// SetMessageTimeout closes the connection unless it is called again within d; 0 lifts it. Within the loop only.
func (c *Conn) SetMessageTimeout(d time.Duration) {
	if c.half != nil {
		c.half.Stop()
		c.half = nil
	}
	if d > 0 && !c.closed {
		c.half = time.AfterFunc(d, func() { c.Close(ErrPartialMessage) })
	}
}

// DisableIdleTimeout lifts the idle time-out, for a connection on which only this side speaks.
func (c *Conn) DisableIdleTimeout() { c.heard.Store(1<<63 - 1) }

// CloseWrite sends what was queued before and then ends our side; what the peer still sends is read until it has closed too.
func (c *Conn) CloseWrite() {
	c.queue(func() {
		if c.closed {
			return
		}
		if c.g.OutboundBuffered() > 0 { // the peer is slow
			time.AfterFunc(flushAgain, c.CloseWrite)
			return
		}
		_ = unix.Shutdown(c.g.Fd(), unix.SHUT_WR)
	})
}

// flushAgain is after how long a connection whose peer is slow is looked at again.
const flushAgain = 2 * time.Millisecond

// Close closes the connection with a reason, after what was queued before.
func (c *Conn) Close(why error) {
	c.queue(func() { c.closeNow(why) })
}

func (c *Conn) closeNow(why error) {
	if c.closed {
		return
	}
	if c.why == nil {
		c.why = why
	}
	_ = c.g.EventLoop().Close(c.g)
}

type run func()

func (r run) Run(context.Context) error { r(); return nil }

// handler is gnet's side of this package.
type handler struct {
	gnet.BuiltinEventEngine
	opt    Options
	accept func(c *Conn) Handler
	booted chan gnet.Engine
	loops  sync.Map // gnet.EventLoop: those that have had a connection
}

func (h *handler) OnBoot(e gnet.Engine) gnet.Action {
	if h.booted != nil {
		h.booted <- e
	}
	return gnet.None
}

func (h *handler) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	c, dialled := g.Context().(*Conn)
	if !dialled {
		c = &Conn{opt: &h.opt}
		g.SetContext(c)
	}
	c.g, c.remote = g, g.RemoteAddr().String()
	h.loops.LoadOrStore(g.EventLoop(), struct{}{})
	c.heard.Store(time.Now().UnixNano())
	if !dialled {
		c.peer = h.accept(c)
	}
	if h.opt.IdleTimeout > 0 {
		c.idle = time.AfterFunc(h.opt.IdleTimeout, c.checkIdle)
	}
	if d, ok := c.peer.(interface{ Opened(c *Conn) }); ok {
		d.Opened(c)
	}
	return nil, gnet.None
}

// checkIdle runs off the loop; it only reads an atomic and queues a close.
func (c *Conn) checkIdle() {
	heard := c.heard.Load()
	if heard == 1<<63-1 {
		return
	}
	silent := time.Duration(time.Now().UnixNano() - heard)
	if silent >= c.opt.IdleTimeout {
		c.Close(fmt.Errorf("%w: %v", ErrIdleTimeout, silent.Round(time.Millisecond)))
		return
	}
	c.idle.Reset(c.opt.IdleTimeout - silent)
}

func (h *handler) OnTraffic(g gnet.Conn) gnet.Action {
	c := g.Context().(*Conn)
	if c.opt.IdleTimeout > 0 && c.heard.Load() != 1<<63-1 {
		c.heard.Store(time.Now().UnixNano())
	}
	for !c.closed {
		in, err := g.Peek(-1)
		if err != nil || len(in) == 0 {
			return gnet.None
		}
		used, err := c.peer.Receive(c, in)
		if used > 0 {
			_, _ = g.Discard(used)
		}
		if err != nil {
			if c.why == nil {
				c.why = err
			}
			return gnet.Close
		}
		if used == 0 {
			if len(in) > h.opt.MaxReadBuffer {
				c.why = fmt.Errorf("%w: %d bytes wait", ErrReadBufferFull, len(in))
				return gnet.Close
			}
			return gnet.None
		}
	}
	return gnet.None
}

// flush waits until the loops have done what was queued before. Risk covered: the engine's end overtakes what waits in a
// loop's queue, as the last answer of all.
func (h *handler) flush() {
	h.loops.Range(func(l, _ any) bool {
		done := make(chan struct{})
		if l.(gnet.EventLoop).Execute(context.Background(), run(func() { close(done) })) == nil {
			<-done
		}
		return true
	})
}

func (h *handler) OnClose(g gnet.Conn, err error) gnet.Action {
	c, ok := g.Context().(*Conn)
	if !ok || c.closed {
		return gnet.None
	}
	c.closed = true
	c.gone.Store(true)
	if c.idle != nil {
		c.idle.Stop()
	}
	c.SetMessageTimeout(0)
	why := c.why
	switch {
	case why != nil:
	case err != nil:
		why = fmt.Errorf("%w: %w", ErrPeerClosed, err)
	default:
		why = ErrPeerClosed
	}
	c.peer.Closed(c, why)
	return gnet.None
}
