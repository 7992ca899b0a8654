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

// Server is a listener with its own event loops.
type Server struct {
	engine gnet.Engine
	addr   string
	done   chan error
}

// Listen binds addr (host:port; port 0 picks one) and serves. accept makes the peer of each new connection; it
// is called on that connection's loop.
func Listen(addr string, opt Options, accept func(c *Conn) Handler) (*Server, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, fmt.Errorf("transport: listen address %q: %w", addr, err)
	}
	h := &handler{opt: opt.withDefaults(), accept: accept, booted: make(chan gnet.Engine, 1)}
	s := &Server{done: make(chan error, 1)}
	go func() { s.done <- gnet.Run(h, "tcp://"+addr, engineOptions(h.opt)...) }()
	select {
	case s.engine = <-h.booted:
	case err := <-s.done:
		return nil, fmt.Errorf("transport: listen on %s: %w", addr, err)
	}
	bound, err := boundAddress(s.engine)
	if err != nil {
		_ = s.Stop(context.Background())
		return nil, fmt.Errorf("transport: address of %s: %w", addr, err)
	}
	s.addr = bound
	return s, nil
}

func engineOptions(o Options) []gnet.Option {
	return []gnet.Option{gnet.WithNumEventLoop(o.Loops), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReuseAddr(true), gnet.WithTCPKeepAlive(30 * time.Second),
		gnet.WithLogger(quiet{}), gnet.WithLogLevel(logging.FatalLevel)}
}

func boundAddress(e gnet.Engine) (string, error) {
	fd, err := e.Dup()
	if err != nil {
		return "", err
	}
	defer syscall.Close(fd)
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return (&net.TCPAddr{IP: sa.Addr[:], Port: sa.Port}).String(), nil
	case *syscall.SockaddrInet6:
		return (&net.TCPAddr{IP: sa.Addr[:], Port: sa.Port}).String(), nil
	}
	return "", fmt.Errorf("unknown kind of address %T", sa)
}

// Addr is the bound address, with the port that was picked.
func (s *Server) Addr() string { return s.addr }

// Stop closes the listener and all connections and waits for the loops to end.
func (s *Server) Stop(ctx context.Context) error {
	// gnet's engine may not have finished booting its loops when it hands itself out: it is asked again.
	for {
		_ = s.engine.Stop(ctx)
		select {
		case err := <-s.done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// quiet drops what gnet logs: what matters of it reaches Closed.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}
