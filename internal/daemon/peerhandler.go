package daemon

import (
	"errors"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/framereader"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// errMailboxFull is the reason for closing the connection to a peer after a frame that did not fit into a core's mailbox.
var errMailboxFull = errors.New("daemon: core mailbox full")

// frameReceiver handles the frames of one kind of peer. The connection's event loop calls its methods.
type frameReceiver interface {
	// receiveFrame handles one frame. An error closes the connection and is the reason for it.
	receiveFrame(c *transport.Conn, frame *nodepb.Frame) error
	// connectionClosed logs the end of the connection. It need not notify the cores, which the link does.
	connectionClosed(reason error)
}

// peerHandler implements transport.Handler for a connection to a peer: a node or the inventory. It sends the hello and parses
// the frames that it receives. Only the connection's event loop accesses it.
type peerHandler struct {
	daemon   *Daemon
	receiver frameReceiver
}

// Opened sends the hello, the first frame of a connection.
func (h *peerHandler) Opened(c *transport.Conn) { c.WriteInLoop(h.daemon.helloFrame()) }

// Receive parses the received frames and passes them to the frameReceiver.
func (h *peerHandler) Receive(c *transport.Conn, received []byte) (int, error) {
	return framereader.Each(received, func(frame *nodepb.Frame) error { return h.receiver.receiveFrame(c, frame) })
}

// Closed passes the reason for the end of the connection to the frameReceiver.
func (h *peerHandler) Closed(_ *transport.Conn, reason error) { h.receiver.connectionClosed(reason) }

// tryEnqueueSyncReply sends a peer's reply to a sync ping to the core that requested the sync, without blocking. The token in
// the reply encodes the index of that core; a reply for a core that does not exist is ignored. It returns false if the mailbox
// was full.
func (d *Daemon) tryEnqueueSyncReply(encodedToken uint64, newInput func(token uint64) scheduler.Input) bool {
	core, token := shard.DecodeToken(encodedToken)
	if core >= len(d.runners) {
		return true
	}
	return d.runners[core].tryEnqueue(message{input: newInput(token)})
}
