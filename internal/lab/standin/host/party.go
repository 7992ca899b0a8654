// Package host puts the stand-in models on sockets: nodes and the inventory. It must not decide what a node or
// the inventory does; the models do.
package host

import (
	"errors"
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// mailbox is how many messages may wait for an owner. A party whose frames find it full is cut off.
const mailbox = 16384

var (
	errBusy   = errors.New("host: too much waits to be looked at")
	errHello  = errors.New("host: the first frame must be a hello")
	errFenced = errors.New("host: a later life of this party has come")
	errNewer  = errors.New("host: the party has come again on another connection")
)

// message is what connections pass to the owner of a model.
type message struct {
	conn  *transport.Conn
	hello *nodepb.Hello
	frame *nodepb.Frame
	gone  bool
	do    func() // run by the owner
}

// peer reads the frames of one connection.
type peer struct {
	box     chan<- message
	greeted bool
}

func (p *peer) Receive(c *transport.Conn, in []byte) (int, error) {
	used := 0
	for {
		f, n, err := nodeframe.Next(in[used:])
		if err != nil || f == nil {
			return used, err
		}
		used += n
		m := message{conn: c, frame: f}
		if !p.greeted {
			if m.hello = f.GetHello(); m.hello == nil || m.hello.Party == "" {
				return used, errHello
			}
			if _, err := nodeframe.Agree(m.hello.VersionMin, m.hello.VersionMax); err != nil {
				c.WriteInLoop(encode(bye(err.Error())))
				return used, err
			}
			p.greeted = true
		}
		select {
		case p.box <- m:
		default:
			return used, errBusy
		}
	}
}

func (p *peer) Closed(c *transport.Conn, _ error) {
	if !p.greeted {
		return
	}
	m := message{conn: c, gone: true}
	select {
	case p.box <- m:
	default: // the owner is behind; it must not be lost, and the loop must not wait
		go func() { p.box <- m }()
	}
}

func bye(reason string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Bye{Bye: &nodepb.Bye{Reason: reason}}}
}

// encode never fails on the frames that stand-ins make: they are cut to stay within the limit.
func encode(f *nodepb.Frame) []byte {
	b, err := nodeframe.Append(nil, f)
	if err != nil {
		b, _ = nodeframe.Append(nil, bye(fmt.Sprintf("a frame could not be sent: %v", err)))
	}
	return b
}

// parties knows which connection speaks for whom.
type parties struct {
	conns map[string]*transport.Conn
	names map[*transport.Conn]string
}

func newParties() parties {
	return parties{map[string]*transport.Conn{}, map[*transport.Conn]string{}}
}

// add makes conn the one of its party; an earlier one is closed.
func (p *parties) add(name string, conn *transport.Conn) {
	if old := p.conns[name]; old != nil && old != conn {
		delete(p.names, old)
		old.Close(errNewer)
	}
	p.conns[name], p.names[conn] = conn, name
}

// remove returns the party that conn spoke for, if it still does.
func (p *parties) remove(conn *transport.Conn) string {
	name, ok := p.names[conn]
	if ok {
		delete(p.names, conn)
		delete(p.conns, name)
	}
	return name
}

func (p *parties) send(to string, f *nodepb.Frame) {
	if c := p.conns[to]; c != nil {
		c.Send(encode(f))
	}
}

// timer is a time.Timer that may be set to nothing.
func newTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}
