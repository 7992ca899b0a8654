package platform

import (
	"slices"
	"testing"
	"testing/synctest"

	"flaxshelf.example/flaxshelf/internal/requests"
)

// disconnected is a message that reports one connection's end.
func disconnected(conn requests.Conn) message {
	return message{inputs: []requests.Input{requests.OwnerDisconnected{Conn: conn}}}
}

// connsOf returns the connections of messages that disconnected made.
func connsOf(messages []message) (conns []requests.Conn) {
	for _, m := range messages {
		conns = append(conns, m.inputs[0].(requests.OwnerDisconnected).Conn)
	}
	return conns
}

// Messages that must not be lost are accepted by a full mailbox and keep their order: a disconnect never overtakes what came
// before it.
func TestMailboxOrder(t *testing.T) {
	b := newMailbox(2)
	put := func(m message) bool { b.put(m); return true }
	for i, queue := range []func(message) bool{b.tryPut, b.tryPut, b.tryPut, put} {
		if got := queue(disconnected(requests.Conn(i + 1))); got != (i != 2) {
			t.Errorf("message %d: %v", i+1, got)
		}
	}
	if got := connsOf(b.take(nil, 2)); !slices.Equal(got, []requests.Conn{1, 2}) {
		t.Errorf("%v", got)
	}
	<-b.ready // a message is left
	b.tryPut(disconnected(5))
	if got := connsOf(b.take(nil, 9)); !slices.Equal(got, []requests.Conn{4, 5}) {
		t.Errorf("%v", got)
	}
	if !b.empty() {
		t.Error("not empty")
	}
}

// A goroutine that waits for capacity gets it when a message is taken, and gives up when the run loop has ended.
func TestMailboxPutWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMailbox(1)
		b.tryPut(disconnected(1))
		loopDone, accepted := make(chan struct{}), make(chan bool, 1)
		go func() { accepted <- b.putWait(disconnected(2), loopDone) }()
		synctest.Wait()
		if len(accepted) > 0 {
			t.Fatal("it did not wait")
		}
		b.take(nil, 1)
		if !<-accepted {
			t.Error("the message was not accepted")
		}
		go func() { accepted <- b.putWait(disconnected(3), loopDone) }()
		synctest.Wait()
		close(loopDone)
		if <-accepted {
			t.Error("the message was accepted though nobody takes it")
		}
	})
}
