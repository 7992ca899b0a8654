package transport

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxBackoffDoublings limits how often Backoff.Initial is doubled, so that the shift does not overflow.
const maxBackoffDoublings = 16

// Backoff determines how long a link waits between attempts to connect: Initial after the first failure, and twice as long
// after each further failure, up to Max. The wait has jitter, so that links that failed together do not reconnect together.
type Backoff struct{ Initial, Max time.Duration }

// delay returns how long to wait before the next attempt. failures is the number of consecutive failures after the first.
// The jitter makes the delay half of the backoff at least, and all of it at most.
func (b Backoff) delay(failures int) time.Duration {
	backoff := b.Max
	if failures < maxBackoffDoublings {
		backoff = min(b.Initial<<failures, b.Max)
	}
	return backoff/2 + rand.N(backoff/2+1)
}

// Link maintains one connection to an address and reconnects when the connection fails. It is safe for concurrent use. Stop
// or Cancel ends it. The Dialer's Stop ends it too, and waits for its end.
type Link struct {
	dialer      *Dialer
	addr        string
	dialTimeout time.Duration // of one attempt
	backoff     Backoff
	newHandler  func() Handler
	onDown      func(error)
	cancel      context.CancelFunc
	done        chan struct{} // closed when the link's goroutine ends
}

// StartLink starts a link to addr. dialTimeout limits each attempt to connect. newHandler returns the handler of each
// connection. onDown is called with the reason each time a connection could not be made or has closed. Both functions are
// called on the link's goroutine and may block.
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
			failures = 0 // the connection was stable, so the next backoff starts at Initial
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.backoff.delay(max(failures-1, 0))):
		}
	}
}

// connectOnce makes one connection and waits until it has closed. It closes the connection when ctx ends. reason is why the
// connection could not be made, or why it has closed.
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

// Cancel ends the link without waiting for it. It is for callers that must not wait because the link's callbacks may in turn
// wait for them.
func (l *Link) Cancel() { l.cancel() }

// linkHandler wraps the handler of a link's connection and notifies the link when the connection has closed.
type linkHandler struct {
	Handler
	closed chan struct{} // closed by Closed
	reason error         // the reason passed to Closed; set before the channel is closed
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
