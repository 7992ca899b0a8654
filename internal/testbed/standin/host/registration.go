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
	registrationInterval = 500 * time.Millisecond // between two reports of a node to the inventory
	inventoryDialTimeout = time.Second
)

// inventoryBackoff is the backoff of a node's link to the inventory.
var inventoryBackoff = transport.Backoff{Initial: 50 * time.Millisecond, Max: time.Second}

// linkInventory maintains a connection to the inventory until the dialer stops.
func (n *Node) startInventoryLink() {
	n.dialer.StartLink(n.options.InventoryAddress, inventoryDialTimeout, inventoryBackoff,
		func() transport.Handler { return &registrationHandler{node: n} },
		func(error) {}) // the link reconnects
}

// register reports the node to the inventory.
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

// registrationHandler is the node's end of a connection to the inventory. A change is dropped if the mailbox is full,
// since the next connection or report repeats it.
type registrationHandler struct{ node *Node }

// Opened implements transport.Handler: it sends the hello and registers the node.
func (r *registrationHandler) Opened(conn *transport.Conn) {
	n := r.node
	conn.WriteInLoop(encode(&nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: nodeframe.Version,
		VersionMax: nodeframe.Version, Party: n.options.Model.Name, LifeUnixNs: int64(clock.Now())}}}))
	n.tryEnqueue(func() {
		n.inventoryConn = conn
		n.sendRegistration()
	})
}

// Receive implements transport.Handler. It ignores what the inventory sends.
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
