package platform

import "sync"

// mailbox holds the messages for the owner of the core, in the order of their coming. What loops take in from outside is
// turned away where it is full; word that must not be lost is always taken, since what it tells of bounds it: one end of a
// connection, one offer that was not written.
type mailbox struct {
	most  int
	ready chan struct{} // holds one token where something is there

	mu   sync.Mutex
	all  []message
	room chan struct{} // closed and made anew where room has come
}

func newMailbox(most int) *mailbox {
	return &mailbox{most: most, ready: make(chan struct{}, 1), room: make(chan struct{})}
}

// offer takes a message if there is room; it never waits.
func (b *mailbox) offer(m message) bool { return b.put(m, b.most) }

// tell takes a message in any case.
func (b *mailbox) tell(m message) { b.put(m, 0) }

// pass waits for room; false: until was closed before.
func (b *mailbox) pass(m message, until <-chan struct{}) bool {
	for {
		b.mu.Lock()
		room := b.room
		b.mu.Unlock()
		if b.offer(m) {
			return true
		}
		select {
		case <-room:
		case <-until:
			return false
		}
	}
}

func (b *mailbox) put(m message, most int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if most > 0 && len(b.all) >= most {
		return false
	}
	b.all = append(b.all, m)
	b.wake()
	return true
}

// wake is called with the lock held.
func (b *mailbox) wake() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take moves up to most messages behind into, in their order.
func (b *mailbox) take(into []message, most int) []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(most, len(b.all))
	into = append(into, b.all[:n]...)
	rest := copy(b.all, b.all[n:])
	clear(b.all[rest:])
	b.all = b.all[:rest]
	if n > 0 {
		close(b.room)
		b.room = make(chan struct{})
	}
	if rest > 0 {
		b.wake()
	}
	return into
}

// empty tells whether nothing waits.
func (b *mailbox) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.all) == 0
}
