package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

const (
	// drainPeriod is how long a draining acceptor goes on accepting what the listener's queue holds.
	drainPeriod = 20 * time.Millisecond
	// acceptRetryDelay is how long an acceptor waits after accepting has failed: descriptors come free over time.
	acceptRetryDelay = 20 * time.Millisecond
)

// Acceptor accepts the connections of a listener into a Dialer's event loops, so that one loop serves connections of both
// directions. Several goroutines may use it. Stop or Drain ends it, and the Dialer's Stop waits for it.
//
// It exists beside Server because gnet's own listener ends its engine when accepting fails, as it does when the process has
// no descriptor left.
type Acceptor struct {
	listener   *net.TCPListener
	dialer     *Dialer
	admit      func()
	newHandler func(c *Conn) Handler
	done       chan struct{}
}

// Accept listens at addr, as host:port. admit is called before each connection is accepted from the listener's queue, and may
// wait. newHandler makes the handler of each; its Closed is called once in any case. Both are called from the acceptor's
// goroutine. The error says that the address is malformed or cannot be listened at.
func (d *Dialer) Accept(addr string, admit func(), newHandler func(c *Conn) Handler) (*Acceptor, error) {
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
		case err != nil: // no descriptor is left, or the peer has gone already
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

// Addr returns the bound address, with the port that was picked.
func (a *Acceptor) Addr() string { return a.listener.Addr().String() }

// Drain accepts the connections that wait in the listener's queue and then ends listening; it does not wait. Closing the
// listener at once would reset them, with requests that the operating system has accepted though the process has not.
func (a *Acceptor) Drain() {
	_ = a.listener.SetDeadline(time.Now().Add(drainPeriod)) // it may be closed already
}

// Done returns a channel that is closed when listening has ended.
func (a *Acceptor) Done() <-chan struct{} { return a.done }

// Stopped reports whether listening has ended.
func (a *Acceptor) Stopped() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// Stop ends listening and waits for the acceptor's goroutine; connections stay open.
func (a *Acceptor) Stop() {
	_ = a.listener.Close() // it may be closed already
	<-a.done
}
