package daemon

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// nodeConnections are the connections to nodes, which the cores share. It is safe for concurrent use.
type nodeConnections struct {
	mu     sync.Mutex
	byName map[string]*nodeConnection
}

// nodeConnection is the connection to a node, which is maintained while any core requests it.
type nodeConnection struct {
	address     string
	link        *transport.Link
	requestedBy map[int]bool // indexes of cores
}

// isRequested reports whether a core requests a connection to the node.
func (n *nodeConnections) isRequested(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byName[name] != nil
}

// request adds a core's request for a connection, which dial makes unless there is one to the address. It reports whether
// a connection to another address was replaced, whose end will not be reported.
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

// isCurrent reports whether a connection to a node is the current one and has not been replaced.
func (n *nodeConnections) isCurrent(name string, connection *nodeConnection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byName[name] == connection
}

// release removes a core's request for a connection. The connection ends with its last request.
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

// connect requests a connection to a node for the core.
func (r *coreRunner) connect(name string) {
	d, address := r.daemon, r.addresses[name]
	replaced := d.nodes.request(r.index, name, address, func(connection *nodeConnection) *transport.Link {
		return d.dialer.Link(address, d.settings.ConnectTimeout.Duration(), reconnectBackoff,
			func() transport.Handler {
				return &peerHandler{daemon: d, receiver: newNodeHandler(d, name)}
			},
			func(err error) { d.nodeDisconnected(name, connection, err) })
	})
	if !replaced {
		return
	}
	for _, runner := range d.runners { // at once, so that what is sent before the next welcome waits for it
		runner.requeue(scheduler.NodeDisconnected{Node: name})
	}
}

// nodeDisconnected notifies the cores that a connection has closed or could not be made. It ignores a connection that was
// replaced: its end may be reported after the welcome of its successor, when the node is connected again.
func (d *Daemon) nodeDisconnected(name string, connection *nodeConnection, err error) {
	d.log.Debug().Err(err).Str("node", name).Msg("node not connected")
	if d.nodes.isCurrent(name, connection) {
		d.enqueueAll(scheduler.NodeDisconnected{Node: name})
	}
}

// disconnect releases the core's connection to a node.
func (r *coreRunner) disconnect(name string) {
	delete(r.outboxes, name)
	r.daemon.nodes.release(r.index, name)
}

// pingPeers pings the connected nodes and the inventory, whose replies prevent the idle timeout.
func (r *coreRunner) pingPeers() {
	frame := encode(nodefront.Ping(0))
	for _, outbox := range r.outboxes {
		if outbox.conn != nil {
			outbox.conn.Send(append([]byte(nil), frame...))
		}
	}
	if inventory := r.daemon.inventoryConn.Load(); inventory != nil {
		inventory.Send(frame)
	}
}
