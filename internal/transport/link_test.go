package transport

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

// A link connects, reports that its connection is gone, and connects again when the other side is back.
func TestLinkReconnects(t *testing.T) {
	d, stopDialer := newDialer(t)
	defer stopDialer()
	startServer := func(addr string) *Server {
		s, err := Listen(addr, Options{}, newEchoHandler)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	stopServer := func(s *Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	}
	s := startServer("127.0.0.1:0")
	addr := s.Addr()
	handler := &greetingHandler{received: make(chan struct{}, 100)}
	downs := make(chan error, 100)
	d.Link(addr, time.Second, Backoff{Initial: time.Millisecond, Max: 20 * time.Millisecond},
		func() Handler { return handler }, func(err error) { downs <- err })
	awaitAnswer := func(failure string) {
		t.Helper()
		select {
		case <-handler.received:
		case <-time.After(10 * time.Second):
			t.Fatal(failure)
		}
	}
	awaitAnswer("no answer")
	stopServer(s)
	if err := awaitReason(t, downs); !errors.Is(err, ErrPeerClosed) {
		t.Errorf("%v, want the end of the connection", err)
	}
	if err := awaitReason(t, downs); err == nil || !strings.Contains(err.Error(), "connect") {
		t.Errorf("%v, want a failure to connect", err)
	}
	s = startServer(addr)
	defer stopServer(s)
	awaitAnswer("no answer from the server that came back")
}

// Waits double up to the maximum, with jitter, and never overflow.
func TestBackoff(t *testing.T) {
	b := Backoff{Initial: 10 * time.Millisecond, Max: time.Second}
	for failures := range 100 {
		wait := b.wait(failures)
		if wait > time.Second || wait < 5*time.Millisecond || failures > 20 && wait < 500*time.Millisecond {
			t.Errorf("after %d failures: %v", failures, wait)
		}
	}
}
