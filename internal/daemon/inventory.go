package daemon

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// inventoryPeer reads what the inventory says.
type inventoryPeer struct {
	d     *Daemon
	front nodefront.Inventory
}

// Opened greets the inventory.
func (p *inventoryPeer) Opened(c *transport.Conn) {
	c.Write(encode(nodefront.Hello(p.d.set, p.d.boot)))
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
		m := message{from: c}
		var failed bool
		if m.in, m.addrs, failed, err = p.front.Input(f); err != nil {
			return used, err
		}
		switch {
		case f.GetWelcome() != nil:
			m.in = listUp{}
		case failed:
			p.d.log.Warn().Str("reason", f.GetListError().Message).Msg("the inventory fails")
			m.in = listError{}
		case m.in == nil:
			continue
		}
		if !p.d.offer(m) {
			return used, fmt.Errorf("daemon: too much waits for the core")
		}
	}
}

// Closed implements transport.Peer; the link tells the owner.
func (p *inventoryPeer) Closed(_ *transport.Conn, why error) {
	p.d.log.Warn().Err(why).Msg("the connection to the inventory has closed")
}

// subscribe asks for the list and its changes. Without a connection the call has failed at once.
func (d *Daemon) subscribe() {
	if d.list == nil || !d.list.Send(encode(nodefront.Watch())) {
		d.again(scheduler.ListFailed{})
	}
}

func (d *Daemon) sync(token uint64) {
	d.log.Warn().Msg("the scheduler was stopped for a while; it asks the inventory before it places anything")
	if d.list == nil || !d.list.Send(encode(nodefront.Ping(token))) {
		d.again(scheduler.ListFailed{})
	}
}

// listError is a failed call on a connection that stands.
type listError struct{ scheduler.Input }
