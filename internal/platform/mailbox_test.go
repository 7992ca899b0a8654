package platform

import (
	"testing"
	"testing/synctest"

	"flaxshelf.example/flaxshelf/internal/requests"
)

func conns(all []message) (out []requests.Conn) {
	for _, m := range all {
		out = append(out, m.in[0].(requests.OwnerDisconnected).Conn)
	}
	return out
}

func word(n requests.Conn) message {
	return message{in: []requests.Input{requests.OwnerDisconnected{Conn: n}}}
}

// What must not be lost is taken where the box is full, and keeps its place: a close never overtakes what came before it.
func TestMailboxOrder(t *testing.T) {
	b := newMailbox(2)
	for i, put := range []func(message) bool{b.offer, b.offer, b.offer, func(m message) bool { b.tell(m); return true }} {
		if got := put(word(requests.Conn(i + 1))); got != (i != 2) {
			t.Errorf("message %d: %v", i+1, got)
		}
	}
	if got := conns(b.take(nil, 2)); len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("%v", got)
	}
	<-b.ready // something is left
	b.offer(word(5))
	if got := conns(b.take(nil, 9)); len(got) != 2 || got[0] != 4 || got[1] != 5 {
		t.Errorf("%v", got)
	}
	if !b.empty() {
		t.Error("not empty")
	}
}

// Who waits for room gets it when some has come, and goes where the owner has ended.
func TestMailboxWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMailbox(1)
		b.offer(word(1))
		until, done := make(chan struct{}), make(chan bool, 1)
		go func() { done <- b.pass(word(2), until) }()
		synctest.Wait()
		if len(done) > 0 {
			t.Fatal("it did not wait")
		}
		b.take(nil, 1)
		if !<-done {
			t.Error("it was not taken")
		}
		go func() { done <- b.pass(word(3), until) }()
		synctest.Wait()
		close(until)
		if <-done {
			t.Error("it was taken by nobody")
		}
	})
}
