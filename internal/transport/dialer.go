package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// Dialer makes connections on its own event loops. It is safe for concurrent use. Stop ends it.
type Dialer struct {
	client     *gnet.Client
	events     *eventHandler
	options    Options
	lifetime   context.Context // ends at Stop, with the links and acceptors of the dialer
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // of links and acceptors
}

// NewDialer returns a Dialer with running event loops.
func NewDialer(options Options) (*Dialer, error) {
	d := &Dialer{options: options.withDefaults()}
	events := &eventHandler{options: d.options}
	client, err := gnet.NewClient(events, gnet.WithNumEventLoop(d.options.EventLoops), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(discardLogger{}), gnet.WithLogLevel(logging.FatalLevel))
	if err != nil {
		return nil, fmt.Errorf("transport: dialer: %w", err)
	}
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("transport: start dialer: %w", err)
	}
	d.client, d.events = client, events
	d.lifetime, d.cancel = context.WithCancel(context.Background())
	return d, nil
}

// Dial connects to addr, as host:port, within timeout and passes the connection's events to handler. An Opener's Opened is
// called first. If the connect call fails, no method of handler is called, and the error wraps that of the call, such as
// syscall.ECONNREFUSED or context.Canceled.
func (d *Dialer) Dial(ctx context.Context, addr string, timeout time.Duration, handler Handler) (*Conn, error) {
	netDialer := net.Dialer{Timeout: timeout}
	socket, err := netDialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: connect to %s: %w", addr, err)
	}
	c := &Conn{handler: handler, options: &d.options}
	if _, err := d.client.EnrollContext(socket, c); err != nil {
		return nil, fmt.Errorf("transport: enroll connection to %s: %w", addr, err)
	}
	return c, nil
}

// Stop ends all links, acceptors and connections after their queued writes, and waits for their goroutines and the event
// loops. The error is that of stopping the event loops.
func (d *Dialer) Stop() error {
	d.cancel()
	d.goroutines.Wait()
	d.events.awaitQueuedTasks()
	return d.client.Stop()
}

// discardLogger discards gnet's log, since errors of connections are passed to Handler.Closed.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
