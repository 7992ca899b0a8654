package transport

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxBackoffDoublings bounds the shift of Backoff.Initial.
const maxBackoffDoublings = 16

// Backoff is how long a link waits between attempts to connect: Initial after the first failure, doubled with each further
// one up to Max, with jitter so that many links that broke at once do not reconnect at once.
type Backoff struct{ Initial, Max time.Duration }

// delay returns the delay after a number of failures beyond the first. It is between half of the backoff and all of it.
func (b Backoff) delay(failures int) time.Duration {
	backoff := b.Max
	if failures < maxBackoffDoublings {
		backoff = min(b.Initial<<failures, b.Max)
	}
	return backoff/2 + rand.N(backoff/2+1)
}

// Link maintains one connection to an address and reconnects when it breaks. It is safe for concurrent use. Stop or Cancel
// ends it; the Dialer's Stop ends it too, and waits for it.
type Link struct {
	dialer      *Dialer
	addr        string
	dialTimeout time.Duration // of one attempt to connect
	backoff     Backoff
	newHandler  func() Handler
	onDown      func(error)
	cancel      context.CancelFunc
	done        chan struct{}
}

// StartLink starts a link to addr. newHandler returns the handler of each connection. onDown is called with the reason each
// time a connection could not be made or has closed. Both are called from the link's goroutine and may block.
func (d *Dialer) StartLink(addr string, dialTimeout time.Duration, backoff Backoff, newHandler func() Handler,
	onDown func(error)) *Link {
	ctx, cancel := context.WithCancel(d.lifetime)
	l := &Link{
		dialer:      d,
		addr:        addr,
		dialTimeout: dialTimeout,
		backoff:     backoff,
		newHandler:  newHandler,
		onDown:      onDown,
		cancel:      cancel,
		done:        make(chan struct{}),
	}
	d.goroutines.Go(func() { l.run(ctx) })
	return l
}

// run connects, and reconnects after each failure, until ctx ends.
func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	for failures := 0; ctx.Err() == nil; {
		handler := &linkHandler{Handler: l.newHandler(), closed: make(chan struct{})}
		start := time.Now()
		connected, err := l.connectOnce(ctx, handler)
		l.onDown(err)
		failures++
		if connected && time.Since(start) > l.backoff.Max {
			failures = 0 // the connection was stable
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.backoff.delay(max(failures-1, 0))):
		}
	}
}

// connectOnce makes one connection and waits until it has closed. It closes the connection when ctx ends. It returns
// whether the connection was made, and the reason why it was not made or has closed.
func (l *Link) connectOnce(ctx context.Context, handler *linkHandler) (connected bool, reason error) {
	c, err := l.dialer.Dial(ctx, l.addr, l.dialTimeout, handler)
	if err != nil {
		return false, err
	}
	select {
	case <-handler.closed:
	case <-ctx.Done():
		c.Close(ErrStopping)
		<-handler.closed
	}
	return true, handler.reason
}

// Stop ends the link and waits for its connection to close.
func (l *Link) Stop() {
	l.cancel()
	<-l.done
}

// Cancel ends the link without waiting, for callers on which the link's callbacks may block.
func (l *Link) Cancel() { l.cancel() }

// linkHandler wraps the handler of a link's connection, to signal to the link that the connection has closed.
type linkHandler struct {
	Handler
	closed chan struct{} // closed by Closed
	reason error         // set before closed is closed
}

// Opened implements Opener.
func (h *linkHandler) Opened(c *Conn) {
	if opener, ok := h.Handler.(Opener); ok {
		opener.Opened(c)
	}
}

// Closed implements Handler.
func (h *linkHandler) Closed(c *Conn, reason error) {
	h.Handler.Closed(c, reason)
	h.reason = reason
	close(h.closed)
}
