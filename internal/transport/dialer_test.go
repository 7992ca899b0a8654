package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/channeltest"
)

// unusedHandler fails its test if any of its methods is called.
type unusedHandler struct{ t *testing.T }

func (h unusedHandler) Opened(*Conn) { h.t.Error("got Opened after a failed Dial, want no call") }

func (h unusedHandler) Receive(_ *Conn, in []byte) (int, error) {
	h.t.Error("got Receive after a failed Dial, want no call")
	return len(in), nil
}

func (h unusedHandler) Closed(*Conn, error) {
	h.t.Error("got Closed after a failed Dial, want no call")
}

// holdEventLoop connects to a server of listener and blocks the dialer's only event loop.
func holdEventLoop(t *testing.T, d *Dialer, listener net.Listener) *blockingHandler {
	t.Helper()
	handler := newBlockingHandler()
	if _, err := d.Dial(t.Context(), listener.Addr().String(), 5*time.Second, handler); err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	channeltest.Await(t, handler.blocked, "the held event loop")
	return handler
}

// Dial must not wait beyond its timeout for an event loop that is held. With the former code a scheduler's dial, and with it its
// shutdown, waited for as long as the loop was held.
func TestDialReturnsWhileEventLoopIsHeld(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		cancel  bool
		want    error
	}{
		{"timeout", 50 * time.Millisecond, false, context.DeadlineExceeded},
		{"canceled", time.Hour, true, context.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, err := NewDialer(Options{EventLoops: 1})
			if err != nil {
				t.Fatal(err)
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			held := holdEventLoop(t, d, listener)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			result := make(chan error, 1)
			go func() {
				_, err := d.Dial(ctx, listener.Addr().String(), c.timeout, unusedHandler{t})
				result <- err
			}()
			abandoned, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = abandoned.Close() }()
			if c.cancel {
				cancel()
			}
			select {
			case err := <-result:
				if !errors.Is(err, c.want) {
					t.Errorf("got error %v, want %v", err, c.want)
				}
			case <-time.After(10 * time.Second):
				t.Error("got no result of Dial while the event loop is held, want an error")
			}
			channeltest.Send(t, held.release, struct{}{}, "the held event loop")
			_ = abandoned.SetReadDeadline(time.Now().Add(10 * time.Second))
			if n, err := abandoned.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
				t.Errorf("got %d bytes, error %v on the abandoned connection, want it closed", n, err)
			}
			if err := d.Stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestDialAfterStopFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	d, stop := newDialer(t)
	stop()
	if _, err := d.Dial(t.Context(), listener.Addr().String(), 5*time.Second, unusedHandler{t}); !errors.Is(err, ErrStopping) {
		t.Errorf("got error %v, want %v", err, ErrStopping)
	}
}
