package daemon

import (
	"errors"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// inventoryPeer reads what the inventory says.
type inventoryPeer struct {
	d     *Daemon
	front nodefront.Inventory
}

// Opened greets the inventory.
func (p *inventoryPeer) Opened(c *transport.Conn) {
	c.WriteInLoop(encode(nodefront.Hello(p.d.set, p.d.boot)))
}

// Receive implements transport.Peer.
func (p *inventoryPeer) Receive(c *transport.Conn, in []byte) (int, error) {
	used := 0
	for {
		f, n, err := nodeframe.Next(in[used:])
		if err != nil || f == nil {
			return used, err
		}
		used += n
		var m message
		var failed bool
		if m.in, m.addrs, failed, err = p.front.Input(f); err != nil {
			return used, err
		}
		switch {
		case f.GetWelcome() != nil:
			p.d.list.Store(c)
			continue
		case failed:
			p.d.log.Warn().Str("reason", f.GetListError().Message).Msg("the inventory fails")
			m.in = listError{}
		case m.in == nil:
			continue
		}
		if t, ok := m.in.(scheduler.DiscoverySynced); ok {
			core, token := shard.Untoken(t.Token)
			if core < len(p.d.cores) && !p.d.cores[core].offer(message{in: scheduler.DiscoverySynced{Token: token}}) {
				return used, errBehind
			}
			continue
		}
		if !p.d.offerAll(m) {
			return used, errBehind
		}
	}
}

var errBehind = errors.New("daemon: too much waits for a core")

// Closed implements transport.Peer; the link tells the owners.
func (p *inventoryPeer) Closed(_ *transport.Conn, why error) {
	p.d.log.Warn().Err(why).Msg("the connection to the inventory has closed")
}

// subscribe asks for the list and its changes. Without a connection the call has failed at once.
func (c *core) subscribe() { c.tellList(encode(nodefront.Watch())) }

func (c *core) sync(token uint64) {
	c.d.log.Warn().Int("core", c.i).Msg("the scheduler was stopped for a while; it asks the inventory before it places anything")
	c.tellList(encode(nodefront.Ping(shard.Token(c.i, token))))
}

func (c *core) tellList(b []byte) {
	if list := c.d.list.Load(); list == nil || list.IsClosed() || !list.Send(b) {
		c.again(scheduler.DiscoveryFailed{})
	}
}

// listError is a failed call on a connection that stands.
type listError struct{ scheduler.Input }
