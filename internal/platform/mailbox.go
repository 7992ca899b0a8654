package platform

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// message is a message of the event loop or the endpoint watch to the run loop.
type message struct {
	inputs       []requests.Input
	openedConn   *transport.Conn    // the connection that has just opened; else nil
	receivedAt   requests.Time      // when the event loop read it from an owner; 0: it is not from an owner
	notification *watchNotification // a notification of the endpoint watch; else nil
}

// mailbox queues the messages for the run loop in the order of their arrival. Messages of peers are rejected while it is
// full. Messages that must not be lost are always accepted, since their number is bounded by what they report: one end for
// each connection, one failure for each offer. It is safe for concurrent use.
type mailbox struct {
	capacity int
	ready    chan struct{} // holds one token while messages are queued

	mu    sync.Mutex
	queue []message
	freed chan struct{} // closed and replaced whenever capacity becomes available
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

// forcePut queues a message even if the mailbox is full.
func (b *mailbox) forcePut(m message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(m)
}

// putWait queues a message once there is capacity. It reports whether that was before done was closed.
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

// signal puts the token into ready. The caller holds mu.
func (b *mailbox) signal() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take moves the first messages, limit at most, to the end of batch, in their order.
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
