package transport

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/channeltest"
)

// Messages that were sent before Stop reach their peers, even if the event loop is busy and has more than 1,024 tasks queued,
// which gnet then queues with lower priority. That holds also if the loop has worked off some of them by then, so that a task which
// Stop would queue overtook those of lower priority.
func TestStopDeliversQueuedMessages(t *testing.T) {
	for name, firstRun := range map[string]int{"none has run": 0, "some have run": 500} {
		t.Run(name, func(t *testing.T) { testStopDelivers(t, 1800, firstRun) })
	}
}

// testStopDelivers queues a message on each of count connections while the event loop is busy, lets the loop run firstRun of them,
// and stops the dialer.
func testStopDelivers(t *testing.T, count, firstRun int) {
	t.Helper()
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
		conns = append(conns, channeltest.Await(t, opened, "a connection"))
	}
	writeText(t, peers[count], "busy")
	channeltest.Await(t, blocker.blocked, "the held event loop")
	for i, c := range conns {
		if i > 0 && i == firstRun {
			c.RunOnLoop(0, func(func([]byte)) { _, _ = blocker.Receive(c, nil) })
		}
		c.Send([]byte("last message"))
	}
	a.Stop()
	if firstRun > 0 {
		channeltest.Send(t, blocker.release, struct{}{}, "the held event loop")
		channeltest.Await(t, blocker.blocked, "the held event loop")
	}
	go blocker.releaseDuringStop()
	stop()
	for _, c := range peers[:count] {
		if got, err := io.ReadAll(c); err != nil || string(got) != "last message" {
			t.Fatalf("got %q, %v, want the last message", got, err)
		}
	}
}

// Messages on a connection keep their order, however many are queued for a busy event loop, and all of them reach the peer
// even if the dialer is stopped directly afterwards.
func TestMessagesKeepOrderUnderLoad(t *testing.T) {
	conns, blocker := make(chan *Conn, 1), newBlockingHandler()
	a, stop := accept(t, func() {}, func(c *Conn) Handler {
		conns <- c
		return blocker
	})
	c := dial(t, a.Addr())
	writeText(t, c, "busy")
	channeltest.Await(t, blocker.blocked, "the held event loop")
	conn, want := channeltest.Await(t, conns, "the connection"), strings.Builder{}
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
		t.Errorf("got %d bytes, %v, in order: %v, want %d bytes in order", len(got), err,
			strings.HasPrefix(want.String(), string(got)), want.Len())
	}
}

// Messages of a goroutine keep their order while the event loop writes concurrently.
func TestMessagesKeepOrderWithConcurrentWrites(t *testing.T) {
	conns := make(chan *Conn, 1)
	a, stop := accept(t, func() {}, func(*Conn) Handler {
		return &openedHandler{echoHandler{closed: make(chan error, 1)}, conns}
	})
	c := dial(t, a.Addr())
	conn := channeltest.Await(t, conns, "the connection")
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
		t.Errorf("got %d lines, want %d", len(lines), count)
	}
	for i, line := range lines {
		if line != fmt.Sprint(i) {
			t.Fatalf("line %d: got %q, want %d", i, line, i)
		}
	}
	_ = c.Close()
	a.Stop()
	stop()
}
