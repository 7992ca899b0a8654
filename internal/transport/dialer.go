package transport

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// Dialer makes connections that live on its own event loops.
type Dialer struct {
	client *gnet.Client
	h      *handler
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewDialer starts the loops.
func NewDialer(opt Options) (*Dialer, error) {
	d := &Dialer{opt: opt.withDefaults()}
	h := &handler{opt: d.opt}
	client, err := gnet.NewClient(h, gnet.WithNumEventLoop(d.opt.Loops), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(quiet{}), gnet.WithLogLevel(logging.FatalLevel))
	if err != nil {
		return nil, fmt.Errorf("transport: dialer: %w", err)
	}
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("transport: start dialer: %w", err)
	}
	d.client, d.h = client, h
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d, nil
}

// Dial connects within timeout and gives the connection to peer. An Opened method of peer is called first.
func (d *Dialer) Dial(ctx context.Context, addr string, timeout time.Duration, peer Handler) (*Conn, error) {
	nd := net.Dialer{Timeout: timeout}
	nc, err := nd.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("transport: connect to %s: %w", addr, err)
	}
	c := &Conn{peer: peer, opt: &d.opt}
	if _, err := d.client.EnrollContext(nc, c); err != nil {
		return nil, fmt.Errorf("transport: enroll connection to %s: %w", addr, err)
	}
	return c, nil
}

// Stop ends all links and connections, after what was queued on them, and waits for them.
func (d *Dialer) Stop() error {
	d.cancel()
	d.wg.Wait()
	d.h.flush()
	return d.client.Stop()
}

// Backoff is how a link waits between attempts: doubled each time up to Most, with jitter so that many links
// that broke at one moment don't come back at one moment.
type Backoff struct{ Initial, Max time.Duration }

func (b Backoff) wait(failures int) time.Duration {
	w := b.Max
	if failures < 16 {
		w = min(b.Initial<<failures, b.Max)
	}
	return w/2 + rand.N(w/2+1)
}

// Link keeps one connection to an address, connecting anew whenever it breaks.
type Link struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Link starts a link. newPeer makes the peer of each connection; down is told of each connection that could
// not be made or has closed. Both are called from the link's goroutine and may block.
func (d *Dialer) Link(addr string, timeout time.Duration, b Backoff, newPeer func() Handler, down func(error)) *Link {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &Link{cancel: cancel, done: make(chan struct{})}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		defer close(l.done)
		for failures := 0; ctx.Err() == nil; {
			p := &linked{Handler: newPeer(), gone: make(chan struct{})}
			began := time.Now()
			c, err := d.Dial(ctx, addr, timeout, p)
			if err != nil {
				down(err)
				failures++
			} else {
				select {
				case <-p.gone:
				case <-ctx.Done():
					c.Close(ErrStopping)
					<-p.gone
				}
				down(p.why)
				failures++
				if time.Since(began) > b.Max {
					failures = 0 // it had held
				}
			}
			select {
			case <-ctx.Done():
			case <-time.After(b.wait(max(failures-1, 0))):
			}
		}
	}()
	return l
}

// Stop ends the link and waits for its connection to close.
func (l *Link) Stop() {
	l.cancel()
	<-l.done
}

// Cancel ends the link without waiting, for callers that the link's peer may be waiting for.
func (l *Link) Cancel() { l.cancel() }

type linked struct {
	Handler
	gone chan struct{}
	why  error
}

func (p *linked) Opened(c *Conn) {
	if o, ok := p.Handler.(interface{ Opened(c *Conn) }); ok {
		o.Opened(c)
	}
}

func (p *linked) Closed(c *Conn, why error) {
	p.Handler.Closed(c, why)
	p.why = why
	close(p.gone)
}
