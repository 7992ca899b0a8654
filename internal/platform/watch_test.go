package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

// Events are applied once and in order, and a missing event is requested once.
func TestWatchEventOrder(t *testing.T) {
	p := watchPosition{lastSequence: 4, streamID: 2}
	for _, test := range []struct { // each case continues from the position after the previous one
		name     string
		sequence uint64
		complete bool
		stream   int
		want     eventOrder
	}{
		{"the last event again", 4, false, 2, eventStale},
		{"the next event", 5, false, 2, eventInOrder},
		{"the next event again", 5, false, 2, eventStale},
		{"the next event on a previous stream, under the same number", 6, false, 1, eventInOrder},
		{"a gap on a previous stream: the current one sends the event again", 8, false, 1, eventStale},
		{"a gap", 8, false, 2, eventGap},
		{"the same gap on the next stream", 8, false, 2, eventInOrder},
		{"the event after a gap", 9, false, 2, eventInOrder},
		{"a complete list after a gap", 12, true, 1, eventInOrder},
		{"an event before a complete list", 11, false, 2, eventStale},
		{"a second gap", 14, false, 2, eventGap},
		{"the missing event", 13, false, 2, eventInOrder},
		{"the event after the missing one", 14, false, 2, eventInOrder},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := p.advance(test.sequence, test.complete, test.stream); got != test.want {
				t.Errorf("event %d of stream %d: got %v, want %v", test.sequence, test.stream, got, test.want)
			}
		})
	}
}

// The core is not notified when a previous stream fails, since it would replace the current one.
func TestFailureOfPreviousStreamIsIgnored(t *testing.T) {
	s := &scheduler{watchPosition: watchPosition{streamID: 2}}
	for _, test := range []struct {
		name   string
		stream int
		want   requests.Input
	}{
		{"of the previous stream", 1, nil},
		{"of the current stream", 2, requests.WatchFailed{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := s.handleWatchNotification(&watchNotification{streamID: test.stream, input: requests.WatchFailed{}})
			if got != test.want {
				t.Errorf("got input %T, want %T", got, test.want)
			}
		})
	}
}

// serveReplies starts a control feed that answers each request with the next of replies and then closes the connection.
// lastEvents receives the Last-Event-ID of each request.
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

// Streams with another HTTP status than 200, an oversized header, a truncated or malformed event, no HTTP at all or a gap between
// events are each replaced by a new request for the same events. The events that finally arrive are applied.
func TestMalformedWatchStreams(t *testing.T) {
	n := newNode(t, scripted.AcceptAll)
	replies := []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), // larger than maxWatchHeader
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: half a comm",
		"HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: {\"n\":2,\"members\":[\n\n",
		"no HTTP at all\r\n\r\n",
		// event 2 is missing
		"HTTP/1.1 200 OK\r\n\r\nid: 3\ndata: " + scripted.Event(3, false, scripted.Entry("s-9", n.Addr(), "active")) + "\n\n",
		"HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: " + scripted.Event(2, false, scripted.Entry("s-1", n.Addr(), "active")) + "\n\n",
	}
	addr, lastEvents := serveReplies(t, replies)
	s := startScheduler(t)
	s.writeConfig(addr, testSettings)
	s.reload <- struct{}{}
	for i := range replies {
		if got := channeltest.Await(t, lastEvents, "a request of the control feed"); got != "1" {
			t.Errorf("stream %d: got a request for the events after %s, want those after 1", i, got)
		}
	}
	s.connect().placeTask(2)
	expectMessage(t, n, nodebinary.SetUp, 2)
}

// The error of a stream names the operation that failed, the control feed's address and the cause.
func TestWatchErrorNamesOperationAndAddress(t *testing.T) {
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
				t.Errorf("got error %v, want one of operation %q at %s, with a cause", err, c.operation, addr)
			}
			var status *watchStatusError
			if errors.As(err, &status) != (c.name == "status") {
				t.Errorf("got status error %v, want one only for a status other than 200", status)
			}
		})
	}
	t.Run("canceled", func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(errWatchReplaced)
		if _, err := readStream(ctx, t, ""); !errors.Is(err, errWatchReplaced) {
			t.Errorf("got error %v, want %v", err, errWatchReplaced)
		}
	})
}

// readStream reads one stream from a control feed that sends a single reply. It returns the control feed's address and the error
// with which the stream ended.
func readStream(parent context.Context, t *testing.T, reply string) (addr string, err error) {
	t.Helper()
	addr, _ = serveReplies(t, []string{reply})
	s := &scheduler{mailbox: newMailbox(mailboxLimits{messages: 1 << 4}), loopDone: make(chan struct{})}
	s.config.Store(&platformfront.Config{})
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	stream := &watchStream{scheduler: s, id: 1, addr: addr}
	return addr, stream.run(ctx, cancel, 1)
}

// Guards against offers to draining nodes while discovery is slow: the scheduler gave each request up after a second, and a control
// feed that took longer was never heard. The response to either of the first two requests is used.
func TestSlowControlFeedIsHeard(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\n\r\n: here\n\n"
	for _, test := range []struct {
		name    string
		answers int // number of the request, from 0, that gets a response once both have arrived
	}{
		{"the first request gets a response late", 0},
		{"the first request is lost", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			accepted := make(chan net.Conn, maxWatchRequests)
			go func() {
				for range maxWatchRequests {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					accepted <- conn
				}
			}()
			s := &scheduler{mailbox: newMailbox(mailboxLimits{messages: 1 << 4}), loopDone: make(chan struct{})}
			s.config.Store(&platformfront.Config{})
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			ended := make(chan error, 1)
			go func() {
				ended <- (&watchStream{scheduler: s, id: 1, addr: listener.Addr().String()}).run(ctx, cancel, 1)
			}()
			first := channeltest.Await(t, accepted, "the first request of the control feed")
			conns := []net.Conn{first, channeltest.Await(t, accepted, "the second request of the control feed")}
			for _, conn := range conns {
				defer conn.Close()
				// The HTTP client drops a connection that sends a response before its request.
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.WriteString(conns[test.answers], stream); err != nil {
				t.Fatal(err)
			}
			channeltest.Await(t, s.mailbox.ready, "the notification of the stream")
			batch := s.mailbox.take(nil, 1)
			if len(batch) != 1 || batch[0].notification.input != (requests.WatchEstablished{}) {
				t.Errorf("got %+v, want the notification that the watch is established", batch)
			}
			_ = conns[test.answers].Close()
			var watchErr *watchError
			if err := channeltest.Await(t, ended, "the end of the stream"); !errors.As(err, &watchErr) || watchErr.Operation != watchRead {
				t.Errorf("got error %v, want one of operation %q", err, watchRead)
			}
		})
	}
}
