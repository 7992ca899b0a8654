package daemon

import (
	"errors"
	"fmt"
	"sync"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// nodes is the connections to nodes, one to each for all cores. It is safe for concurrent use.
type nodes struct {
	mu sync.Mutex
	m  map[string]*nodeLink
}

// nodeLink is the connection to a node, kept while a core asks for it.
type nodeLink struct {
	addr string
	link *transport.Link
	by   map[int]bool // the cores that ask for it
}

// wanted tells whether a core asks for the node.
func (n *nodes) wanted(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.m[name] != nil
}

// want has a connection kept for a core from now on, made by dial unless one to the address is there. It tells whether a
// connection to another address was given up for it, of which nothing more is heard.
func (n *nodes) want(core int, name, addr string, dial func(l *nodeLink) *transport.Link) (replaced bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.m[name]
	if old != nil && old.addr == addr {
		old.by[core] = true
		return false
	}
	l := &nodeLink{addr: addr, by: map[int]bool{}}
	if old != nil {
		old.link.Cancel()
		l.by = old.by
	}
	l.by[core] = true
	n.m[name] = l
	l.link = dial(l)
	return old != nil
}

// current tells whether a link is the one that is kept to its node, and not one that was given up.
func (n *nodes) current(name string, l *nodeLink) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.m[name] == l
}

// unwant gives a connection up for a core, and wholly for the last.
func (n *nodes) unwant(core int, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.m[name]; l != nil {
		if delete(l.by, core); len(l.by) == 0 {
			delete(n.m, name)
			l.link.Cancel()
		}
	}
}

// outgoing is one core's end of the connection to a node.
type outgoing struct {
	name string
	conn *transport.Conn // nil until the node has welcomed us
	box  transport.Outbox
}

func (c *core) link(name string) *outgoing {
	l := c.links[name]
	if l == nil {
		l = &outgoing{name: name}
		c.links[name] = l
	}
	return l
}

// put encodes a frame behind those of the step.
func (l *outgoing) put(f *nodepb.Frame) {
	must(l.box.Put(func(b []byte) ([]byte, error) { return nodeframe.Append(b, f) }))
}

// must is for frames that can always be encoded: every field is bounded where it comes in.
func must(err error) {
	if err != nil {
		panic(fmt.Sprintf("daemon: a frame can't be sent: %v", err))
	}
}

func encode(f *nodepb.Frame) []byte {
	b, err := nodeframe.Append(nil, f)
	must(err)
	return b
}

// putOffer encodes an offer. The messages are the owner's scratch: allocating them anew for each offer showed in
// profiles.
func (c *core) putOffer(l *outgoing, e *scheduler.SendOffer) {
	nodefront.Task(c.d.set, e, &c.scratch.task)
	c.scratch.offer.Attempt, c.scratch.offer.ValidForNs = e.Attempt, int64(e.ValidFor)
	name, attempt := l.name, e.Attempt
	must(l.box.PutExpiring(func(b []byte) ([]byte, error) { return nodeframe.Append(b, &c.scratch.frame) }, nil,
		func() { c.late(name, attempt) }))
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

// flush hands a step's frames to the node's loop. An offer that comes there late, or not at all, comes back unsent.
func (c *core) flush(l *outgoing, decided scheduler.Time) {
	limit := c.d.set.Rules.DrainGrace.Duration() / 2
	l.box.Flush(l.conn, func() bool { return clock.Now()-decided < limit })
}

// late gives an offer back that was never written.
func (c *core) late(node, attempt string) {
	c.again(scheduler.SendFailed{Node: node, Attempt: attempt})
}

// connect keeps a connection to a node from now on.
func (c *core) connect(name string) {
	d, addr := c.d, c.addrs[name]
	replaced := d.nodes.want(c.i, name, addr, func(l *nodeLink) *transport.Link {
		return d.dialer.Link(addr, d.set.ConnectTimeout.Duration(), backoff,
			func() transport.Handler {
				return &nodePeer{d: d, name: name, front: nodefront.Node{Set: d.set, Name: name}}
			},
			func(err error) {
				d.log.Debug().Err(err).Str("node", name).Msg("no connection to the node")
				// Risk covered: the word of a link that was given up comes after the next one's welcome, and the
				// node would count as down while it is up.
				if d.nodes.current(name, l) {
					d.passAll(scheduler.NodeDown{Node: name})
				}
			})
	})
	if replaced { // at once: what is sent until the next welcome waits for it
		for _, o := range d.cores {
			o.again(scheduler.NodeDown{Node: name})
		}
	}
}

// ping asks all peers for a sign of life; one core does it for all.
func (c *core) ping() {
	b := encode(nodefront.Ping(0))
	for _, l := range c.links {
		if l.conn != nil {
			l.conn.Send(append([]byte(nil), b...))
		}
	}
	if list := c.d.list.Load(); list != nil {
		list.Send(b)
	}
}

// nodePeer reads what a node says.
type nodePeer struct {
	d     *Daemon
	name  string
	front nodefront.Node
}

// Opened greets the node.
func (p *nodePeer) Opened(c *transport.Conn) {
	c.WriteInLoop(encode(nodefront.Hello(p.d.set, p.d.boot)))
}

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
		if input != nil && !p.d.hear(input, c) {
			// The node keeps what it holds and tells it anew at the next welcome.
			return used, errors.New("daemon: too much waits for the core")
		}
	}
}

// hear passes a node's word to the cores that it is for. It is false where one has no room.
func (d *Daemon) hear(in scheduler.Input, from *transport.Conn) bool {
	one := func(attempt string) bool { return d.cores[d.shards.Attempt(attempt)].offer(message{in: in}) }
	switch in := in.(type) {
	case scheduler.NodeUp:
		ok := true
		for i, part := range d.shards.Split(in) {
			ok = d.cores[i].offer(message{in: part, from: from}) && ok
		}
		return ok
	case scheduler.AttemptAccepted:
		return one(in.Attempt)
	case scheduler.AttemptRejected:
		return one(in.Attempt)
	case scheduler.AttemptFailed:
		return one(in.Attempt)
	case scheduler.AttemptStarted:
		return one(in.Attempt)
	case scheduler.UsageReport:
		return one(in.Attempt)
	case scheduler.AttemptEnded:
		return one(in.Attempt)
	case scheduler.NodeSynced:
		core, token := shard.Untoken(in.Token)
		return core >= len(d.cores) || d.cores[core].offer(message{in: scheduler.NodeSynced{Node: in.Node, Token: token}})
	}
	return d.offerAll(message{in: in})
}

// Closed implements transport.Peer; the link tells the owners.
func (p *nodePeer) Closed(_ *transport.Conn, why error) {
	p.d.log.Debug().Err(why).Str("node", p.name).Msg("the connection to the node has closed")
}
