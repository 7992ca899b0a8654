package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Partial input is kept; several messages in one read are all handled; what the handler writes arrives.
func TestEcho(t *testing.T) {
	closed := make(chan error, 1)
	s := listen(t, Options{}, func(*Conn) Handler { return &echoHandler{closed: closed} })
	c := dial(t, s.Addr())
	for _, part := range []string{"o", "ne\ntw", "o\nthree\n"} {
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
	}
	b := make([]byte, len("one\ntwo\nthree\n"))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "one\ntwo\nthree\n" {
		t.Errorf("%q, %v", b, err)
	}
	_ = c.Close()
	if err := awaitReason(t, closed); !errors.Is(err, ErrPeerClosed) {
		t.Error(err)
	}
}

// Each way in which this side closes a connection is reported by its error.
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
			s := listen(t, c.options, func(conn *Conn) Handler {
				conns <- conn
				return &echoHandler{closed: closed, discard: c.discard}
			})
			peer := dial(t, s.Addr())
			c.provoke(peer, <-conns)
			if err := awaitReason(t, closed); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

// DisableIdleTimeout removes the idle timeout.
func TestDisableIdleTimeout(t *testing.T) {
	closed := make(chan error, 1)
	s := listen(t, Options{IdleTimeout: 30 * time.Millisecond}, func(c *Conn) Handler {
		c.DisableIdleTimeout()
		return &echoHandler{closed: closed}
	})
	c := dial(t, s.Addr())
	select {
	case err := <-closed:
		t.Errorf("closed: %v", err)
	case <-time.After(150 * time.Millisecond):
	}
	_, _ = io.WriteString(c, "x\n")
	b := make([]byte, 2)
	if _, err := io.ReadFull(c, b); err != nil {
		t.Error(err)
	}
}

// A slow reader does not block another connection of the same event loop.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	conns := make(chan *Conn, 2)
	s := listen(t, Options{MaxWriteQueue: 64 << 20}, func(c *Conn) Handler {
		conns <- c
		return newEchoHandler(c)
	})
	dial(t, s.Addr())
	slow := <-conns
	other := dial(t, s.Addr())
	<-conns
	for range 32 {
		slow.Send(make([]byte, 1<<20))
	}
	_ = other.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(other, "x\n")
	if _, err := io.ReadFull(other, make([]byte, 2)); err != nil {
		t.Error(err)
	}
}

// Our side closes after what was queued, and what the peer sends until it has closed too is read.
func TestCloseWrite(t *testing.T) {
	conns, closed := make(chan *Conn, 1), make(chan error, 1)
	a, stop := accept(t, func() {}, func(*Conn) Handler { return &openedHandler{echoHandler{closed: closed}, conns} })
	c := dial(t, a.Addr())
	conn, big := <-conns, strings.Repeat("x", 4<<20)
	conn.Send([]byte(big))
	conn.CloseWrite()
	if got, err := io.ReadAll(c); err != nil || string(got) != big {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, err := io.WriteString(c, "still read\n"); err != nil {
		t.Error(err)
	}
	_ = c.Close()
	if err := awaitReason(t, closed); !errors.Is(err, ErrPeerClosed) {
		t.Error(err)
	}
	a.Stop()
	stop()
}

// Addresses that are malformed or in use are errors.
func TestInvalidAddresses(t *testing.T) {
	for _, addr := range []string{"", "nonsense", "127.0.0.1:99999", "256.0.0.1:1"} {
		if s, err := Listen(addr, Options{}, nil); err == nil {
			_ = s.Stop(context.Background())
			t.Errorf("%q was accepted", addr)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if s, err := Listen(l.Addr().String(), Options{}, func(*Conn) Handler { return nil }); err == nil {
		_ = s.Stop(context.Background())
		t.Error("a port in use was accepted")
	}
}

func BenchmarkEcho(b *testing.B) {
	s, err := Listen("127.0.0.1:0", Options{}, newEchoHandler)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 64)
	for b.Loop() {
		if _, err := fmt.Fprintln(c, "0123456789"); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, buf[:11]); err != nil {
			b.Fatal(err)
		}
	}
}
