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

// Dialer makes connections, and serves them and those of its acceptors on its own event loops. It is safe for concurrent use.
// Stop ends it.
type Dialer struct {
	client     *gnet.Client
	events     *eventHandler
	options    Options
	lifetime   context.Context // canceled by Stop; links and acceptors then end
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // of links, acceptors and enrollments

	mu sync.Mutex // held by Stop while it cancels lifetime, and while an enrollment starts
}

// NewDialer starts event loops and returns a Dialer that uses them.
func NewDialer(options Options) (*Dialer, error) {
	d := &Dialer{options: options.withDefaults()}
	events := &eventHandler{options: d.options, writes: writeBudget{limit: d.options.MaxQueuedWrites}}
	client, err := gnet.NewClient(events, gnet.WithNumEventLoop(d.options.EventLoops), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(discardLogger{}), gnet.WithLogLevel(logging.FatalLevel))
	if err != nil {
		return nil, fmt.Errorf("transport: create event loops of dialer: %w", err)
	}
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("transport: start event loops of dialer: %w", err)
	}
	d.client, d.events = client, events
	d.lifetime, d.cancel = context.WithCancel(context.Background())
	return d, nil
}

// Dial connects to addr, as host:port, and passes the connection's events to handler. It returns within timeout, also if no event
// loop takes the connection over. If it fails, no method of handler is called, and the error wraps that of net.Dialer, such as
// syscall.ECONNREFUSED or context.Canceled, or is ErrStopping after Stop.
func (d *Dialer) Dial(ctx context.Context, addr string, timeout time.Duration, handler Handler) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var netDialer net.Dialer
	socket, err := netDialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: connect to %s: %w", addr, err)
	}
	c := &Conn{handler: handler, options: &d.options, queued: &d.events.queued, writes: &d.events.writes}
	if err := d.enroll(ctx, socket, c); err != nil {
		return nil, fmt.Errorf("transport: pass connection to %s to an event loop: %w", addr, err)
	}
	return c, nil
}

// enroll passes a connection to an event loop, and waits until it is open or ctx ends. In the latter case the event loop closes
// the connection when it takes it over.
func (d *Dialer) enroll(ctx context.Context, socket net.Conn, c *Conn) error {
	enrolled, err := d.startEnrollment(socket, c)
	if err != nil {
		return err
	}
	select {
	case err := <-enrolled:
		return err
	case <-ctx.Done():
	}
	if c.enrollment.CompareAndSwap(enrollmentPending, enrollmentAbandoned) {
		return ctx.Err()
	}
	return <-enrolled // the event loop has just opened the connection
}

// startEnrollment starts to pass a connection to an event loop. The returned channel receives the result when the loop has taken
// the connection over. The error is ErrStopping after Stop: the event loops may have ended, and would never take it over.
func (d *Dialer) startEnrollment(socket net.Conn, c *Conn) (<-chan error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lifetime.Err() != nil {
		_ = socket.Close()
		return nil, ErrStopping
	}
	enrolled := make(chan error, 1)
	d.goroutines.Go(func() {
		_, err := d.client.EnrollContext(socket, c)
		enrolled <- err
	})
	return enrolled, nil
}

// Stop ends all links and acceptors, then writes what is queued, closes all connections and stops the event loops. It waits
// for all of their goroutines. The error is that of stopping the event loops.
func (d *Dialer) Stop() error {
	d.mu.Lock()
	d.cancel()
	d.mu.Unlock()
	d.goroutines.Wait()
	d.events.queued.await()
	return d.client.Stop()
}

// discardLogger discards gnet's log, since Handler.Closed receives the errors of connections.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
