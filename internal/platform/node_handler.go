package platform

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// nodeMessageTimeout is how long the rest of a partially received message from a node may take to arrive. Without it, a message
// that is truncated or has a wrong length would swallow the messages that follow on the connection.
const nodeMessageTimeout = 300 * time.Millisecond

// nodeHandler handles the messages that arrive on one link to a node. Its fields are used on the event loop only.
type nodeHandler struct {
	scheduler *scheduler
	link      requests.LinkID
	partial   partialMessage // true while the link's last message is incomplete
}

// Opened implements transport.Opener. It closes the link if the mailbox is full.
func (h *nodeHandler) Opened(c *transport.Conn) {
	if !h.scheduler.mailbox.tryPut(message{inputs: []requests.Input{requests.LinkUp{Link: h.link}}, openedConn: c}) {
		c.Close(errMailboxFull)
	}
}

// Receive implements transport.Handler. A malformed message closes the link.
func (h *nodeHandler) Receive(c *transport.Conn, in []byte) (used int, err error) {
	inputs, used, err := h.decode(in)
	if len(inputs) > 0 {
		size := used + len(inputs)*inputOverhead
		if !h.scheduler.mailbox.reserveLink(h.link, size) {
			return used, errMailboxFull
		}
		h.scheduler.mailbox.forcePut(message{inputs: inputs, reserved: size, link: h.link})
	}
	h.partial.update(c, used, len(in), nodeMessageTimeout)
	return used, err
}

// decode decodes the complete messages at the start of in. used is the number of bytes that they take.
func (h *nodeHandler) decode(in []byte) (inputs []requests.Input, used int, err error) {
	for {
		m, size, err := nodebinary.Next(in[used:])
		if err != nil || size == 0 {
			return inputs, used, err
		}
		used += size
		input, err := platformfront.DecodeNodeMessage(h.link, &m)
		if err != nil {
			return inputs, used, err
		}
		if input != nil {
			inputs = append(inputs, input)
		}
	}
}

// Closed implements transport.Handler.
func (h *nodeHandler) Closed(c *transport.Conn, reason error) {
	h.scheduler.options.Log.Debug().Err(reason).Str("node_address", c.RemoteAddr()).Msg("link to the node closed")
	h.scheduler.mailbox.forcePut(message{inputs: []requests.Input{requests.LinkDown{Link: h.link}}})
}
