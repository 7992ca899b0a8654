package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// drainPeriod is how long an acceptor waits for each further connection after Drain.
	drainPeriod = 20 * time.Millisecond
	// maxDrain is how long after Drain an acceptor stops listening at the latest, however many connections arrive.
	maxDrain = time.Second
	// acceptRetryDelay is how long an acceptor waits after a failed accept, so that file descriptors can become free.
	acceptRetryDelay = 20 * time.Millisecond
)

// Acceptor accepts connections and passes them to a Dialer's event loops, so that the same loops serve accepted and dialed
// connections. It is safe for concurrent use. Stop or Drain ends it, and the Dialer's Stop waits for its end.
//
// It continues after a failed accept. gnet's own listener stops all event loops when the process has no free file descriptor,
// and keeps a connection open that it accepts while it stops.
type Acceptor struct {
	listener   *net.TCPListener
	dialer     *Dialer
	admit      func()                // called before each accept; may block
	newHandler func(c *Conn) Handler // returns the handler of each connection
	done       chan struct{}         // closed when the acceptor has stopped listening
	drainedAt  atomic.Int64          // when Drain was called, in Unix nanoseconds; 0: never
}

// StartAcceptor listens at addr, as host:port, and starts an acceptor. admit is called before each connection is accepted from
// the listen backlog, and may block to delay it. newHandler returns the handler of each connection; the handler's Closed is
// called exactly once. Both functions are called on the acceptor's goroutine. The error reports an address that is malformed
// or can't be listened at.
func (d *Dialer) StartAcceptor(addr string, admit func(), newHandler func(c *Conn) Handler) (*Acceptor, error) {
	address, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: listen address %q: %w", addr, err)
	}
	listener, err := net.ListenTCP("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("transport: listen on %s: %w", addr, err)
	}
	a := &Acceptor{listener: listener, dialer: d, admit: admit, newHandler: newHandler, done: make(chan struct{})}
	d.goroutines.Go(a.serve)
	return a, nil
}

// serve accepts connections until the listener is closed, the drain period has ended or the dialer stops.
func (a *Acceptor) serve() {
	defer close(a.done)
	for admitted := false; ; {
		if !admitted {
			a.admit()
			admitted = true
		}
		acceptStarted := time.Now()
		a.extendDrain(acceptStarted)
		socket, err := a.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed) || a.dialer.lifetime.Err() != nil:
			if socket != nil {
				_ = socket.Close()
			}
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && a.mayHaveBacklogAt(time.Now(), acceptStarted):
			continue
		case errors.Is(err, os.ErrDeadlineExceeded): // the drain period has ended
			_ = a.listener.Close()
			return
		case err != nil: // no file descriptor is free, or the peer has already closed the connection
			time.Sleep(acceptRetryDelay)
			continue
		}
		admitted = false
		a.enroll(socket)
	}
}

// enroll passes an accepted connection to an event loop.
func (a *Acceptor) enroll(socket *net.TCPConn) {
	c := &Conn{options: &a.dialer.options, queued: &a.dialer.events.queued,
		writes: &a.dialer.events.writes}
	c.handler = a.newHandler(c)
	if _, err := a.dialer.client.EnrollContext(socket, c); err != nil {
		c.handler.Closed(c, fmt.Errorf("transport: pass connection from %s to an event loop: %w", socket.RemoteAddr(), err))
	}
}

// Addr returns the address on which the acceptor listens, with the actual port.
func (a *Acceptor) Addr() string { return a.listener.Addr().String() }

// extendDrain lets the accept that is about to start wait for drainPeriod, if the acceptor is being drained.
func (a *Acceptor) extendDrain(now time.Time) {
	drainedAt := a.drainedAt.Load()
	if drainedAt == 0 {
		return
	}
	deadline := now.Add(drainPeriod)
	if latest := time.Unix(0, drainedAt).Add(maxDrain); deadline.After(latest) {
		deadline = latest
	}
	_ = a.listener.SetDeadline(deadline) // fails if the listener is closed already
}

// mayHaveBacklogAt reports whether an accept that has reached its deadline by now proves nothing about the listen backlog: it
// started before Drain, or the process was stopped meanwhile, so that the deadline may have passed before the accept.
func (a *Acceptor) mayHaveBacklogAt(now, acceptStarted time.Time) bool {
	drainedAt := time.Unix(0, a.drainedAt.Load())
	expired := now.Sub(drainedAt) >= maxDrain
	return !expired && (acceptStarted.Before(drainedAt) || now.Sub(acceptStarted) > 2*drainPeriod)
}

// Drain makes the acceptor accept the connections in the listen backlog and then stop listening: when none has arrived for
// drainPeriod, or after maxDrain. It returns at once. Closing the listener directly would reset these connections, although their
// peers may have sent requests already.
func (a *Acceptor) Drain() {
	a.drainedAt.Store(time.Now().UnixNano())
	_ = a.listener.SetDeadline(time.Now().Add(drainPeriod)) // fails if the listener is closed already
}

// Done returns a channel that is closed when the acceptor has stopped listening.
func (a *Acceptor) Done() <-chan struct{} { return a.done }

// Stopped reports whether the acceptor has stopped listening.
func (a *Acceptor) Stopped() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// Stop stops listening and waits for the acceptor's goroutine. Connections stay open.
func (a *Acceptor) Stop() {
	_ = a.listener.Close() // fails if the listener is closed already
	<-a.done
}
