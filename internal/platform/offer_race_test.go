package platform

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

// eventLoopBlocker provides a log hook. Once armed, the hook blocks the event loop when it logs that a link has closed. It also
// reports the effects of one type that the core returns, and the links that are up.
type eventLoopBlocker struct {
	armed    atomic.Bool
	blocked  chan struct{} // receives a value when the event loop is blocked
	release  chan struct{} // closed by the test to let the event loop continue
	effect   string        // part of the log lines of the effects to report
	executed chan string   // receives the log lines of these effects
	linkUps  chan string   // receives the log lines of links that the core knows to be up
}

func newEventLoopBlocker(effect string) *eventLoopBlocker {
	return &eventLoopBlocker{
		blocked:  make(chan struct{}),
		release:  make(chan struct{}),
		effect:   `"out":"` + effect + `"`,
		executed: make(chan string, 100),
		linkUps:  make(chan string, 100),
	}
}

func (b *eventLoopBlocker) hook(line string) {
	switch {
	case strings.Contains(line, linkClosedMessage) && b.armed.CompareAndSwap(true, false):
		channeltest.Hold(b.blocked, b.release)
	case strings.Contains(line, b.effect):
		report(b.executed, line)
	case strings.Contains(line, `"in":"LinkUp"`):
		report(b.linkUps, line)
	}
}

// report sends a line to a channel, unless it is full.
func report(lines chan<- string, line string) {
	select {
	case lines <- line:
	default:
	}
}

// An offer is not written if its owner disconnects or releases the task after the core decided to make the offer. To produce
// this order, the test blocks the event loop when the link to another node closes, and then publishes a watch event that makes
// the core offer the task.
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
			c.submit(2) // stays queued, since both nodes are draining
			expectConnection(t, other)
			expectConnection(t, n)
			c.ping() // ensures that the request has been read
			// The core must know both links: the event loop could not establish the second one while it is blocked, and the
			// offer would wait for it.
			for range 2 {
				channeltest.Await(t, blocker.linkUps, "a link to be up")
			}
			blocker.armed.Store(true)
			other.ResetConnections()
			channeltest.Await(t, blocker.blocked, "the event loop to block")
			test.release(c)
			s.feed.Publish(false, scripted.Entry("s-2", n.Addr(), "active"))
			channeltest.Await(t, blocker.executed, "an offer")
			close(blocker.release)
			s.connect().placeTask(3)
			expectMessage(t, n, nodebinary.SetUp, 3)
		})
	}
}

// Guards against a second copy of a task: an offer that waited for the event loop was written after its time was over, when the core
// may have offered the task elsewhere. The order of events is that of TestOfferCrossesOwnerRelease, without the owner's release.
func TestOfferIsNotWrittenAfterItsTime(t *testing.T) {
	blocker := newEventLoopBlocker("Terminated")
	other, n := newNode(t, scripted.AcceptAll), newNode(t, scripted.AcceptAll)
	s := startSchedulerWith(t, schedulerOptions{logHook: blocker.hook},
		scripted.Entry("s-1", other.Addr(), "leaving"), scripted.Entry("s-2", n.Addr(), "leaving"))
	c := s.connect()
	for range 2 {
		channeltest.Await(t, blocker.linkUps, "a link to be up")
	}
	c.send(`{"type":"setup","id":"%016x","fields":{"class":"batch","left":"900","key":"k2","extras":"cores:1;memory:1;service:s2"},`+
		`"sdp":"owner's"}`, 2) // stays queued, since both nodes are draining
	c.ping() // ensures that the request has been read
	blocker.armed.Store(true)
	other.ResetConnections()
	channeltest.Await(t, blocker.blocked, "the event loop to block")
	s.feed.Publish(false, scripted.Entry("s-2", n.Addr(), "active"))
	channeltest.Await(t, blocker.executed, "the request to fail at its deadline")
	close(blocker.release)
	s.connect().placeTask(3)
	expectMessage(t, n, nodebinary.SetUp, 3)
}
