package host

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	registrationInterval = 500 * time.Millisecond // between the registrations that a node repeats
	inventoryDialTimeout = time.Second
)

// inventoryBackoff is the backoff between attempts to connect to the inventory.
var inventoryBackoff = transport.Backoff{Initial: 50 * time.Millisecond, Max: time.Second}

// startInventoryLink starts a link to the inventory, which reconnects until the dialer stops.
func (n *Node) startInventoryLink() {
	n.dialer.StartLink(n.options.InventoryAddress, inventoryDialTimeout, inventoryBackoff,
		func() transport.Handler { return &registrationHandler{node: n} },
		func(error) {}) // connection errors need no handling, since the link reconnects
}

// sendRegistration registers the current state of the node with the inventory, if the node is connected to it. A node without
// slow start registers no boot time.
func (n *Node) sendRegistration() {
	if n.inventoryConn == nil || n.nodeModel.Dead() {
		return
	}
	machine := n.nodeModel.Machine(n.options.Cell)
	if n.options.Model.SlowStartDuration <= 0 {
		machine.Started = 0
	}
	entry := nodefront.NewEntry(machine, n.options.Kind, n.options.AdvertisedAddress)
	n.inventoryConn.Send(encode(&nodepb.Frame{Body: &nodepb.Frame_Register{Register: &nodepb.Register{Entry: entry}}}))
}

// registrationHandler is the node's end of a connection to the inventory. It drops a change of the connection if the mailbox of
// the node is full, since the next connection or registration repeats it.
type registrationHandler struct{ node *Node }

// Opened implements transport.Opener. It sends the hello and registers the node.
func (r *registrationHandler) Opened(conn *transport.Conn) {
	n := r.node
	conn.WriteInLoop(encode(&nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: nodeframe.Version,
		VersionMax: nodeframe.Version, Party: n.options.Model.Name, LifeUnixNs: int64(clock.Now())}}}))
	n.tryEnqueue(func() {
		n.inventoryConn = conn
		n.sendRegistration()
	})
}

// Receive implements transport.Handler. It discards the frames of the inventory, since the node uses none of them.
func (*registrationHandler) Receive(_ *transport.Conn, received []byte) (int, error) {
	return len(received), nil
}

// Closed implements transport.Handler.
func (r *registrationHandler) Closed(conn *transport.Conn, _ error) {
	n := r.node
	n.tryEnqueue(func() {
		if n.inventoryConn == conn {
			n.inventoryConn = nil
		}
	})
}
