package daemon

import (
	"errors"
	"maps"
	"slices"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

var errNodeNotRequested = errors.New("daemon: no core requests a connection to this node")

// appendInput appends the input of a message. It also records what later effects need from the message: the client's request,
// the connection of a node or the addresses of nodes. If a node has connected that no core requests any more, it closes the
// connection and appends nothing.
func (r *coreRunner) appendInput(inputs []scheduler.Input, m message) []scheduler.Input {
	input := m.input
	switch in := m.input.(type) {
	case nil:
		input = r.registerRequest(m)
	case scheduler.NodesUpdated:
		input = r.updateAddresses(in, m.nodeAddresses)
	case scheduler.NodeConnected:
		if !r.daemon.nodes.isRequested(in.Node) {
			m.conn.Close(errNodeNotRequested)
			return inputs
		}
		r.ensureOutbox(in.Node).conn = m.conn
	case scheduler.NodeDisconnected:
		if outbox := r.outboxes[in.Node]; outbox != nil {
			outbox.conn = nil
		}
	}
	if hook := r.daemon.hook; hook != nil {
		input = hook.InterceptInput(input)
	}
	return append(inputs, input)
}

// updateAddresses stores the network addresses of the nodes in an update. It returns the update with a copy of the machines if
// there are several cores, because each core may modify the list.
func (r *coreRunner) updateAddresses(update scheduler.NodesUpdated, addresses map[string]string) scheduler.Input {
	if len(r.daemon.runners) > 1 {
		update.Machines = slices.Clone(update.Machines)
	}
	maps.Copy(r.nodeAddresses, addresses)
	return update
}

// registerRequest assigns an ID to a client's request and stores the functions that receive its answer and job changes. It
// returns the input of the request.
func (r *coreRunner) registerRequest(m message) scheduler.Input {
	r.lastRequestID++
	id := r.lastRequestID
	input := m.buildInput(id, id)
	if submit, ok := input.(scheduler.Submit); ok && m.reply != nil {
		submit.ReceivedAt = clock.At(m.receivedAt)
		m.isNewJob, input = true, submit
	}
	if m.reply != nil {
		r.pendingRequests[id] = m
	}
	if m.publish != nil {
		r.streams[id] = m
	}
	return input
}
