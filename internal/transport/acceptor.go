package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

const (
	// drainPeriod is how long a draining acceptor accepts connections from the listener's queue.
	drainPeriod = 20 * time.Millisecond
	// acceptRetryDelay is how long an acceptor waits after a failed accept, for descriptors to become free.
	acceptRetryDelay = 20 * time.Millisecond
)

// Acceptor accepts the connections of a listener into a Dialer's event loops, so that one loop serves connections of both
// directions. It is safe for concurrent use. Stop or Drain ends it, and the Dialer's Stop waits for it.
//
// Unlike Server, it survives a failed accept: gnet's listener ends its engine when the process has no free descriptors.
type Acceptor struct {
	listener   *net.TCPListener
	dialer     *Dialer
	admit      func()
	newHandler func(c *Conn) Handler
	done       chan struct{}
}

// StartAcceptor listens at addr, as host:port. admit is called before each connection is accepted from the listener's queue,
// and may block. newHandler returns the handler of each; its Closed is called exactly once. Both are called from the
// acceptor's goroutine. The error reports an address that is malformed or unavailable.
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

// serve accepts connections until the listener is closed, the queue is drained or the dialer stops.
func (a *Acceptor) serve() {
	defer close(a.done)
	for admitted := false; ; {
		if !admitted {
			a.admit()
			admitted = true
		}
		socket, err := a.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed) || a.dialer.lifetime.Err() != nil:
			if socket != nil {
				_ = socket.Close()
			}
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // Drain was called and the queue is empty
			_ = a.listener.Close()
			return
		case err != nil: // no descriptor is free, or the peer has closed the connection
			time.Sleep(acceptRetryDelay)
			continue
		}
		admitted = false
		a.enroll(socket)
	}
}

// enroll passes a connection to an event loop.
func (a *Acceptor) enroll(socket *net.TCPConn) {
	c := &Conn{options: &a.dialer.options}
	c.handler = a.newHandler(c)
	if _, err := a.dialer.client.EnrollContext(socket, c); err != nil {
		c.handler.Closed(c, fmt.Errorf("transport: enroll connection of %s: %w", socket.RemoteAddr(), err))
	}
}

// Addr returns the bound address, with the actual port.
func (a *Acceptor) Addr() string { return a.listener.Addr().String() }

// Drain accepts the connections in the listener's queue and then stops listening. It returns at once. Closing the listener
// directly would reset these connections, although their peers may have sent requests already.
func (a *Acceptor) Drain() {
	_ = a.listener.SetDeadline(time.Now().Add(drainPeriod)) // it may be closed already
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
	_ = a.listener.Close() // it may be closed already
	<-a.done
}
