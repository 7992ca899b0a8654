package platform

import (
	"slices"
	"testing"
	"testing/synctest"

	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// disconnected returns a message that reports that an owner's connection has closed.
func disconnected(conn requests.ConnID) message {
	return message{inputs: []requests.Input{requests.OwnerDisconnected{Conn: conn}}}
}

// expectTaken takes up to limit messages, which disconnected must have created, and checks the connections that they name.
func expectTaken(t *testing.T, b *mailbox, limit int, want ...requests.ConnID) {
	t.Helper()
	var got []requests.ConnID
	for _, m := range b.take(nil, limit) {
		got = append(got, m.inputs[0].(requests.OwnerDisconnected).Conn)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got messages of connections %v, want %v", got, want)
	}
}

// A full mailbox rejects messages of tryPut and accepts those of forcePut, and delivers all in the order of their arrival: a
// disconnect must not overtake an earlier message.
func TestMailboxOrder(t *testing.T) {
	b := newMailbox(mailboxLimits{messages: 2})
	put := func(m message) bool { b.forcePut(m); return true }
	for i, queue := range []func(message) bool{b.tryPut, b.tryPut, b.tryPut, put} {
		if got, want := queue(disconnected(requests.ConnID(i+1))), i != 2; got != want {
			t.Errorf("message %d: got accepted %v, want %v", i+1, got, want)
		}
	}
	expectTaken(t, b, 2, 1, 2)
	channeltest.Await(t, b.ready, "the token of the message that is left")
	b.tryPut(disconnected(5))
	expectTaken(t, b, 9, 4, 5)
	if !b.empty() {
		t.Error("got a mailbox with messages, want it empty")
	}
}

// putWait queues its message once another message is taken, and gives up when the run loop has ended.
func TestMailboxPutWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMailbox(mailboxLimits{messages: 1})
		b.tryPut(disconnected(1))
		loopDone, accepted := make(chan struct{}), make(chan bool, 1)
		go func() { accepted <- b.putWait(disconnected(2), loopDone) }()
		synctest.Wait()
		if len(accepted) > 0 {
			t.Fatal("putWait returned, want it to wait for capacity")
		}
		b.take(nil, 1)
		if !channeltest.Await(t, accepted, "the result of putWait") {
			t.Error("the message was not accepted, want it accepted after another was taken")
		}
		go func() { accepted <- b.putWait(disconnected(3), loopDone) }()
		synctest.Wait()
		close(loopDone)
		if channeltest.Await(t, accepted, "the result of putWait") {
			t.Error("the message was accepted, want it rejected after the end of the run loop")
		}
	})
}
