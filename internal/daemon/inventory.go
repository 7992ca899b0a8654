package daemon

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/framereader"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// linkInventory keeps a connection to the inventory until the dialer stops.
func (d *Daemon) linkInventory() {
	d.dialer.Link(d.settings.InventoryAddress, inventoryDialTimeout, reconnectBackoff,
		func() transport.Handler {
			return &inventoryHandler{daemon: d, front: nodefront.Inventory{Set: d.settings}}
		},
		func(err error) {
			d.log.Debug().Err(err).Msg("inventory not connected")
			d.enqueueAll(scheduler.DiscoveryFailed{})
		})
}

// inventoryHandler reads the frames of one connection to the inventory. It belongs to the connection's event loop.
type inventoryHandler struct {
	daemon *Daemon
	front  nodefront.Inventory
}

// Opened sends the hello.
func (h *inventoryHandler) Opened(c *transport.Conn) { c.WriteInLoop(h.daemon.hello()) }

// Receive implements transport.Handler.
func (h *inventoryHandler) Receive(c *transport.Conn, received []byte) (int, error) {
	return framereader.Each(received, func(frame *nodepb.Frame) error { return h.receiveFrame(c, frame) })
}

func (h *inventoryHandler) receiveFrame(c *transport.Conn, frame *nodepb.Frame) error {
	decoded, err := h.front.Decode(frame)
	switch {
	case err != nil:
		return err
	case frame.GetWelcome() != nil:
		h.daemon.inventoryConn.Store(c)
		return nil
	case decoded.Failed:
		// The cores are not notified: docs/ROADMAP.md lists this as a fault.
		h.daemon.log.Warn().Str("reason", frame.GetListError().Message).Msg("inventory reported a failed call")
		return nil
	case decoded.Input == nil:
		return nil
	}
	if !h.daemon.enqueueDiscoveryInput(message{input: decoded.Input, addresses: decoded.Addresses}) {
		return errMailboxFull
	}
	return nil
}

// enqueueDiscoveryInput passes an input from the inventory to the cores that it is for. It is false if a mailbox was
// full.
func (d *Daemon) enqueueDiscoveryInput(m message) bool {
	synced, ok := m.input.(scheduler.DiscoverySynced)
	if !ok {
		return d.tryEnqueueAll(m)
	}
	core, token := shard.Untoken(synced.Token)
	return core >= len(d.runners) || d.runners[core].tryEnqueue(message{input: scheduler.DiscoverySynced{Token: token}})
}

// Closed implements transport.Handler; the link notifies the cores.
func (h *inventoryHandler) Closed(_ *transport.Conn, reason error) {
	h.daemon.log.Warn().Err(reason).Msg("inventory connection closed")
}

// subscribeDiscovery asks the inventory for the list of nodes and its changes. Without a connection the core is
// notified at once that it has failed.
func (r *coreRunner) subscribeDiscovery() { r.sendToInventory(nodefront.Watch()) }

// syncDiscovery asks the inventory for a sign that the core has been given all of its updates.
func (r *coreRunner) syncDiscovery(token uint64) {
	r.daemon.log.Warn().Int("core", r.index).
		Msg("scheduler was stopped for a while; placement waits until the inventory has answered")
	r.sendToInventory(nodefront.Ping(shard.Token(r.index, token)))
}

func (r *coreRunner) sendToInventory(frame *nodepb.Frame) {
	conn := r.daemon.inventoryConn.Load()
	if conn == nil || conn.IsClosed() || !conn.Send(encode(frame)) {
		r.requeue(scheduler.DiscoveryFailed{})
	}
}
