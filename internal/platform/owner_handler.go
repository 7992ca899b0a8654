package platform

import (
	"errors"
	"net"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// errMailboxFull is the reason for closing a connection whose messages arrive faster than the run loop handles them.
var errMailboxFull = errors.New("platform: the run loop's mailbox is full")

// acquireOwnerSlot waits for a slot for one more owner's connection. Connections beyond the slots wait in the listener's
// queue, so that owners cannot take the descriptors of nodes.
func (s *scheduler) acquireOwnerSlot() {
	select {
	case s.ownerSlots <- struct{}{}:
	case <-s.loopDone:
	}
}

// newOwnerHandler returns the handler of an owner's new connection, which has acquired a slot.
func (s *scheduler) newOwnerHandler(*transport.Conn) transport.Handler {
	return &ownerHandler{scheduler: s, id: requests.ConnID(s.lastConnID.Add(1))}
}

// ownerHandler reads the messages of one owner's connection. It belongs to the event loop.
type ownerHandler struct {
	scheduler *scheduler
	id        requests.ConnID
	partial   partialMessage
}

// Opened implements transport.Opener.
func (h *ownerHandler) Opened(c *transport.Conn) {
	host, _, _ := net.SplitHostPort(c.Remote())
	connected := requests.OwnerConnected{Conn: h.id, Host: host}
	m := message{inputs: []requests.Input{connected}, openedConn: c, receivedAt: clock.Now()}
	if !h.scheduler.mailbox.tryPut(m) {
		c.Close(errMailboxFull)
	}
}

// Receive implements transport.Handler. A line that cannot be parsed closes the connection.
func (h *ownerHandler) Receive(c *transport.Conn, in []byte) (used int, err error) {
	now := clock.Now()
	inputs, used, err := h.decode(c, in, now)
	if len(inputs) > 0 && !h.scheduler.mailbox.tryPut(message{inputs: inputs, receivedAt: now}) {
		return used, errMailboxFull
	}
	h.scheduler.ownerPartialMessages.Add(h.partial.update(c, used, len(in), idleTimeout))
	if err != nil {
		h.scheduler.options.Log.Debug().Err(err).Str("owner", c.Remote()).Msg("malformed message of an owner")
	}
	return used, err
}

// decode decodes the complete messages at the start of in, and returns how many bytes they take.
func (h *ownerHandler) decode(c *transport.Conn, in []byte, now requests.Time) (inputs []requests.Input, used int, err error) {
	config := h.scheduler.config.Load()
	for {
		m, size, err := ownerjson.Next(in[used:])
		if err != nil || size == 0 {
			return inputs, used, err
		}
		used += size
		input, err := config.DecodeOwnerMessage(h.id, now, m)
		if err != nil {
			input, err = h.reject(c, m, err)
		}
		if err != nil {
			return inputs, used, err
		}
		switch input := input.(type) {
		case nil:
			continue
		case requests.Release:
			h.scheduler.released.add(input.Task)
		case requests.Migrated:
			h.scheduler.released.add(input.Task)
		}
		inputs = append(inputs, input)
	}
}

// reject responds to an invalid request and returns the core's input for it. Any other invalid message is an error, with the
// reason.
func (h *ownerHandler) reject(c *transport.Conn, m *ownerjson.Message, reason error) (requests.Input, error) {
	h.scheduler.options.Log.Debug().Err(reason).Str("owner", c.Remote()).Msg("message of an owner rejected")
	if m.Type != ownerjson.SetUp {
		return nil, reason
	}
	answer, err := platformfront.EncodeTerminated(nil, &requests.Terminated{Task: m.ID, Cause: requests.CauseError})
	if err != nil {
		h.scheduler.options.Log.Error().Err(err).Msg("message cannot be encoded")
	}
	c.WriteInLoop(answer)
	return requests.ProtocolError{Conn: h.id}, nil
}

// Closed implements transport.Handler.
func (h *ownerHandler) Closed(*transport.Conn, error) {
	if h.partial {
		h.scheduler.ownerPartialMessages.Add(-1)
	}
	<-h.scheduler.ownerSlots
	h.scheduler.mailbox.forcePut(message{inputs: []requests.Input{requests.OwnerDisconnected{Conn: h.id}}})
}
