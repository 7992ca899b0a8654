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
	errNoHello  = errors.New("host: the first frame must be a hello")
	errReplaced = errors.New("host: the party has connected again")
)

// partyHandler reads the frames of one connection. It belongs to the connection's event loop.
type connHandler struct {
	host     *host
	hasHello bool
}

// Receive implements transport.Handler.
func (p *connHandler) Receive(conn *transport.Conn, received []byte) (int, error) {
	return framereader.Each(received, func(frame *nodepb.Frame) error {
		if !p.hasHello {
			return p.receiveHello(conn, frame)
		}
		if !p.host.tryEnqueue(func() { p.host.receiveFrame(conn, frame) }) {
			return errMailboxFull
		}
		return nil
	})
}

func (p *connHandler) receiveHello(conn *transport.Conn, frame *nodepb.Frame) error {
	hello := frame.GetHello()
	if hello == nil || hello.Party == "" {
		return errNoHello
	}
	if _, err := nodeframe.NegotiateVersion(hello.VersionMin, hello.VersionMax); err != nil {
		conn.WriteInLoop(encode(byeFrame(err.Error())))
		return err
	}
	p.hasHello = true
	if !p.host.tryEnqueue(func() { p.host.model.connect(clock.Now(), conn, hello) }) {
		return errMailboxFull
	}
	return nil
}

// Closed implements transport.Handler.
func (p *connHandler) Closed(conn *transport.Conn, _ error) {
	if p.hasHello {
		p.host.enqueue(func() { p.host.connectionClosed(conn) })
	}
}

// receiveFrame passes a frame to the model unless its connection was replaced.
func (h *host) receiveFrame(conn *transport.Conn, frame *nodepb.Frame) {
	if party := h.parties.names[conn]; party != "" {
		h.model.receive(clock.Now(), party, frame)
	}
}

// connectionClosed notifies the model of a closed connection unless it was replaced.
func (h *host) connectionClosed(conn *transport.Conn) {
	if party := h.parties.remove(conn); party != "" {
		h.model.disconnect(clock.Now(), party)
	}
}

func byeFrame(reason string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Bye{Bye: &nodepb.Bye{Reason: reason}}}
}

// encode encodes a frame. Stand-ins split their frames to stay within the size limit, so that encoding does not fail. If it
// fails nevertheless, encode returns a goodbye with the error instead.
func encode(frame *nodepb.Frame) []byte {
	encoded, err := nodeframe.Append(nil, frame)
	if err != nil {
		encoded, _ = nodeframe.Append(nil, byeFrame(fmt.Sprintf("a frame could not be sent: %v", err)))
	}
	return encoded
}

// parties are the connections of the parties that have sent their hello. They belong to the owner of a host.
type parties struct {
	conns map[string]*transport.Conn
	names map[*transport.Conn]string
}

func newParties() parties {
	return parties{conns: map[string]*transport.Conn{}, names: map[*transport.Conn]string{}}
}

// add makes conn the connection of a party; an earlier one is closed.
func (p *parties) add(name string, conn *transport.Conn) {
	if old := p.conns[name]; old != nil && old != conn {
		delete(p.names, old)
		old.Close(errReplaced)
	}
	p.conns[name], p.names[conn] = conn, name
}

// remove removes a connection and returns its party; empty if the connection was replaced.
func (p *parties) remove(conn *transport.Conn) string {
	name, ok := p.names[conn]
	if ok {
		delete(p.names, conn)
		delete(p.conns, name)
	}
	return name
}

// send sends a frame to a party; it is dropped if the party is not connected.
func (p *parties) send(to string, frame *nodepb.Frame) {
	if conn := p.conns[to]; conn != nil {
		conn.Send(encode(frame))
	}
}
