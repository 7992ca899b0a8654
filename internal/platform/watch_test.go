package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

// Events are applied once, in order; missing ones are requested once.
func TestWatchEventOrder(t *testing.T) {
	p := watchPosition{last: 4, stream: 2}
	for i, c := range []struct {
		sequence uint64
		complete bool
		stream   int
		want     eventOrder
	}{
		{4, false, 2, eventStale}, {5, false, 2, eventInOrder}, {5, false, 2, eventStale},
		{6, false, 1, eventInOrder}, // a former stream sends the same event under the same number
		{8, false, 1, eventStale},   // the current stream sends it again
		{8, false, 2, eventGap}, {8, false, 2, eventInOrder}, {9, false, 2, eventInOrder},
		{12, true, 1, eventInOrder}, {11, false, 2, eventStale},
		{14, false, 2, eventGap}, {13, false, 2, eventInOrder}, {14, false, 2, eventInOrder},
	} {
		if got := p.advance(c.sequence, c.complete, c.stream); got != c.want {
			t.Errorf("%d: event %d of stream %d: %v, want %v", i, c.sequence, c.stream, got, c.want)
		}
	}
}

// The end of a former stream does not end the current one.
func TestFailureOfFormerStream(t *testing.T) {
	s := &Scheduler{position: watchPosition{stream: 2}}
	if input := s.applyWatch(&watchNotification{stream: 1, input: requests.WatchFailed{}}); input != nil {
		t.Errorf("%T", input)
	}
	if input := s.applyWatch(&watchNotification{stream: 2, input: requests.WatchFailed{}}); input != (requests.WatchFailed{}) {
		t.Errorf("%T", input)
	}
}

// serveReplies listens as a control feed that answers each request with the next reply and closes the connection. The
// Last-Event-ID of each request goes to the channel.
func serveReplies(t *testing.T, replies []string) (addr string, lastEvents <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requested := make(chan string, len(replies))
	go func() {
		for _, reply := range replies {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			size, _ := conn.Read(buffer)
			for _, line := range strings.Split(string(buffer[:size]), "\r\n") {
				if last, ok := strings.CutPrefix(line, "Last-Event-Id: "); ok {
					requested <- last
				}
			}
			_, _ = io.WriteString(conn, reply)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), requested
}

// Control feeds that answer with anything but events: each stream is ended, and requested again. The events of the last one
// are followed.
func TestMalformedWatchStreams(t *testing.T) {
	n := newNode(t, scripted.AcceptAll)
	replies := []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), // an endless header
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: half a comm",
		"HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: {\"n\":2,\"members\":[\n\n",
		"no HTTP at all\r\n\r\n",
		// event 2 is missing
		"HTTP/1.1 200 OK\r\n\r\nid: 3\ndata: " + scripted.Event(3, false, scripted.Entry("s-9", n.Addr(), "active")) + "\n\n",
		"HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: " + scripted.Event(2, false, scripted.Entry("s-1", n.Addr(), "active")) + "\n\n",
	}
	addr, lastEvents := serveReplies(t, replies)
	s := startScheduler(t)
	s.writeConfigWithFeed(addr, testSettings)
	s.reload <- struct{}{}
	for i := range replies {
		if last := <-lastEvents; last != "1" {
			t.Errorf("stream %d was requested from event %s", i, last)
		}
	}
	s.connect().placeTask(2)
	if m := awaitMessage(t, n, nodebinary.SetUp); m.Task != 2 {
		t.Errorf("%+v", m)
	}
}

// The error of a stream names the operation that failed, the address and the cause.
func TestWatchErrors(t *testing.T) {
	for _, c := range []struct {
		name, reply string
		operation   watchOperation
	}{
		{"status", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", watchConnect},
		{"no HTTP", "no HTTP at all\r\n\r\n", watchConnect},
		{"end of the stream", "HTTP/1.1 200 OK\r\n\r\n: comment\n\n", watchRead},
		{"event", "HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: {\n\n", watchDecode},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, err := readStream(context.Background(), t, c.reply)
			var watchErr *watchError
			if !errors.As(err, &watchErr) || watchErr.Operation != c.operation || watchErr.Addr != addr || watchErr.Err == nil {
				t.Errorf("%v, want an error of %s at %s", err, c.operation, addr)
			}
			var status *watchStatusError
			if errors.As(err, &status) != (c.name == "status") {
				t.Errorf("status error: %v", status)
			}
		})
	}
	t.Run("canceled", func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(errWatchReplaced)
		if _, err := readStream(ctx, t, ""); !errors.Is(err, errWatchReplaced) {
			t.Error(err)
		}
	})
}

// readStream reads one stream of a control feed that gives a reply, and returns the feed's address and the stream's error.
func readStream(parent context.Context, t *testing.T, reply string) (addr string, err error) {
	t.Helper()
	addr, _ = serveReplies(t, []string{reply})
	s := &Scheduler{mailbox: newMailbox(1 << 4), loopDone: make(chan struct{})}
	s.config.Store(&platformfront.Config{})
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	stream := &watchStream{scheduler: s, id: 1, addr: addr}
	return addr, stream.run(ctx, cancel, 1)
}
