package host

import (
	"errors"
	"fmt"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/framereader"
	"flaxshelf.example/flaxshelf/internal/transport"
)

var (
	errNoHello  = errors.New("host: the first frame must be a hello that names its party")
	errReplaced = errors.New("host: a newer connection of this party has replaced this one")
)

// connHandler parses the frames of one connection and passes them to the owner of the model. It is used only by the
// connection's event loop.
type connHandler struct {
	host     *host
	hasHello bool
}

// Receive implements transport.Handler.
func (c *connHandler) Receive(conn *transport.Conn, received []byte) (int, error) {
	return framereader.Each(received, func(frame *nodepb.Frame) error {
		if !c.hasHello {
			return c.receiveHello(conn, frame)
		}
		if !c.host.tryEnqueue(func() { c.host.receiveFrame(conn, frame) }) {
			return errMailboxFull
		}
		return nil
	})
}

// receiveHello handles the first frame of a connection. An error closes the connection; if no protocol version is common, the
// reason is sent before.
func (c *connHandler) receiveHello(conn *transport.Conn, frame *nodepb.Frame) error {
	hello := frame.GetHello()
	if hello == nil || hello.Party == "" {
		return errNoHello
	}
	if _, err := nodeframe.NegotiateVersion(hello.VersionMin, hello.VersionMax); err != nil {
		conn.WriteInLoop(encode(byeFrame(err.Error())))
		return err
	}
	c.hasHello = true
	if !c.host.tryEnqueue(func() { c.host.model.connect(clock.Now(), conn, hello) }) {
		return errMailboxFull
	}
	return nil
}

// Closed implements transport.Handler.
func (c *connHandler) Closed(conn *transport.Conn, _ error) {
	if c.hasHello {
		c.host.enqueue(func() { c.host.connectionClosed(conn) })
	}
}

// receiveFrame passes a frame to the model, unless the connection was replaced or rejected.
func (h *host) receiveFrame(conn *transport.Conn, frame *nodepb.Frame) {
	if party := h.parties.names[conn]; party != "" {
		h.model.receive(clock.Now(), party, frame)
	}
}

// connectionClosed notifies the model of a closed connection, unless the connection was replaced or rejected.
func (h *host) connectionClosed(conn *transport.Conn) {
	if party := h.parties.remove(conn); party != "" {
		h.model.disconnect(clock.Now(), party)
	}
}

// byeFrame returns a goodbye, the last frame of a connection.
func byeFrame(reason string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Bye{Bye: &nodepb.Bye{Reason: reason}}}
}

// encode encodes a frame. This is not expected to fail, since stand-ins split long lists so that frames stay within the size
// limit. If it fails, encode returns an encoded goodbye with the error instead.
func encode(frame *nodepb.Frame) []byte {
	encoded, err := nodeframe.Append(nil, frame)
	if err != nil {
		encoded, _ = nodeframe.Append(nil, byeFrame(fmt.Sprintf("a frame could not be sent: %v", err)))
	}
	return encoded
}

// parties are the connections on which a hello was received, by the name of the party: the scheduler or node that has opened
// the connection. They are used only by the owner of a host.
type parties struct {
	conns map[string]*transport.Conn
	names map[*transport.Conn]string
}

// newParties returns parties without connections.
func newParties() parties {
	return parties{conns: map[string]*transport.Conn{}, names: map[*transport.Conn]string{}}
}

// add sets the connection of a party. An earlier connection of the party is closed.
func (p *parties) add(name string, conn *transport.Conn) {
	if old := p.conns[name]; old != nil && old != conn {
		delete(p.names, old)
		old.Close(errReplaced)
	}
	p.conns[name], p.names[conn] = conn, name
}

// remove removes a connection and returns its party, or an empty name if the connection was replaced or rejected.
func (p *parties) remove(conn *transport.Conn) string {
	name, ok := p.names[conn]
	if ok {
		delete(p.names, conn)
		delete(p.conns, name)
	}
	return name
}

// send sends a frame to a party. The frame is dropped if the party is not connected.
func (p *parties) send(to string, frame *nodepb.Frame) {
	if conn := p.conns[to]; conn != nil {
		conn.Send(encode(frame))
	}
}
