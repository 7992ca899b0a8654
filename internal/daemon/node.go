package daemon

import (
	"errors"
	"fmt"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// nodeLink is the owner's end of the connection to a node.
type nodeLink struct {
	name   string
	addr   string
	link   *transport.Link
	conn   *transport.Conn // nil until the node has welcomed us
	out    []byte          // encoded frames of the step in hand
	offers []offerAt       // where offers are among them
}

// offerAt is an offer among encoded frames.
type offerAt struct {
	attempt    string
	begin, end int
}

// put encodes a frame behind those of the step.
func (l *nodeLink) put(f *nodepb.Frame) {
	var err error
	if l.out, err = nodeframe.Append(l.out, f); err != nil { // every field is bounded where it comes in
		panic(fmt.Sprintf("daemon: a frame can't be sent: %v", err))
	}
}

func encode(f *nodepb.Frame) []byte {
	b, err := nodeframe.Append(nil, f)
	if err != nil { // every field is bounded where it comes in
		panic(fmt.Sprintf("daemon: a frame can't be sent: %v", err))
	}
	return b
}

// putOffer encodes an offer. The messages are the owner's scratch: allocating them anew for each offer showed in
// profiles.
func (d *Daemon) putOffer(l *nodeLink, e *scheduler.SendOffer) {
	nodefront.Task(d.set, e, &d.scratch.task)
	d.scratch.offer.Attempt, d.scratch.offer.ValidForNs = e.Attempt, int64(e.ValidFor)
	begin := len(l.out)
	l.put(&d.scratch.frame)
	l.offers = append(l.offers, offerAt{e.Attempt, begin, len(l.out)})
}

// scratch is an offer that is filled and encoded again and again.
type scratch struct {
	frame nodepb.Frame
	offer nodepb.Offer
	task  nodepb.Task
}

func (s *scratch) init() {
	s.offer.Task = &s.task
	s.frame.Body = &nodepb.Frame_Offer{Offer: &s.offer}
}

// flush hands a step's frames to the node's loop. Risk covered: a process that is stopped between the decision
// and the write would send an offer long after word of a drain; such offers come back unsent.
func (d *Daemon) flush(l *nodeLink, decided scheduler.Time) {
	out, offers := l.out, l.offers
	l.out, l.offers = nil, nil
	limit := d.set.Rules.DrainGrace.Of() / 2
	name := l.name
	sent := l.conn.Do(len(out), func(write func([]byte)) {
		if len(offers) > 0 && clock.Now()-decided >= limit {
			at := 0
			for _, o := range offers {
				write(out[at:o.begin])
				d.late(name, o.attempt)
				at = o.end
			}
			out = out[at:]
		}
		write(out)
	})
	if !sent { // the connection is being cut off; what was not written has not run
		for _, o := range offers {
			d.late(name, o.attempt)
		}
	}
}

// late gives an offer back that was never written.
func (d *Daemon) late(node, attempt string) { d.again(scheduler.NotSent{Node: node, Attempt: attempt}) }

// connect keeps a connection to a node from now on.
func (d *Daemon) connect(name string) {
	addr := d.addrs[name]
	if l := d.links[name]; l != nil {
		if l.addr == addr {
			return
		}
		l.link.Cancel()
	}
	l := &nodeLink{name: name, addr: addr}
	d.links[name] = l
	l.link = d.dialer.Link(addr, d.set.Connect.Of(), backoff,
		func() transport.Peer {
			return &nodePeer{d: d, name: name, front: nodefront.Node{Set: d.set, Name: name}}
		},
		func(err error) {
			d.log.Debug().Err(err).Str("node", name).Msg("no connection to the node")
			d.pass(message{in: scheduler.NodeDown{Node: name}})
		})
}

func (d *Daemon) ping() {
	b := encode(nodefront.Ping(0))
	for _, l := range d.links {
		if l.conn != nil {
			l.conn.Send(append([]byte(nil), b...))
		}
	}
	if d.list != nil {
		d.list.Send(b)
	}
}

// nodePeer reads what a node says.
type nodePeer struct {
	d     *Daemon
	name  string
	front nodefront.Node
}

// Opened greets the node.
func (p *nodePeer) Opened(c *transport.Conn) { c.Write(encode(nodefront.Hello(p.d.set, p.d.boot))) }

// Receive implements transport.Peer.
func (p *nodePeer) Receive(c *transport.Conn, in []byte) (int, error) {
	used := 0
	for {
		f, n, err := nodeframe.Next(in[used:])
		if err != nil || f == nil {
			return used, err
		}
		used += n
		input, err := p.front.Input(f)
		if err != nil {
			return used, err
		}
		if input != nil && !p.d.offer(message{in: input, from: c}) {
			// The node keeps what it holds and tells it anew at the next welcome.
			return used, errors.New("daemon: too much waits for the core")
		}
	}
}

// Closed implements transport.Peer; the link tells the owner.
func (p *nodePeer) Closed(_ *transport.Conn, why error) {
	p.d.log.Debug().Err(why).Str("node", p.name).Msg("the connection to the node has closed")
}
