package platform

import (
	"errors"
	"net"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
	"flaxshelf.example/flaxshelf/internal/corelimits"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// errMailboxFull is the reason for closing a connection when messages arrive faster than the run loop handles them.
var errMailboxFull = errors.New("platform: the run loop's mailbox is full")

// acquireOwnerSlot waits until one more connection from an owner may be accepted, or until the run loop has ended. Further
// connections wait in the listener's queue, so that owners cannot use up the descriptors for nodes.
func (s *scheduler) acquireOwnerSlot() {
	select {
	case s.ownerSlots <- struct{}{}:
	case <-s.loopDone:
	}
}

// newOwnerHandler returns the handler of a new connection from an owner, for which a slot was acquired.
func (s *scheduler) newOwnerHandler(*transport.Conn) transport.Handler {
	return &ownerHandler{scheduler: s, id: requests.ConnID(s.lastConnID.Add(1))}
}

// ownerHandler handles the messages that arrive on one connection from an owner. Its fields are used on the event loop only.
type ownerHandler struct {
	scheduler *scheduler
	id        requests.ConnID
	partial   partialMessage // true while the connection's last message is incomplete
	buffered  int            // bytes of that message that were received; they are reserved in the mailbox
}

// Opened implements transport.Opener. It closes the connection if the mailbox is full.
func (h *ownerHandler) Opened(c *transport.Conn) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr())
	connected := requests.OwnerConnected{Conn: h.id, Host: host}
	m := message{inputs: []requests.Input{connected}, openedConn: c, receivedAt: clock.Now()}
	if !h.scheduler.mailbox.tryPut(m) {
		c.Close(errMailboxFull)
	}
}

// Receive implements transport.Handler. A malformed message closes the connection, unless reject responds to it.
func (h *ownerHandler) Receive(c *transport.Conn, in []byte) (used int, err error) {
	now := clock.Now()
	m, used, err := h.decode(c, in, now)
	if len(m.inputs) > 0 {
		h.scheduler.mailbox.forcePut(m)
	}
	if err == nil && !h.reserveBuffered(len(in)-used) {
		err = errMailboxFull
	}
	h.scheduler.ownerPartialMessages.Add(h.partial.update(c, used, len(in), corelimits.OwnerIdleTimeout))
	if err != nil {
		h.scheduler.options.Log.Debug().Err(err).Str("owner", c.RemoteAddr()).
			Msg("malformed message from owner, closing its connection")
	}
	return used, err
}

// reserveBuffered sets the number of bytes that are reserved for a partial message. It returns false if there are too many.
func (h *ownerHandler) reserveBuffered(bytes int) bool {
	if !h.scheduler.mailbox.resizePartial(h.id, h.buffered, bytes) {
		return false
	}
	h.buffered = bytes
	return true
}

// decode decodes the complete messages at the start of in, and reserves bytes for their inputs, which it returns in one message
// for the run loop. used is the number of bytes that they take. Tasks that the owner releases or migrates are recorded at
// once, so that offers of them that are still queued are not written.
func (h *ownerHandler) decode(c *transport.Conn, in []byte, now requests.Time) (decoded message, used int, err error) {
	config := h.scheduler.config.Load()
	decoded = message{receivedAt: now, owner: h.id}
	for {
		m, size, err := ownerjson.Next(in[used:])
		if err != nil || size == 0 {
			return decoded, used, err
		}
		used += size
		input, err := config.DecodeOwnerMessage(h.id, now, m)
		if err != nil {
			input, err = h.reject(c, m, err)
		}
		if err != nil {
			return decoded, used, err
		}
		if input == nil {
			continue
		}
		if !h.reserve(input, size+inputOverhead) {
			if !h.rejectOnReceipt(c, input) {
				return decoded, used, errMailboxFull
			}
			continue
		}
		switch input := input.(type) {
		case requests.Release:
			h.scheduler.released.add(input.Task)
		case requests.Migrated:
			h.scheduler.released.add(input.Task)
		}
		decoded.inputs = append(decoded.inputs, input)
		decoded.reserved += size + inputOverhead
	}
}

// reserve reserves bytes for an input in the mailbox.
func (h *ownerHandler) reserve(input requests.Input, bytes int) bool {
	if _, isRequest := input.(requests.Submit); isRequest {
		return h.scheduler.mailbox.reserveRequest(h.id, bytes)
	}
	return h.scheduler.mailbox.reserveOther(h.id, bytes)
}

// rejectOnReceipt responds to an input for which no bytes can be reserved. A request is rejected, and a retry is safe, since no
// offer was made. A task that cannot be adopted is reported as lost, as by the core. It returns false for any other input.
func (h *ownerHandler) rejectOnReceipt(c *transport.Conn, input requests.Input) bool {
	switch input := input.(type) {
	case requests.Submit:
		h.respondTerminated(c, input.Task.ID, requests.CauseRejected)
	case requests.Adopt:
		h.respondTerminated(c, input.Task.ID, requests.CauseLost)
	default:
		return false
	}
	h.scheduler.rejectedOnReceipt.Add(1)
	return true
}

// respondTerminated sends the final response to a request that does not reach the run loop.
func (h *ownerHandler) respondTerminated(c *transport.Conn, task string, cause requests.Cause) {
	response, err := platformfront.EncodeTerminated(nil, &requests.Terminated{Task: task, Cause: cause})
	if err != nil {
		h.scheduler.options.Log.Error().Err(err).Str("task", task).Msg("cannot encode response to request")
	}
	c.WriteInLoop(response)
}

// reject handles an invalid message. It responds to a set-up with a release and returns the input that counts it as a protocol
// error; for any other message, it returns reason as the error.
func (h *ownerHandler) reject(c *transport.Conn, m *ownerjson.Message, reason error) (requests.Input, error) {
	h.scheduler.options.Log.Debug().Err(reason).Str("owner", c.RemoteAddr()).Msg("invalid message from owner")
	if m.Type != ownerjson.SetUp {
		return nil, reason
	}
	h.respondTerminated(c, m.ID, requests.CauseError)
	return requests.ProtocolError{Conn: h.id}, nil
}

// Closed implements transport.Handler. It releases the connection's slot, so that another connection may be accepted.
func (h *ownerHandler) Closed(*transport.Conn, error) {
	if h.partial {
		h.scheduler.ownerPartialMessages.Add(-1)
	}
	h.reserveBuffered(0)
	<-h.scheduler.ownerSlots
	h.scheduler.mailbox.forcePut(message{inputs: []requests.Input{requests.OwnerDisconnected{Conn: h.id}}})
}
