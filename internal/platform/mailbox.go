package platform

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// message is a message to the run loop from another goroutine.
type message struct {
	inputs       []requests.Input
	openedConn   *transport.Conn    // the connection, if the message reports that it has opened; else nil
	receivedAt   requests.Time      // when the event loop received it from an owner; 0: it is not from an owner
	notification *watchNotification // set if the message is from the endpoint watch; else nil
}

// mailbox queues the messages for the run loop in the order of their arrival. While it is full, it rejects messages from peers.
// It always accepts messages that must not be lost. Their number is bounded, since each connection ends once and each offer
// fails at most once. It is safe for concurrent use.
type mailbox struct {
	capacity int           // number of messages from which on the mailbox is full
	ready    chan struct{} // contains one token while messages are queued

	mu    sync.Mutex
	queue []message
	freed chan struct{} // closed and replaced by a new channel whenever messages are taken
}

func newMailbox(capacity int) *mailbox {
	return &mailbox{capacity: capacity, ready: make(chan struct{}, 1), freed: make(chan struct{})}
}

// tryPut queues a message unless the mailbox is full; it never waits.
func (b *mailbox) tryPut(m message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.capacity {
		return false
	}
	b.enqueue(m)
	return true
}

// forcePut queues a message even if the mailbox is full. It is for messages that must not be lost.
func (b *mailbox) forcePut(m message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(m)
}

// putWait waits until the mailbox has capacity and queues a message. It returns false if done is closed before.
func (b *mailbox) putWait(m message, done <-chan struct{}) bool {
	for {
		b.mu.Lock()
		freed := b.freed
		b.mu.Unlock()
		if b.tryPut(m) {
			return true
		}
		select {
		case <-freed:
		case <-done:
			return false
		}
	}
}

// enqueue appends a message. The caller holds mu.
func (b *mailbox) enqueue(m message) {
	b.queue = append(b.queue, m)
	b.signal()
}

// signal puts the token into ready, unless it is there already. The caller holds mu.
func (b *mailbox) signal() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take removes up to limit messages from the front of the queue, appends them to batch and returns it.
func (b *mailbox) take(batch []message, limit int) []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := min(limit, len(b.queue))
	batch = append(batch, b.queue[:taken]...)
	left := copy(b.queue, b.queue[taken:])
	clear(b.queue[left:])
	b.queue = b.queue[:left]
	if taken > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
	if left > 0 {
		b.signal()
	}
	return batch
}

// empty reports whether no message is queued.
func (b *mailbox) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) == 0
}
