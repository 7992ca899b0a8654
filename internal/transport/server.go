package transport

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

const (
	// serverKeepAlive is the interval of TCP keep-alive probes on accepted connections.
	serverKeepAlive = 30 * time.Second
	// stopRetryInterval is how often Stop repeats its call of gnet's Engine.Stop.
	stopRetryInterval = 5 * time.Millisecond
)

// Server is a listener with its own event loops. It is safe for concurrent use. Stop ends it.
type Server struct {
	engine gnet.Engine
	addr   string
	done   chan error // receives the result of gnet.Run
}

// Listen listens at addr, as host:port, and starts a Server; port 0 means any free port. newHandler returns the handler of
// each accepted connection and is called on its event loop. The error reports an address that is malformed or can't be
// listened at.
func Listen(addr string, options Options, newHandler func(c *Conn) Handler) (*Server, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, fmt.Errorf("transport: listen address %q: %w", addr, err)
	}
	events := &eventHandler{options: options.withDefaults(), newHandler: newHandler, booted: make(chan gnet.Engine, 1)}
	s := &Server{done: make(chan error, 1)}
	go func() { s.done <- gnet.Run(events, "tcp://"+addr, engineOptions(events.options)...) }()
	select {
	case s.engine = <-events.booted:
	case err := <-s.done:
		return nil, fmt.Errorf("transport: listen on %s: %w", addr, err)
	}
	bound, err := boundAddress(s.engine)
	if err != nil {
		_ = s.Stop(context.Background()) // the error of boundAddress is returned instead
		return nil, fmt.Errorf("transport: get the bound address of listener %s: %w", addr, err)
	}
	s.addr = bound
	return s, nil
}

func engineOptions(o Options) []gnet.Option {
	return []gnet.Option{gnet.WithNumEventLoop(o.EventLoops), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReuseAddr(true), gnet.WithTCPKeepAlive(serverKeepAlive),
		gnet.WithLogger(discardLogger{}), gnet.WithLogLevel(logging.FatalLevel)}
}

// boundAddress returns the address on which an engine listens.
func boundAddress(engine gnet.Engine) (string, error) {
	descriptor, err := engine.Dup()
	if err != nil {
		return "", err
	}
	defer func() { _ = syscall.Close(descriptor) }() // a duplicate of the listener's descriptor
	address, err := syscall.Getsockname(descriptor)
	if err != nil {
		return "", err
	}
	switch address := address.(type) {
	case *syscall.SockaddrInet4:
		return (&net.TCPAddr{IP: address.Addr[:], Port: address.Port}).String(), nil
	case *syscall.SockaddrInet6:
		return (&net.TCPAddr{IP: address.Addr[:], Port: address.Port}).String(), nil
	}
	return "", fmt.Errorf("got address type %T, want an IPv4 or IPv6 address", address)
}

// Addr returns the address on which the server listens, with the actual port.
func (s *Server) Addr() string { return s.addr }

// Stop closes the listener and all connections and waits until the event loops have ended. The error is that of the event
// loops, or that of ctx if ctx ends first.
func (s *Server) Stop(ctx context.Context) error {
	// gnet may call OnBoot before its event loops run, and ignores Engine.Stop until they do, so the call is repeated.
	for {
		_ = s.engine.Stop(ctx) // the result arrives on s.done
		select {
		case err := <-s.done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(stopRetryInterval):
		}
	}
}
