package platform

import (
	"net"
	"syscall"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
)

// What owners may say of a task, over sockets: each with what its node is to hear.
func TestOwnersWords(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", n.addr(), "active"))
	c, other := s.client(), s.client()
	for task, word := range map[int]string{2: "release", 3: "move"} { // on another connection than the set-up's
		c.setUp(task)
		c.want("answer", task, 0)
		other.send(`{"type":%q,"id":"%016x","fields":{},"cause":31}`, word, task)
		if m := n.next(t, nodeparam.Release); m.Task != uint64(task) {
			t.Errorf("%s: the node heard of %d", word, m.Task)
		}
	}
	c.setUp(4)
	c.want("answer", 4, 0)
	other.setUp(4) // an id that stands
	other.want("release", 4, 41)
	c.setUp(5)
	c.want("answer", 5, 0) // nothing came between: nobody is owed a release of what it ended
}

// A set-up is given up while its node looks at it: the node hears so, the owner nothing more, and the answer that crosses
// is released.
func TestGiveUpCrosses(t *testing.T) {
	late := make(chan func(), 1)
	n := newNode(t, "127.0.0.1:0", func(c net.Conn, m nodeparam.Message) {
		if m.Type == nodeparam.SetUp && m.Task == 2 {
			late <- func() { answers(c, m) }
			return
		}
		if m.Type == nodeparam.SetUp {
			answers(c, m)
		}
	})
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	answer := <-late
	c.send(`{"type":"release","id":"%016x","fields":{},"cause":16}`, 2)
	if m := n.next(t, nodeparam.Release); m.Task != 2 || m.Cause != 16 {
		t.Errorf("%+v", m)
	}
	answer()
	if m := n.next(t, nodeparam.Release); m.Task != 2 {
		t.Errorf("the answer that crossed: %+v", m)
	}
	c.setUp(3)
	c.want("answer", 3, 0)
}

// Another node at the address of one that is gone gets none of its work and ends none of it.
func TestAddressUsedAgainOnSockets(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	c.want("answer", 2, 0)
	s.feed.tell(false, server("s-2", n.addr(), "active"))
	c.want("release", 2, 41)
	c.setUp(3)
	c.want("answer", 3, 0)
	n.mu.Lock()
	for _, conn := range n.conns {
		say(conn, nodeparam.Message{Type: nodeparam.Release, Task: 2, Cause: 16}) // of the one before: nothing follows
		say(conn, nodeparam.Message{Type: nodeparam.Release, Task: 3, Cause: 16})
	}
	n.mu.Unlock()
	c.want("release", 3, 16)
}

// freeze lets the machine that a node stands for vanish: what is open stays open and silent, and new connections never
// come up, since the listener's queue is full and nobody takes from it.
func (n *scripted) freeze(t *testing.T) {
	t.Helper()
	ln := n.ln.(*net.TCPListener)
	_ = ln.SetDeadline(time.Unix(1, 0)) // ends the loop that accepts
	raw, err := ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var again error
	if err := raw.Control(func(fd uintptr) { again = syscall.Listen(int(fd), 0) }); err != nil || again != nil {
		t.Fatal(err, again)
	}
	for range 16 {
		c, err := net.DialTimeout("tcp", n.addr(), 100*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener's queue has no end")
}

// A machine that falls silent while a task stands there, its connections open and new ones never answered: the owner
// hears within the 8 s that the platform gives.
func TestSilentMachine(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	c.want("answer", 2, 0)
	n.freeze(t)
	began := time.Now()
	c.want("release", 2, 41)
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("the owner heard after %v", took)
	}
}
