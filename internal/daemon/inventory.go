package daemon

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// linkInventory keeps a connection to the inventory open until the dialer stops, and reconnects after failures.
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

// receiveFrame sends the input of a frame to the cores. It stores the connection when it is welcomed, and logs a request that
// the inventory reports as failed; the cores then request the list again.
func (h *inventoryHandler) receiveFrame(c *transport.Conn, frame *nodepb.Frame) error {
	decoded, err := h.front.Decode(frame)
	switch {
	case err != nil:
		return err
	case frame.GetWelcome() != nil:
		h.daemon.inventoryConn.Store(c)
		return nil
	case decoded.Failed:
		h.daemon.log.Warn().Str("reason", frame.GetListError().Message).Msg("inventory reported a failed request")
	case decoded.Input == nil:
		return nil
	}
	if !h.daemon.tryEnqueueDiscoveryInput(message{input: decoded.Input, nodeAddresses: decoded.Addresses}) {
		return errMailboxFull
	}
	return nil
}

// tryEnqueueDiscoveryInput sends an input from the inventory to the cores that it concerns, without blocking. It returns false
// if a mailbox was full.
func (d *Daemon) tryEnqueueDiscoveryInput(m message) bool {
	synced, ok := m.input.(scheduler.DiscoverySynced)
	if !ok {
		return d.tryEnqueueAll(m)
	}
	return d.tryEnqueueSyncReply(synced.Token, func(token uint64) scheduler.Input {
		return scheduler.DiscoverySynced{Token: token}
	})
}

// connectionClosed logs the end of an established connection. Failed attempts to reconnect are logged by linkInventory.
func (h *inventoryHandler) connectionClosed(reason error) {
	h.daemon.log.Warn().Err(reason).Msg("inventory connection closed")
}

// subscribeDiscovery requests the endpoint list and its changes from the inventory.
func (r *coreRunner) subscribeDiscovery() { r.sendToInventory(nodefront.WatchFrame()) }

// syncDiscovery sends a ping with the token to the inventory. The pong arrives after all updates that the inventory had sent
// before, so the core then knows that it has seen them. The core requests this after a stall.
func (r *coreRunner) syncDiscovery(token uint64) {
	r.daemon.log.Warn().Int("core", r.index).
		Msg("core stalled; placement waits for the inventory to answer a ping")
	r.sendToInventory(nodefront.PingFrame(shard.EncodeToken(r.index, token)))
}

// sendToInventory sends a frame to the inventory. If it is not connected or its write queue is full, the core receives a
// DiscoveryFailed in a later step.
func (r *coreRunner) sendToInventory(frame *nodepb.Frame) {
	conn := r.daemon.inventoryConn.Load()
	if conn == nil || conn.IsClosed() || !conn.Send(encodeFrame(frame)) {
		r.requeue(scheduler.DiscoveryFailed{})
	}
}
