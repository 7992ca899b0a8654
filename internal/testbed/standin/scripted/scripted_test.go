package scripted

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
)

// testTimeout is the timeout of a dial and the deadline of each connection.
const testTimeout = 10 * time.Second

func newNode(t *testing.T, script Script) *Node {
	t.Helper()
	node, err := NewNode(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Kill)
	return node
}

func newFeed(t *testing.T) *Feed {
	t.Helper()
	feed, err := NewFeed()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(feed.Close)
	return feed
}

// dial opens a connection to a node. It is closed when the test ends.
func dial(t *testing.T, node *Node) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", node.Addr(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readMessage reads the next message of a connection. ok is false if the connection ends or its deadline passes.
func readMessage(t *testing.T, conn net.Conn) (message nodebinary.Message, ok bool) {
	t.Helper()
	var buffer []byte
	received := make([]byte, 1) // a byte at a time, so that bytes of the next message are left for the next call
	for {
		if _, err := conn.Read(received); err != nil {
			return message, false
		}
		buffer = append(buffer, received...)
		message, consumed, err := nodebinary.Next(buffer)
		if err != nil {
			t.Fatal(err)
		}
		if consumed > 0 {
			return message, true
		}
	}
}

func TestNodeRepliesByScriptAndReportsEvents(t *testing.T) {
	node := newNode(t, AcceptAll)
	conn := dial(t, node)
	if got := <-node.ConnectionEvents; got != ConnectionOpened {
		t.Errorf("got event %s, want %s", got, ConnectionOpened)
	}
	for _, c := range []struct {
		name      string
		sent      nodebinary.Type
		wantReply nodebinary.Type
	}{
		{"a task is accepted", nodebinary.SetUp, nodebinary.Answer},
		{"a released task is terminated", nodebinary.Release, nodebinary.Release},
	} {
		t.Run(c.name, func(t *testing.T) {
			Send(conn, nodebinary.Message{Type: c.sent})
			if got := <-node.Received; got.Type != c.sent {
				t.Errorf("got a received message of type %v, want %v", got.Type, c.sent)
			}
			if reply, ok := readMessage(t, conn); !ok || reply.Type != c.wantReply {
				t.Errorf("got a reply of type %v (%v), want %v", reply.Type, ok, c.wantReply)
			}
		})
	}
	node.Kill()
	if got := <-node.ConnectionEvents; got != ConnectionClosed {
		t.Errorf("got event %s after Kill, want %s", got, ConnectionClosed)
	}
	if message, ok := readMessage(t, conn); ok {
		t.Errorf("got message %v after Kill, want the end of the connection", message)
	}
}

func TestFrozenNodeAcceptsNoConnection(t *testing.T) {
	node := newNode(t, AcceptAll)
	fillers, err := node.Freeze()
	for _, conn := range fillers {
		_ = conn.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	if count := len(node.ConnectionEvents); count != 0 {
		t.Errorf("got %d connection events, want none", count)
	}
}

// openStream requests the events of a feed after the one with lastEventID, or all events if it is empty.
func openStream(t *testing.T, feed *Feed, lastEventID string) *bufio.Scanner {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+feed.Addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Last-Event-ID", lastEventID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return bufio.NewScanner(response.Body)
}

// wantEvents fails the test unless the next events of a stream have the numbers in want, separated by spaces.
func wantEvents(t *testing.T, stream *bufio.Scanner, want string) {
	t.Helper()
	var numbers []string
	for len(numbers) < len(strings.Fields(want)) && stream.Scan() {
		if number, found := strings.CutPrefix(stream.Text(), "id: "); found {
			numbers = append(numbers, number)
		}
	}
	if got := strings.Join(numbers, " "); got != want {
		t.Errorf("got events %q, want %q", got, want)
	}
}

func TestFeedWritesEachEventTwice(t *testing.T) {
	feed := newFeed(t)
	feed.Publish(true, Entry("s-1", "127.0.0.1:1", "active"))
	feed.Publish(false, Entry("s-1", "127.0.0.1:1", "left"))
	stream := openStream(t, feed, "2")
	if got := <-feed.LastEventIDs; got != "2" {
		t.Errorf("got a request after event %q, want 2", got)
	}
	wantEvents(t, stream, "3 3")
	feed.Publish(false)
	wantEvents(t, stream, "4 4")
	feed.Republish(2)
	wantEvents(t, stream, "2")
}

func TestFeedBreaksInTheMiddleOfAnEvent(t *testing.T) {
	feed := newFeed(t)
	feed.Publish(true)
	stream := openStream(t, feed, "")
	wantEvents(t, stream, "2 2")
	feed.Break()
	var last string
	for stream.Scan() {
		last = stream.Text()
	}
	if !strings.HasPrefix(last, "data: ") || strings.HasSuffix(last, "}") {
		t.Errorf("got last line %q, want an incomplete event", last)
	}
}
