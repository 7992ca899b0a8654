package daemon

import (
	"errors"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/framereader"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// errMailboxFull closes the connection of a node or of the inventory whose frame found no room in a core's mailbox.
var errMailboxFull = errors.New("daemon: the mailbox of a core is full")

// nodeHandler reads the frames of one connection to a node. It belongs to the connection's event loop.
type nodeHandler struct {
	daemon *Daemon
	name   string
	front  nodefront.Node
}

// Opened sends the hello.
func (h *nodeHandler) Opened(c *transport.Conn) { c.WriteInLoop(h.daemon.hello()) }

// Receive implements transport.Handler.
func (h *nodeHandler) Receive(c *transport.Conn, received []byte) (int, error) {
	return framereader.Each(received, func(frame *nodepb.Frame) error {
		input, err := h.front.Input(frame)
		if err != nil {
			return err
		}
		if input != nil && !h.daemon.enqueueNodeInput(input, c) {
			// Nothing is lost: the node keeps its attempts and endings and reports them at the next welcome.
			return errMailboxFull
		}
		return nil
	})
}

// Closed implements transport.Handler; the link notifies the cores.
func (h *nodeHandler) Closed(_ *transport.Conn, reason error) {
	h.daemon.log.Debug().Err(reason).Str("node", h.name).Msg("node connection closed")
}

// enqueueNodeInput passes an input from a node to the cores that it is for. It is false if a mailbox was full.
func (d *Daemon) enqueueNodeInput(input scheduler.Input, from *transport.Conn) bool {
	if attempt, ok := attemptOf(input); ok {
		return d.runners[d.shards.Attempt(attempt)].tryEnqueue(message{input: input})
	}
	switch in := input.(type) {
	case scheduler.NodeUp:
		return d.enqueueNodeUp(in, from)
	case scheduler.NodeSynced:
		core, token := shard.Untoken(in.Token)
		synced := scheduler.NodeSynced{Node: in.Node, Token: token}
		return core >= len(d.runners) || d.runners[core].tryEnqueue(message{input: synced})
	default:
		return d.tryEnqueueAll(message{input: input})
	}
}

// enqueueNodeUp gives each core its part of what a node has reported in its welcome.
func (d *Daemon) enqueueNodeUp(up scheduler.NodeUp, from *transport.Conn) bool {
	ok := true
	for i, part := range d.shards.Split(up) {
		ok = d.runners[i].tryEnqueue(message{input: part, conn: from}) && ok
	}
	return ok
}

// attemptOf returns the ID of the attempt that an input from a node is about; false for one about the node.
func attemptOf(input scheduler.Input) (attempt string, ok bool) {
	switch in := input.(type) {
	case scheduler.AttemptAccepted:
		return in.Attempt, true
	case scheduler.AttemptRejected:
		return in.Attempt, true
	case scheduler.AttemptFailed:
		return in.Attempt, true
	case scheduler.AttemptStarted:
		return in.Attempt, true
	case scheduler.UsageReport:
		return in.Attempt, true
	case scheduler.AttemptEnded:
		return in.Attempt, true
	default:
		return "", false
	}
}
