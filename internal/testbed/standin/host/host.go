// Package host runs the stand-in models of nodes and the inventory on sockets. The models decide what a node or the
// inventory does; this package must not. One goroutine owns each model; the event loops of connections only parse frames and
// pass them to it.
package host

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// mailboxCapacity is how many tasks may wait for an owner. A party whose frames find the mailbox full is disconnected.
const mailboxCapacity = 16384

// never is the due time of a model that has nothing due.
const neverDue = time.Duration(math.MaxInt64)

var errMailboxFull = errors.New("host: the mailbox is full")

// model is the model that a host runs. All methods are called by the goroutine that owns it. Times are those of package
// clock.
type model interface {
	// nextDue returns when something is due next, or never.
	nextDue() time.Duration
	// advance does what is due.
	advance(now time.Duration)
	// connect handles a party's connection after its hello.
	connect(now time.Duration, conn *transport.Conn, hello *nodepb.Hello)
	// disconnect handles the end of a party's connection.
	disconnect(now time.Duration, party string)
	// receive handles a frame of a party.
	receive(now time.Duration, party string, frame *nodepb.Frame)
	// isDead reports whether the model has died, which ends the host.
	isDead() bool
}

// host runs a model with a server for the connections of parties. Its exported methods, enqueue and tryEnqueue are safe for
// concurrent use; everything else belongs to the owner.
type host struct {
	model           model
	server          *transport.Server
	parties         parties
	mailbox         chan func() // tasks for the owner
	stopping        chan struct{}
	stopOnce        sync.Once
	mailboxClosed   chan struct{}  // closed when the owner runs no more tasks
	blockedEnqueues sync.WaitGroup // goroutines that wait for a full mailbox
	done            chan struct{}
}

// listen returns a host that listens on an address; port 0 picks a free port. The caller must set the model and start serve.
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

// Stop ends the host at once, as a crash does, and waits until it has ended.
func (h *host) Stop() {
	h.stopOnce.Do(func() { close(h.stopping) })
	<-h.done
}

// do runs a task on the owner's goroutine. It returns when the task has run or the host has ended.
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

// tryEnqueue passes a task to the owner. It returns false if the mailbox is full. It does not block, so event loops may
// call it.
func (h *host) tryEnqueue(call func()) bool {
	select {
	case h.mailbox <- call:
		return true
	default:
		return false
	}
}

// enqueue passes a task that must not be lost to the owner, without blocking. If the mailbox is full, a goroutine waits
// until it is not.
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

// serve is the loop of the goroutine that owns the model. It returns true after Stop, and false when the model has died.
// tick is called for each value of ticks.
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

// closeServer stops the server and waits for the goroutines of the host except the owner's, which calls it last.
func (h *host) closeServer() {
	close(h.mailboxClosed)
	_ = h.server.Stop(context.Background()) // the stand-in ends anyway
	h.blockedEnqueues.Wait()
	close(h.done)
}
