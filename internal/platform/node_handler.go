package platform

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// nodeMessageTimeout is how long the rest of a node's message may take: a message that ends too early, or whose length is
// wrong, would consume all that follows on the connection.
const nodeMessageTimeout = 300 * time.Millisecond

// nodeHandler reads the messages of one link to a node. It belongs to the event loop.
type nodeHandler struct {
	scheduler *scheduler
	link      requests.LinkID
	partial   partialMessage
}

// Opened implements transport.Opener.
func (h *nodeHandler) Opened(c *transport.Conn) {
	if !h.scheduler.mailbox.tryPut(message{inputs: []requests.Input{requests.LinkUp{Link: h.link}}, openedConn: c}) {
		c.Close(errMailboxFull)
	}
}

// Receive implements transport.Handler. A message that cannot be parsed closes the connection.
func (h *nodeHandler) Receive(c *transport.Conn, in []byte) (used int, err error) {
	inputs, used, err := h.decode(in)
	if len(inputs) > 0 && !h.scheduler.mailbox.tryPut(message{inputs: inputs}) {
		return used, errMailboxFull
	}
	h.partial.update(c, used, len(in), nodeMessageTimeout)
	return used, err
}

// decode decodes the complete messages at the start of in, and returns how many bytes they take.
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
	h.scheduler.options.Log.Debug().Err(reason).Str("node_address", c.Remote()).Msg("link to the node closed")
	h.scheduler.mailbox.forcePut(message{inputs: []requests.Input{requests.LinkDown{Link: h.link}}})
}
