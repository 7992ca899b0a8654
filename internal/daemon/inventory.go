package daemon

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// linkInventory maintains a connection to the inventory until the dialer stops.
func (d *Daemon) linkInventory() {
	d.dialer.StartLink(d.settings.InventoryAddress, inventoryDialTimeout, reconnectBackoff,
		func() transport.Handler {
			return &peerHandler{daemon: d, receiver: newInventoryHandler(d)}
		},
		func(err error) {
			d.log.Debug().Err(err).Msg("inventory not connected")
			d.enqueueAll(scheduler.DiscoveryFailed{})
		})
}

// inventoryHandler implements frameReceiver for the inventory.
type inventoryHandler struct {
	daemon *Daemon
	front  nodefront.InventoryDecoder
}

func newInventoryHandler(d *Daemon) *inventoryHandler {
	return &inventoryHandler{daemon: d, front: nodefront.InventoryDecoder{Settings: d.settings}}
}

// receiveFrame passes what the inventory sent to the cores, and logs a call that it reports as failed.
func (h *inventoryHandler) receiveFrame(c *transport.Conn, frame *nodepb.Frame) error {
	decoded, err := h.front.Decode(frame)
	switch {
	case err != nil:
		return err
	case frame.GetWelcome() != nil:
		h.daemon.inventoryConn.Store(c)
		return nil
	case decoded.Failed:
		// The cores are not notified: docs/ROADMAP.md lists this as a known issue.
		h.daemon.log.Warn().Str("reason", frame.GetListError().Message).Msg("inventory reported a failed call")
		return nil
	case decoded.Input == nil:
		return nil
	}
	if !h.daemon.tryEnqueueDiscoveryInput(message{input: decoded.Input, addresses: decoded.Addresses}) {
		return errMailboxFull
	}
	return nil
}

// tryEnqueueDiscoveryInput passes an input from the inventory to the cores that it concerns, without waiting. It returns
// false if a mailbox was full.
func (d *Daemon) tryEnqueueDiscoveryInput(m message) bool {
	synced, ok := m.input.(scheduler.DiscoverySynced)
	if !ok {
		return d.tryEnqueueAll(m)
	}
	return d.tryEnqueueSynced(synced.Token, func(token uint64) scheduler.Input {
		return scheduler.DiscoverySynced{Token: token}
	})
}

// connectionClosed logs the end of an established connection; attempts to connect again are logged by linkInventory.
func (h *inventoryHandler) connectionClosed(reason error) {
	h.daemon.log.Warn().Err(reason).Msg("inventory connection closed")
}

// subscribeDiscovery requests the endpoint list and its changes from the inventory. Without a connection the core
// receives a DiscoveryFailed in a later step.
func (r *coreRunner) subscribeDiscovery() { r.sendToInventory(nodefront.WatchFrame()) }

// syncDiscovery pings the inventory, whose answer follows all updates that it has sent before.
func (r *coreRunner) syncDiscovery(token uint64) {
	r.daemon.log.Warn().Int("core", r.index).
		Msg("scheduler was stopped for a while; placement waits until the inventory has answered")
	r.sendToInventory(nodefront.PingFrame(shard.EncodeToken(r.index, token)))
}

func (r *coreRunner) sendToInventory(frame *nodepb.Frame) {
	conn := r.daemon.inventoryConn.Load()
	if conn == nil || conn.IsClosed() || !conn.Send(encode(frame)) {
		r.requeue(scheduler.DiscoveryFailed{})
	}
}
