package transport

import (
	"strings"
	"testing"
	"time"
)

// A link connects, reports that its connection has closed, and reconnects when the server is available again.
func TestLinkReconnects(t *testing.T) {
	d, stopDialer := newDialer(t)
	defer stopDialer()
	s := startServer(t, "127.0.0.1:0", Options{}, newEchoHandler)
	addr := s.Addr()
	handler := &greetingHandler{received: make(chan struct{}, 100)}
	downs := make(chan error, 100)
	d.StartLink(addr, time.Second, Backoff{Initial: time.Millisecond, Max: 20 * time.Millisecond},
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
	stopServer(t, s)
	expectReason(t, downs, ErrPeerClosed)
	if err := awaitReason(t, downs); err == nil || !strings.Contains(err.Error(), "connect") {
		t.Errorf("got %v, want a failure to connect", err)
	}
	s = startServer(t, addr, Options{}, newEchoHandler)
	defer stopServer(t, s)
	awaitAnswer("no answer from the restarted server")
}

// The backoff is doubled up to its maximum, with jitter, and does not overflow.
func TestBackoffIsBounded(t *testing.T) {
	b := Backoff{Initial: 10 * time.Millisecond, Max: time.Second}
	for failures := range 100 {
		delay := b.delay(failures)
		if delay > time.Second || delay < 5*time.Millisecond || failures > 20 && delay < 500*time.Millisecond {
			t.Errorf("after %d failures: got %v, want 5ms to 1s, and from 500ms after 20 failures", failures, delay)
		}
	}
}
