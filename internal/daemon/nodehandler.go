package daemon

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// nodeHandler implements frameReceiver for a node.
type nodeHandler struct {
	daemon *Daemon
	name   string
	front  nodefront.NodeDecoder
}

func newNodeHandler(d *Daemon, name string) *nodeHandler {
	return &nodeHandler{daemon: d, name: name, front: nodefront.NodeDecoder{Settings: d.settings, Name: name}}
}

// receiveFrame sends the input of a frame to the cores. If a mailbox is full, the returned error closes the connection. No
// information is lost: the node keeps its attempts and their results and reports them when it is connected again.
func (h *nodeHandler) receiveFrame(c *transport.Conn, frame *nodepb.Frame) error {
	input, err := h.front.Decode(frame)
	if err != nil {
		return err
	}
	if input != nil && !h.daemon.tryEnqueueNodeInput(input, c) {
		return errMailboxFull
	}
	return nil
}

// connectionClosed implements frameReceiver.
func (h *nodeHandler) connectionClosed(reason error) {
	h.daemon.log.Debug().Err(reason).Str("node", h.name).Msg("node connection closed")
}

// tryEnqueueNodeInput sends an input from a node to the cores that it concerns, without blocking. It returns false if a
// mailbox was full.
func (d *Daemon) tryEnqueueNodeInput(input scheduler.Input, from *transport.Conn) bool {
	if attempt, ok := attemptOf(input); ok {
		return d.runners[d.shards.CoreOfAttempt(attempt)].tryEnqueue(message{input: input})
	}
	switch in := input.(type) {
	case scheduler.NodeConnected:
		return d.tryEnqueueNodeConnected(in, from)
	case scheduler.NodeSynced:
		return d.tryEnqueueSyncReply(in.Token, func(token uint64) scheduler.Input {
			return scheduler.NodeSynced{Node: in.Node, Token: token}
		})
	default:
		return d.tryEnqueueAll(message{input: input})
	}
}

// tryEnqueueNodeConnected splits the report of a node that has connected and sends each core its part, without blocking. It
// returns false if a mailbox was full.
func (d *Daemon) tryEnqueueNodeConnected(report scheduler.NodeConnected, from *transport.Conn) bool {
	ok := true
	for i, part := range d.shards.SplitReport(report) {
		ok = d.runners[i].tryEnqueue(message{input: part, conn: from}) && ok
	}
	return ok
}

// attemptOf returns the ID of the attempt that an input from a node concerns, or false if the input concerns the node
// itself.
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
