package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/lab/standin/scripted"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// Events are taken once, in order; what was left out is asked for once.
func TestEventsAreTakenInOrder(t *testing.T) {
	e := events{last: 4, call: 2}
	for i, c := range []struct {
		n     uint64
		whole bool
		call  int
		want  verdict
	}{
		{4, false, 2, had}, {5, false, 2, taken}, {5, false, 2, had},
		{6, false, 1, taken}, // a call that was given up says the same by the same number
		{8, false, 1, had},   // it is told again by the call in hand
		{8, false, 2, missed}, {8, false, 2, taken}, {9, false, 2, taken},
		{12, true, 1, taken}, {11, false, 2, had},
		{14, false, 2, missed}, {13, false, 2, taken}, {14, false, 2, taken},
	} {
		if got := e.take(c.n, c.whole, c.call); got != c.want {
			t.Errorf("%d: event %d of call %d: %d, want %d", i, c.n, c.call, got, c.want)
		}
	}
}

// The end of a call that was given up for another does not end that one.
func TestEndOfAFormerCall(t *testing.T) {
	s := &Scheduler{events: events{call: 2}}
	if in := s.heed(fed{Input: requests.WatchFailed{}, call: 1}); in != nil {
		t.Errorf("%T", in)
	}
	if in := s.heed(fed{Input: requests.WatchFailed{}, call: 2}); in != (requests.WatchFailed{}) {
		t.Errorf("%T", in)
	}
}

// Feeds that answer with anything but events: each is left, and the feed is asked again. Events of the last are followed.
func TestFeedsThatAreNone(t *testing.T) {
	n := newNode(t, scripted.Answers)
	replies := []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), // a header without end
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: half a comm",
		"HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: {\"n\":2,\"members\":[\n\n",
		"no HTTP at all\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nid: 3\ndata: " + scripted.Event(3, false, scripted.Entry("s-9", n.Addr(), "active")) + "\n\n", // 2 is missing
		"HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: " + scripted.Event(2, false, scripted.Entry("s-1", n.Addr(), "active")) + "\n\n",
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	asked := make(chan string, len(replies))
	go func() {
		for _, reply := range replies {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			k, _ := c.Read(buf)
			for _, line := range strings.Split(string(buf[:k]), "\r\n") {
				if rest, ok := strings.CutPrefix(line, "Last-Event-Id: "); ok {
					asked <- rest
				}
			}
			_, _ = io.WriteString(c, reply)
			_ = c.Close()
		}
	}()
	s := newSite(t)
	s.writeFeed(ln.Addr().String(), testSettings)
	s.reload <- struct{}{}
	for i := range replies {
		if last := <-asked; last != "1" {
			t.Errorf("call %d asked from %s", i, last)
		}
	}
	s.client().place(2)
	if m := hear(t, n, nodeparam.SetUp); m.Task != 2 {
		t.Error(fmt.Sprint(m))
	}
}
