package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/channeltest"
)

// A partial message stays buffered until the rest arrives, and all messages that arrive together are handled.
func TestPartialAndMultipleMessagesAreHandled(t *testing.T) {
	closed := make(chan error, 1)
	s := listen(t, Options{}, func(*Conn) Handler { return &echoHandler{closed: closed} })
	c := dial(t, s.Addr())
	for _, part := range []string{"o", "ne\ntw", "o\nthree\n"} {
		writeText(t, c, part)
	}
	expectText(t, c, "one\ntwo\nthree\n")
	_ = c.Close()
	expectReason(t, closed, ErrPeerClosed)
}

// Handler.Closed receives the reason why this side has closed the connection.
func TestCloseReasons(t *testing.T) {
	for _, c := range []struct {
		name    string
		options Options
		discard bool
		provoke func(peer net.Conn, c *Conn)
		want    error
	}{
		{"idle", Options{IdleTimeout: 50 * time.Millisecond}, false, func(net.Conn, *Conn) {}, ErrIdleTimeout},
		{"read buffer full", Options{MaxReadBuffer: 1000}, true, func(peer net.Conn, _ *Conn) {
			_, _ = peer.Write(make([]byte, 5000))
		}, ErrReadBufferFull},
		{"handler error", Options{}, false, func(peer net.Conn, _ *Conn) {
			_, _ = io.WriteString(peer, "bad\n")
		}, errBadLine},
		{"slow reader", Options{MaxWriteQueue: 1 << 16}, false, func(_ net.Conn, c *Conn) {
			for !c.IsClosed() {
				if !c.Send(make([]byte, 1<<14)) {
					break
				}
			}
		}, ErrSlowReader},
		{"Close", Options{}, false, func(_ net.Conn, c *Conn) { c.Close(ErrStopping) }, ErrStopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed, conns := make(chan error, 1), make(chan *Conn, 1)
			s := listen(t, c.options, func(*Conn) Handler {
				return &openedHandler{echoHandler{closed: closed, discard: c.discard}, conns}
			})
			peer := dial(t, s.Addr())
			c.provoke(peer, <-conns)
			expectReason(t, closed, c.want)
		})
	}
}

// After DisableIdleTimeout, a connection stays open beyond the idle timeout and is still served.
func TestDisableIdleTimeout(t *testing.T) {
	closed, conns := make(chan error, 1), make(chan *Conn, 1)
	s := listen(t, Options{IdleTimeout: 30 * time.Millisecond}, func(*Conn) Handler {
		return &openedHandler{echoHandler{closed: closed}, conns}
	})
	c := dial(t, s.Addr())
	(<-conns).DisableIdleTimeout()
	select {
	case err := <-closed:
		t.Errorf("got close reason %v, want an open connection", err)
	case <-time.After(150 * time.Millisecond):
	}
	writeText(t, c, "x\n")
	expectText(t, c, "x\n")
}

// A peer that does not read does not block another connection on the same event loop.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	conns := make(chan *Conn, 2)
	s := listen(t, Options{MaxWriteQueue: 64 << 20}, func(*Conn) Handler {
		return &openedHandler{echoHandler{closed: make(chan error, 1)}, conns}
	})
	dial(t, s.Addr())
	slow := channeltest.Await(t, conns, "the first connection")
	other := dial(t, s.Addr())
	channeltest.Await(t, conns, "the second connection")
	for range 32 {
		slow.Send(make([]byte, 1<<20))
	}
	writeText(t, other, "x\n")
	expectText(t, other, "x\n")
}

// CloseWrite takes effect after all queued bytes were written; bytes from the peer are received until it closes, too.
func TestCloseWrite(t *testing.T) {
	conns, closed := make(chan *Conn, 1), make(chan error, 1)
	a, stop := accept(t, func() {}, func(*Conn) Handler { return &openedHandler{echoHandler{closed: closed}, conns} })
	c := dial(t, a.Addr())
	conn, big := channeltest.Await(t, conns, "the connection"), strings.Repeat("x", 4<<20)
	conn.Send([]byte(big))
	conn.CloseWrite()
	if got, err := io.ReadAll(c); err != nil || string(got) != big {
		t.Errorf("got %d bytes, %v, want %d bytes, equal to those sent", len(got), err, len(big))
	}
	writeText(t, c, "still read\n")
	_ = c.Close()
	expectReason(t, closed, ErrPeerClosed)
	a.Stop()
	stop()
}

// Listen returns an error for an address that is malformed or in use.
func TestListenRejectsInvalidAddresses(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	for _, test := range []struct{ name, addr string }{
		{"empty", ""},
		{"without port", "nonsense"},
		{"port out of range", "127.0.0.1:99999"},
		{"invalid IP address", "256.0.0.1:1"},
		{"port in use", occupied.Addr().String()},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, err := Listen(test.addr, Options{}, newEchoHandler)
			if err == nil {
				stopServer(t, s)
				t.Errorf("listen at %q: got no error, want one", test.addr)
			}
		})
	}
}

func BenchmarkEcho(b *testing.B) {
	c := dial(b, listen(b, Options{}, newEchoHandler).Addr())
	buf := make([]byte, len("0123456789\n"))
	for b.Loop() {
		if _, err := io.WriteString(c, "0123456789\n"); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, buf); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against memory that grows without end: what a handler wrote on the event loop, such as the answers to invalid messages,
// was queued for a peer that never reads, without a limit.
func TestWriteInLoopToSlowReaderCloses(t *testing.T) {
	closed := make(chan error, 1)
	a, stop := accept(t, func() {}, func(*Conn) Handler { return &echoHandler{closed: closed} })
	defer stop()
	defer a.Stop()
	peer := dial(t, a.Addr())
	go func() {
		line := []byte(strings.Repeat("x", 1<<16) + "\n")
		for {
			if _, err := peer.Write(line); err != nil {
				return
			}
		}
	}()
	expectReason(t, closed, ErrSlowReader)
}

// When the bytes queued for all peers exceed their limit, the connection with most of them is closed, and no other.
func TestQueuedWritesOfAllConnectionsAreLimited(t *testing.T) {
	const limit = 8 << 20
	d, err := NewDialer(Options{MaxWriteQueue: 4 * limit, MaxQueuedWrites: limit})
	if err != nil {
		t.Fatal(err)
	}
	conns, closed := make(chan *Conn, 2), [2]chan error{make(chan error, 1), make(chan error, 1)}
	accepted := 0 // used on the goroutine of the acceptor
	a, err := d.StartAcceptor("127.0.0.1:0", func() {}, func(*Conn) Handler {
		accepted++
		return &openedHandler{echoHandler{closed: closed[accepted-1]}, conns}
	})
	if err != nil {
		t.Fatal(err)
	}
	dial(t, a.Addr())
	slowest := channeltest.Await(t, conns, "the first connection")
	dial(t, a.Addr())
	other := channeltest.Await(t, conns, "the second connection")
	other.Send(make([]byte, limit/2))
	for range 2 * limit >> 20 { // twice the limit, in MiB, which is half of MaxWriteQueue
		slowest.Send(make([]byte, 1<<20))
	}
	expectReason(t, closed[0], ErrSlowReader)
	if other.IsClosed() {
		t.Error("got both connections closed, want only the one with most bytes queued closed")
	}
	a.Stop()
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
}
