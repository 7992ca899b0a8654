package daemon

import (
	"errors"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/framereader"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// errMailboxFull closes the connection of a peer whose frame did not fit into a core's mailbox.
var errMailboxFull = errors.New("daemon: the mailbox of a core is full")

// frameReceiver handles the frames of one kind of peer. Its methods are called by the connection's event loop.
type frameReceiver interface {
	// receiveFrame handles one frame. After an error the connection is closed with it.
	receiveFrame(c *transport.Conn, frame *nodepb.Frame) error
	// connectionClosed logs the end of the connection; the link notifies the cores.
	connectionClosed(reason error)
}

// peerHandler implements transport.Handler for a connection to a peer, which is a node or the inventory. It sends the
// hello and reads frames. It belongs to the connection's event loop.
type peerHandler struct {
	daemon   *Daemon
	receiver frameReceiver
}

// Opened sends the hello.
func (h *peerHandler) Opened(c *transport.Conn) { c.WriteInLoop(h.daemon.hello()) }

// Receive implements transport.Handler.
func (h *peerHandler) Receive(c *transport.Conn, received []byte) (int, error) {
	return framereader.Each(received, func(frame *nodepb.Frame) error { return h.receiver.receiveFrame(c, frame) })
}

// Closed implements transport.Handler.
func (h *peerHandler) Closed(_ *transport.Conn, reason error) { h.receiver.connectionClosed(reason) }

// tryEnqueueSynced passes the answer to a sync to the core that the peer's token names, without waiting. It returns
// false if the mailbox was full. A token of a core that does not exist is ignored.
func (d *Daemon) tryEnqueueSynced(peerToken uint64, newInput func(token uint64) scheduler.Input) bool {
	core, token := shard.DecodeToken(peerToken)
	if core >= len(d.runners) {
		return true
	}
	return d.runners[core].tryEnqueue(message{input: newInput(token)})
}
