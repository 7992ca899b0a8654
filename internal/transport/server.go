package transport

import (
	"context"
	"fmt"
	"net"
)

// Server is a listener with its own event loops. It is safe for concurrent use. Stop ends it.
type Server struct {
	dialer   *Dialer // has the event loops
	acceptor *Acceptor
}

// Listen listens at addr, as host:port, and starts a Server; port 0 means any free port. newHandler returns the handler of
// each accepted connection; the connection may be used when it has opened, see Opener. The error reports an address that is
// malformed or can't be listened at.
func Listen(addr string, options Options, newHandler func(c *Conn) Handler) (*Server, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, fmt.Errorf("transport: listen address %q: %w", addr, err)
	}
	dialer, err := NewDialer(options)
	if err != nil {
		return nil, err
	}
	acceptor, err := dialer.StartAcceptor(addr, func() {}, newHandler)
	if err != nil {
		_ = dialer.Stop() // the error of StartAcceptor is returned instead
		return nil, err
	}
	return &Server{dialer: dialer, acceptor: acceptor}, nil
}

// Addr returns the address on which the server listens, with the actual port.
func (s *Server) Addr() string { return s.acceptor.Addr() }

// Stop closes the listener, writes what is queued, closes all connections and waits until the event loops have ended. The error
// is that of the event loops, or that of ctx if ctx ends first.
func (s *Server) Stop(ctx context.Context) error {
	stopped := make(chan error, 1)
	go func() {
		s.acceptor.Stop()
		stopped <- s.dialer.Stop()
	}()
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
