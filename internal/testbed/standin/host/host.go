// Package host serves the models of stand-in nodes and of the stand-in inventory on sockets. The models decide how a node or
// the inventory behaves; this package must not. Each model is owned by one goroutine, to which the event loops of connections
// pass parsed frames.
package host

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// mailboxCapacity is how many calls may wait for the owner of a model. A connection is closed if a frame arrives on it while
// the mailbox is full.
const mailboxCapacity = 16384

// neverDue is the due time of a model without a next event.
const neverDue = time.Duration(math.MaxInt64)

var errMailboxFull = fmt.Errorf("host: mailbox full: %d calls wait for the model's owner", mailboxCapacity)

// model is the model that a host runs. All methods are called by the goroutine that owns the model. Times are those of package
// clock.
type model interface {
	// nextDue returns the time of the next event, or neverDue.
	nextDue() time.Duration
	// advance processes the events that are due.
	advance(now time.Duration)
	// connect handles a party's connection after its hello, and either adds it to the parties of the host or rejects it.
	connect(now time.Duration, conn *transport.Conn, hello *nodepb.Hello)
	// disconnect handles the end of a party's connection.
	disconnect(now time.Duration, party string)
	// receive handles a frame from a party.
	receive(now time.Duration, party string, frame *nodepb.Frame)
	// isDead reports whether the model has died, which ends the host.
	isDead() bool
}

// host runs a model on the goroutine that calls serve, the owner, and a server for the connections of parties. The exported
// methods, do, enqueue and tryEnqueue are safe for concurrent use; everything else is used only by the owner.
type host struct {
	model           model
	server          *transport.Server
	parties         parties
	mailbox         chan func()   // calls for the owner
	stopping        chan struct{} // closed by Stop
	stopOnce        sync.Once
	mailboxClosed   chan struct{}  // closed when the owner runs no more calls
	blockedEnqueues sync.WaitGroup // goroutines of enqueue that wait while the mailbox is full
	done            chan struct{}  // closed when the host has ended
}

// listen returns a host that listens on an address, host:port; port 0 picks a free port. The caller must set the model before it
// runs serve.
func listen(address string, log zerolog.Logger) (*host, error) {
	h := &host{parties: newParties(), mailbox: make(chan func(), mailboxCapacity), stopping: make(chan struct{}),
		mailboxClosed: make(chan struct{}), done: make(chan struct{})}
	var err error
	h.server, err = transport.Listen(address, transport.Options{Log: log},
		func(*transport.Conn) transport.Handler { return &connHandler{host: h} })
	if err != nil {
		return nil, err
	}
	return h, nil
}

// Addr returns the address, host:port, on which the host listens.
func (h *host) Addr() string { return h.server.Addr() }

// Done returns a channel that is closed when the host has ended.
func (h *host) Done() <-chan struct{} { return h.done }

// Stop ends the host at once, without notice to its parties, and waits until it has ended. It may be called more than once.
func (h *host) Stop() {
	h.stopOnce.Do(func() { close(h.stopping) })
	<-h.done
}

// do runs a call on the owner's goroutine. It returns when the call has run or the host has ended; in the latter case, the call
// may not have run.
func (h *host) do(call func()) {
	ran := make(chan struct{})
	select {
	case h.mailbox <- func() { call(); close(ran) }:
	case <-h.done:
		return
	}
	select {
	case <-ran:
	case <-h.done:
	}
}

// tryEnqueue passes a call to the owner. It returns false if the mailbox is full. It does not block, so event loops may use
// it.
func (h *host) tryEnqueue(call func()) bool {
	select {
	case h.mailbox <- call:
		return true
	default:
		return false
	}
}

// enqueue passes a call to the owner, without blocking, and does not drop it unless the host ends. If the mailbox is full, a new
// goroutine waits until the call can be queued.
func (h *host) enqueue(call func()) {
	if h.tryEnqueue(call) {
		return
	}
	h.blockedEnqueues.Go(func() {
		select {
		case h.mailbox <- call:
		case <-h.mailboxClosed:
		}
	})
}

// serve is the event loop of the model's owner. It returns true after Stop, and false when the model has died. onTick is called
// for each value of ticks, which may be nil.
func (h *host) serve(ticks <-chan time.Time, onTick func()) (stopped bool) {
	dueTimer := time.NewTimer(neverDue)
	defer dueTimer.Stop()
	for !h.model.isDead() {
		if next := h.model.nextDue(); next < neverDue {
			dueTimer.Reset(max(next-clock.Now(), 0))
		}
		select {
		case call := <-h.mailbox:
			call()
		case <-dueTimer.C:
			h.model.advance(clock.Now())
		case <-ticks:
			onTick()
		case <-h.stopping:
			return true
		}
	}
	return false
}

// closeServer stops the server, waits for the goroutines that the host has started, and closes Done. It is the last action of
// the owner, after serve, or of StartNode if the node cannot start.
func (h *host) closeServer() {
	close(h.mailboxClosed)
	_ = h.server.Stop(context.Background()) // the host ends in any case
	h.blockedEnqueues.Wait()
	close(h.done)
}
