package platform

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/lab/standin/scripted"
)

// loopHeld is a hook that holds the loop where it tells of a link that has closed, and tells of effects of one type.
type loopHeld struct {
	arm      atomic.Bool
	in, free chan struct{}
	effect   string
	seen     chan string
}

func holdLoop(effect string) *loopHeld {
	return &loopHeld{in: make(chan struct{}), free: make(chan struct{}), effect: `"out":"` + effect + `"`, seen: make(chan string, 100)}
}

func (h *loopHeld) line(line string) {
	switch {
	case strings.Contains(line, "the connection to the node has closed") && h.arm.CompareAndSwap(true, false):
		h.in <- struct{}{}
		<-h.free
	case strings.Contains(line, h.effect):
		select {
		case h.seen <- line:
		default:
		}
	}
}

// An owner leaves, or takes its set-up back, between the decision of an offer and its write: nothing is written. The loop is
// held at another node's broken link; the offer is decided on the feed's word meanwhile.
func TestOfferCrossesItsOwnersLeaving(t *testing.T) {
	for name, leave := range map[string]func(c *client){
		"by a release": func(c *client) { c.send(`{"type":"release","id":"%016x","fields":{},"cause":16}`, 2) },
		"by a close":   func(c *client) { _ = c.c.Close() },
		"by a reset": func(c *client) {
			_ = c.c.(*net.TCPConn).SetLinger(0)
			_ = c.c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			hold := holdLoop("Offer")
			other, n := newNode(t, scripted.Answers), newNode(t, scripted.Answers)
			s := hookedSite(t, hold.line, testSettings, scripted.Entry("s-1", other.Addr(), "leaving"), scripted.Entry("s-2", n.Addr(), "leaving"))
			c := s.client()
			c.test()
			c.setUp(2) // it waits: both nodes drain
			for _, n := range []*scripted.Node{other, n} {
				if word := <-n.Conns; word != "came" {
					t.Fatal(word)
				}
			}
			c.test() // the set-up was read before
			hold.arm.Store(true)
			other.Cut()
			<-hold.in
			leave(c)
			s.feed.Tell(false, scripted.Entry("s-2", n.Addr(), "active"))
			<-hold.seen
			close(hold.free)
			s.client().place(3)
			if m := hear(t, n, nodeparam.SetUp); m.Task != 3 {
				t.Errorf("the node heard a set-up of %d", m.Task)
			}
		})
	}
}
