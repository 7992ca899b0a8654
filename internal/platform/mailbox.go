package platform

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/bytebudget"
	"flaxshelf.example/flaxshelf/internal/corelimits"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// message is a message to the run loop from another goroutine.
type message struct {
	inputs       []requests.Input
	openedConn   *transport.Conn    // the connection, if the message reports that it has opened; else nil
	receivedAt   requests.Time      // when the event loop received it from an owner; 0: it is not from an owner
	notification *watchNotification // set if the message is from the endpoint watch; else nil
	socketsRead  requests.Time      // by then, the event loop had read what owners had sent; 0: the message does not tell

	// reserved is the number of bytes that the mailbox holds for the message, for the owner or the link below; 0: none.
	reserved int
	owner    requests.ConnID
	link     requests.LinkID
}

// inputOverhead is the size in bytes of a queued input beside its texts.
const inputOverhead = 512

// mailboxLimits are the limits of a mailbox.
type mailboxLimits struct {
	messages int                     // number of messages without reserved bytes from which on the mailbox is full
	memory   corelimits.MemoryBudget // has the limits of bytes that were received and not handled yet
	owners   int                     // maximum number of connections from owners
	links    int                     // maximum number of links
}

// mailbox queues the messages for the run loop in the order of their arrival. While it is full, it rejects messages from peers.
// What owners and nodes send is limited by bytes, which are reserved for the peer before its message is queued.
// It always accepts messages that must not be lost. Their number is bounded, since each connection ends once and each offer
// fails at most once. It is safe for concurrent use.
type mailbox struct {
	capacity int           // number of messages without reserved bytes from which on the mailbox is full
	ready    chan struct{} // contains one token while messages are queued

	mu         sync.Mutex
	queue      []message
	unreserved int // number of queued messages without reserved bytes
	ownerBytes *bytebudget.Budget[requests.ConnID]
	linkBytes  *bytebudget.Budget[requests.LinkID]
	// partialBytes are those of owners' partial messages. They have a budget of their own, so that the next message of an owner
	// that has used up its share is received, and rejected, while its connection stays open.
	partialBytes *bytebudget.Budget[requests.ConnID]
	freed        chan struct{} // closed and replaced by a new channel whenever messages are taken
}

func newMailbox(limits mailboxLimits) *mailbox {
	return &mailbox{
		capacity:     limits.messages,
		ready:        make(chan struct{}, 1),
		freed:        make(chan struct{}),
		ownerBytes:   bytebudget.New[requests.ConnID](limits.memory.OwnerMessages, limits.owners),
		linkBytes:    bytebudget.New[requests.LinkID](limits.memory.NodeMessages, limits.links),
		partialBytes: bytebudget.New[requests.ConnID](limits.memory.PartialMessages, limits.owners),
	}
}

// reserveRequest reserves bytes for a request of an owner. It returns false if the owner, or all of them, have too much
// unhandled.
func (b *mailbox) reserveRequest(owner requests.ConnID, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ownerBytes.Reserve(owner, bytes)
}

// reserveOther reserves bytes for another message of an owner, of which one connection may have many at once: after a start, an
// owner hands all of its running tasks over. It returns false if all owners together have too much unhandled.
func (b *mailbox) reserveOther(owner requests.ConnID, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ownerBytes.ReserveBeyondMaximum(owner, bytes)
}

// resizePartial changes the bytes that are reserved for an owner's partial message. It returns false, and changes nothing, if the
// owner, or all of them, have too many.
func (b *mailbox) resizePartial(owner requests.ConnID, from, to int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if to > from {
		return b.partialBytes.Reserve(owner, to-from)
	}
	b.partialBytes.Release(owner, from-to)
	return true
}

// reserveLink reserves bytes for what a node has sent on a link. It returns false if too much is unhandled.
func (b *mailbox) reserveLink(link requests.LinkID, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.linkBytes.Reserve(link, bytes)
}

// reservedBytes returns the bytes reserved for all peers.
func (b *mailbox) reservedBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ownerBytes.Used() + b.linkBytes.Used() + b.partialBytes.Used()
}

// tryPut queues a message unless the mailbox is full; it never waits.
func (b *mailbox) tryPut(m message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unreserved >= b.capacity {
		return false
	}
	b.enqueue(m)
	return true
}

// forcePut queues a message even if the mailbox is full. It is for messages that must not be lost, and for those whose bytes are
// reserved.
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
	if m.reserved == 0 {
		b.unreserved++
	}
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

// take removes messages from the front of the queue, appends them to batch and returns it. It takes up to limit messages, and
// none after maxBatchBytes reserved bytes.
func (b *mailbox) take(batch []message, limit int) []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken, bytes := 0, 0
	for taken < min(limit, len(b.queue)) && bytes < maxBatchBytes {
		bytes += b.queue[taken].reserved
		b.release(b.queue[taken])
		taken++
	}
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

// release releases the bytes reserved for a message that is taken. The caller holds mu.
func (b *mailbox) release(m message) {
	switch {
	case m.reserved == 0:
		b.unreserved--
	case m.owner != 0:
		b.ownerBytes.Release(m.owner, m.reserved)
	default:
		b.linkBytes.Release(m.link, m.reserved)
	}
}

// empty reports whether no message is queued.
func (b *mailbox) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) == 0
}
