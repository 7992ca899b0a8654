package platform

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

// eventLoopBlocker is a log hook that blocks the event loop where it logs a closed link, and reports effects of one type.
type eventLoopBlocker struct {
	armed    atomic.Bool
	blocked  chan struct{} // receives once the event loop is blocked
	release  chan struct{} // closed to let it continue
	effect   string
	executed chan string // receives the log lines of the effects
}

func newEventLoopBlocker(effect string) *eventLoopBlocker {
	return &eventLoopBlocker{
		blocked:  make(chan struct{}),
		release:  make(chan struct{}),
		effect:   `"out":"` + effect + `"`,
		executed: make(chan string, 100),
	}
}

func (b *eventLoopBlocker) hook(line string) {
	switch {
	case strings.Contains(line, linkClosedMessage) && b.armed.CompareAndSwap(true, false):
		b.blocked <- struct{}{}
		<-b.release
	case strings.Contains(line, b.effect):
		select {
		case b.executed <- line:
		default:
		}
	}
}

// An owner disconnects, or releases its task, between the decision of an offer and its write: the offer is not written. The
// event loop is blocked by the closed link of another node, while a watch event makes the core decide the offer.
func TestOfferCrossesOwnerRelease(t *testing.T) {
	for _, test := range []struct {
		name    string
		release func(c *client)
	}{
		{"by a release", func(c *client) { c.release(2, 16) }},
		{"by a close", func(c *client) { _ = c.conn.Close() }},
		{"by a reset", func(c *client) {
			_ = c.conn.(*net.TCPConn).SetLinger(0)
			_ = c.conn.Close()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			blocker := newEventLoopBlocker("Offer")
			other, n := newNode(t, scripted.AcceptAll), newNode(t, scripted.AcceptAll)
			s := startSchedulerWith(t, schedulerOptions{logHook: blocker.hook},
				scripted.Entry("s-1", other.Addr(), "leaving"), scripted.Entry("s-2", n.Addr(), "leaving"))
			c := s.connect()
			c.ping()
			c.submit(2) // it is queued, since both nodes are draining
			expectConnection(t, other)
			expectConnection(t, n)
			c.ping() // the request was read before
			blocker.armed.Store(true)
			other.ResetConnections()
			<-blocker.blocked
			test.release(c)
			s.feed.Publish(false, scripted.Entry("s-2", n.Addr(), "active"))
			<-blocker.executed
			close(blocker.release)
			s.connect().placeTask(3)
			expectMessage(t, n, nodebinary.SetUp, 3)
		})
	}
}
