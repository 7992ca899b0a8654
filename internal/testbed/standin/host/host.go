// Package host puts the stand-in models on sockets: nodes and the inventory. It must not decide what a node or the
// inventory does; the models do. One goroutine owns each model; event loops of connections only parse and pass on.
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

// never is when a model has nothing due.
const never = time.Duration(math.MaxInt64)

var errMailboxFull = errors.New("host: the mailbox is full")

// model is what a host runs. All methods are called by the goroutine that owns it. Times are those of package clock.
type model interface {
	// nextDue is when something falls due, or never.
	nextDue() time.Duration
	// advance does what has fallen due.
	advance(now time.Duration)
	// connect takes a party's connection after its hello.
	connect(now time.Duration, conn *transport.Conn, hello *nodepb.Hello)
	// disconnect reports that a party's connection has closed.
	disconnect(now time.Duration, party string)
	// receive takes a frame of a party.
	receive(now time.Duration, party string, frame *nodepb.Frame)
	// isDead ends the host.
	isDead() bool
}

// host runs a model with a server for the connections of parties. Its exported methods, enqueue and tryEnqueue may be
// called from any goroutine; all else belongs to the owner.
type host struct {
	model        model
	server       *transport.Server
	parties      parties
	mailbox      chan func() // tasks for the owner
	stopping     chan struct{}
	stopOnce     sync.Once
	closing      chan struct{}  // closed when the owner takes no tasks any more
	blockedSends sync.WaitGroup // goroutines that wait for a full mailbox
	done         chan struct{}
}

// listen makes a host that listens on an address; port 0 picks one. It serves nothing until its caller sets the model
// and starts serve.
func listen(address string, log zerolog.Logger) (*host, error) {
	h := &host{parties: newParties(), mailbox: make(chan func(), mailboxCapacity), stopping: make(chan struct{}),
		closing: make(chan struct{}), done: make(chan struct{})}
	var err error
	h.server, err = transport.Listen(address, transport.Options{Log: log},
		func(*transport.Conn) transport.Handler { return &partyHandler{host: h} })
	if err != nil {
		return nil, err
	}
	return h, nil
}

// Addr is the address, host:port, on which it listens.
func (h *host) Addr() string { return h.server.Addr() }

// Done is closed when it has ended.
func (h *host) Done() <-chan struct{} { return h.done }

// Stop ends it at once, as a crash does, and returns when it has ended.
func (h *host) Stop() {
	h.stopOnce.Do(func() { close(h.stopping) })
	<-h.done
}

// do runs a task on the owner's goroutine and returns when it has run, or when the host has ended.
func (h *host) do(task func()) {
	ran := make(chan struct{})
	select {
	case h.mailbox <- func() { task(); close(ran) }:
	case <-h.done:
		return
	}
	select {
	case <-ran:
	case <-h.done:
	}
}

// tryEnqueue passes a task to the owner if the mailbox has room; for event loops.
func (h *host) tryEnqueue(task func()) bool {
	select {
	case h.mailbox <- task:
		return true
	default:
		return false
	}
}

// enqueue passes a task that must not be lost to the owner, without waiting. If the mailbox is full, a goroutine waits.
func (h *host) enqueue(task func()) {
	if h.tryEnqueue(task) {
		return
	}
	h.blockedSends.Go(func() {
		select {
		case h.mailbox <- task:
		case <-h.closing:
		}
	})
}

// serve is the loop of the goroutine that owns the model. It ends when the model is dead or Stop is called, and reports
// which; tick is called whenever ticks has a time.
func (h *host) serve(ticks <-chan time.Time, tick func()) (stopped bool) {
	due := time.NewTimer(never)
	defer due.Stop()
	for !h.model.isDead() {
		if next := h.model.nextDue(); next < never {
			due.Reset(max(next-clock.Now(), 0))
		}
		select {
		case task := <-h.mailbox:
			task()
		case <-due.C:
			h.model.advance(clock.Now())
		case <-ticks:
			tick()
		case <-h.stopping:
			return true
		}
	}
	return false
}

// closeServer ends the server and waits for all goroutines of the host but the owner's, which calls it last.
func (h *host) closeServer() {
	close(h.closing)
	_ = h.server.Stop(context.Background()) // a stand-in that ends has nobody to report it to
	h.blockedSends.Wait()
	close(h.done)
}
