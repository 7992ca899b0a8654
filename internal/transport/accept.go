package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// Acceptor takes connections of a listener into a dialer's loop, so that one loop has connections of both directions.
//
// It is there beside Server because gnet's own listener ends its engine where accepting fails, as it does when the
// process has no descriptor left.
type Acceptor struct {
	ln   *net.TCPListener
	done chan struct{}
}

// drainFor is how long a draining acceptor goes on taking what the listener's queue holds.
const drainFor = 20 * time.Millisecond

// acceptPause is how long an acceptor waits after accepting has failed: descriptors come free by time.
const acceptPause = 20 * time.Millisecond

// Accept listens at addr. admit is called before each connection is taken from the listener's queue, and may wait;
// newPeer makes the peer of each, whose Closed is called once in any case.
func (d *Dialer) Accept(addr string, admit func(), newPeer func(c *Conn) Handler) (*Acceptor, error) {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: listen address %q: %w", addr, err)
	}
	ln, err := net.ListenTCP("tcp", at)
	if err != nil {
		return nil, fmt.Errorf("transport: listen on %s: %w", addr, err)
	}
	a := &Acceptor{ln: ln, done: make(chan struct{})}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		defer close(a.done)
		for admitted := false; ; {
			if !admitted {
				admit()
				admitted = true
			}
			nc, err := ln.AcceptTCP()
			switch {
			case errors.Is(err, net.ErrClosed) || d.ctx.Err() != nil:
				if nc != nil {
					_ = nc.Close()
				}
				return
			case errors.Is(err, os.ErrDeadlineExceeded): // it drains, and the queue is empty
				_ = ln.Close()
				return
			case err != nil: // no descriptor is left, or the peer has gone already
				time.Sleep(acceptPause)
				continue
			}
			admitted = false
			c := &Conn{opt: &d.opt}
			c.peer = newPeer(c)
			if _, err := d.client.EnrollContext(nc, c); err != nil {
				c.peer.Closed(c, fmt.Errorf("transport: enroll connection of %s: %w", nc.RemoteAddr(), err))
			}
		}
	}()
	return a, nil
}

// Addr is the bound address.
func (a *Acceptor) Addr() string { return a.ln.Addr().String() }

// Drain takes what has connected already and ends listening then. Risk covered: the listener's close resets the connections in
// its queue, with requests that the machine has accepted though the process has not.
func (a *Acceptor) Drain() { _ = a.ln.SetDeadline(time.Now().Add(drainFor)) }

// Done is closed when listening has ended.
func (a *Acceptor) Done() <-chan struct{} { return a.done }

// Stopped tells whether listening has ended.
func (a *Acceptor) Stopped() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// Stop ends listening; connections stay.
func (a *Acceptor) Stop() {
	_ = a.ln.Close()
	<-a.done
}
