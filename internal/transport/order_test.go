package transport

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// What was sent before Stop reaches each peer, though the event loop was busy and more than 1,024 tasks wait for it.
func TestStopDeliversQueuedMessages(t *testing.T) {
	const count = 1200
	opened, blocker := make(chan *Conn, count), newBlockingHandler()
	accepted := 0
	a, stop := accept(t, func() {}, func(*Conn) Handler {
		if accepted++; accepted > count {
			return blocker
		}
		return &openedHandler{echoHandler{closed: make(chan error, 1)}, opened}
	})
	var peers []net.Conn
	for range count + 1 {
		peers = append(peers, dial(t, a.Addr()))
	}
	var conns []*Conn
	for range count {
		conns = append(conns, <-opened)
	}
	_, _ = io.WriteString(peers[count], "busy")
	<-blocker.blocked
	for _, c := range conns {
		c.Send([]byte("last message"))
	}
	a.Stop()
	go blocker.releaseDuringStop()
	stop()
	for _, c := range peers[:count] {
		if got, err := io.ReadAll(c); err != nil || string(got) != "last message" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

// What is sent on a connection keeps its order, however much waits for a busy event loop, and all of it reaches the peer though
// the engine is stopped right behind it.
func TestOrderUnderLoad(t *testing.T) {
	conns, blocker := make(chan *Conn, 1), newBlockingHandler()
	a, stop := accept(t, func() {}, func(c *Conn) Handler {
		conns <- c
		return blocker
	})
	c := dial(t, a.Addr())
	_, _ = io.WriteString(c, "busy")
	<-blocker.blocked
	conn, want := <-conns, strings.Builder{}
	const count = 5000
	for i := range count {
		line := fmt.Sprintf("%d\n", i)
		want.WriteString(line)
		conn.Send([]byte(line))
	}
	a.Stop()
	go blocker.releaseDuringStop()
	stop()
	if got, err := io.ReadAll(c); err != nil || string(got) != want.String() {
		t.Errorf("%d bytes of %d, %v, in order: %v", len(got), want.Len(), err, strings.HasPrefix(want.String(), string(got)))
	}
}

// A goroutine may send while the event loop works: its messages keep their order.
func TestConcurrentSendOrder(t *testing.T) {
	conns := make(chan *Conn, 1)
	a, stop := accept(t, func() {}, func(*Conn) Handler {
		return &openedHandler{echoHandler{closed: make(chan error, 1)}, conns}
	})
	c := dial(t, a.Addr())
	conn := <-conns
	const count = 20000
	go func() {
		for i := range count {
			conn.Send(fmt.Appendf(nil, "%d\n", i))
		}
		conn.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(got)), "\n")
	if len(lines) != count {
		t.Errorf("%d lines, want %d", len(lines), count)
	}
	for i, line := range lines {
		if line != fmt.Sprint(i) {
			t.Fatalf("line %d is %q", i, line)
		}
	}
	_ = c.Close()
	a.Stop()
	stop()
}
