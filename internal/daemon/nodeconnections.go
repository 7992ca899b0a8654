package daemon

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// nodeConnections holds the connections to nodes, which the cores share. It is safe for concurrent use.
type nodeConnections struct {
	mu     sync.Mutex
	byName map[string]*nodeConnection
}

// nodeConnection is the connection to a node. It is kept open, and reconnected after failures, while any core requests it.
type nodeConnection struct {
	address     string
	link        *transport.Link
	requestedBy map[int]bool // by index of the core
}

// isRequested reports whether any core requests a connection to the node.
func (n *nodeConnections) isRequested(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byName[name] != nil
}

// request adds a core's request for a connection to a node. It calls dial unless there is a connection to the same address. It
// reports whether it replaced a connection to another address, in which case the end of the old connection is not reported to
// the cores.
func (n *nodeConnections) request(core int, name, address string,
	dial func(*nodeConnection) *transport.Link) (replaced bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.byName[name]
	if old != nil && old.address == address {
		old.requestedBy[core] = true
		return false
	}
	connection := &nodeConnection{address: address, requestedBy: map[int]bool{}}
	if old != nil {
		old.link.Cancel()
		connection.requestedBy = old.requestedBy
	}
	connection.requestedBy[core] = true
	n.byName[name] = connection
	connection.link = dial(connection)
	return old != nil
}

// isCurrent reports whether a connection to a node has been neither replaced nor released.
func (n *nodeConnections) isCurrent(name string, connection *nodeConnection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byName[name] == connection
}

// release removes a core's request for a connection. When no core requests the connection any more, it is closed.
func (n *nodeConnections) release(core int, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	connection := n.byName[name]
	if connection == nil {
		return
	}
	delete(connection.requestedBy, core)
	if len(connection.requestedBy) == 0 {
		delete(n.byName, name)
		connection.link.Cancel()
	}
}

// connect requests a connection to a node for the core. If the node has a new address, the connection to the old one is
// replaced, and all cores receive a NodeDisconnected.
func (r *coreRunner) connect(name string) {
	d, address := r.daemon, r.nodeAddresses[name]
	replaced := d.nodes.request(r.index, name, address, func(connection *nodeConnection) *transport.Link {
		return d.dialer.StartLink(address, d.settings.ConnectTimeout.Duration(), reconnectBackoff,
			func() transport.Handler {
				return &peerHandler{daemon: d, receiver: newNodeHandler(d, name)}
			},
			func(err error) { d.nodeDisconnected(name, connection, err) })
	})
	if !replaced {
		return
	}
	// Reported now, so that the cores hold back what they send to the node until its new connection is ready.
	for _, runner := range d.runners {
		runner.requeue(scheduler.NodeDisconnected{Node: name})
	}
}

// nodeDisconnected notifies the cores that a connection was closed or could not be opened. It ignores a connection that was
// replaced, whose end may be reported when the node is already connected by the new connection.
func (d *Daemon) nodeDisconnected(name string, connection *nodeConnection, err error) {
	d.log.Debug().Err(err).Str("node", name).Msg("node not connected")
	if d.nodes.isCurrent(name, connection) {
		d.enqueueAll(scheduler.NodeDisconnected{Node: name})
	}
}

// disconnect removes the core's request for a connection to a node, and the node's outbox.
func (r *coreRunner) disconnect(name string) {
	delete(r.outboxes, name)
	r.daemon.nodes.release(r.index, name)
}

// pingPeers pings the connected nodes and the inventory. Their replies keep the connections from reaching peerIdleTimeout.
// Send takes ownership of a frame, so each connection gets a copy.
func (r *coreRunner) pingPeers() {
	frame := encodeFrame(nodefront.PingFrame(0))
	for _, outbox := range r.outboxes {
		if outbox.conn != nil {
			outbox.conn.Send(append([]byte(nil), frame...))
		}
	}
	if inventory := r.daemon.inventoryConn.Load(); inventory != nil {
		inventory.Send(frame)
	}
}
