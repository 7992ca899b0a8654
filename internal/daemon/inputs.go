package daemon

import (
	"errors"
	"maps"
	"slices"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

var errNodeNotRequested = errors.New("daemon: no core requests a connection to this node")

// appendInput appends the input of a message, and stores what the effects of the step will need of the message.
func (r *coreRunner) appendInput(inputs []scheduler.Input, m message) []scheduler.Input {
	input := m.input
	switch in := m.input.(type) {
	case nil:
		input = r.registerRequest(m)
	case scheduler.NodesUpdated:
		input = r.updateAddresses(in, m.addresses)
	case scheduler.NodeConnected:
		if !r.daemon.nodes.isRequested(in.Node) {
			m.conn.Close(errNodeNotRequested)
			return inputs
		}
		r.outbox(in.Node).conn = m.conn
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

// updateAddresses stores the addresses of an update's nodes. The core writes to the list of machines, so each core gets a
// copy.
func (r *coreRunner) updateAddresses(update scheduler.NodesUpdated, addresses map[string]string) scheduler.Input {
	if len(r.daemon.runners) > 1 {
		update.Machines = slices.Clone(update.Machines)
	}
	maps.Copy(r.addresses, addresses)
	return update
}

// registerRequest assigns an ID to a client's request and stores where its answer and its stream are sent.
func (r *coreRunner) registerRequest(m message) scheduler.Input {
	r.lastRequestID++
	id := r.lastRequestID
	input := m.buildInput(id, id)
	if submit, ok := input.(scheduler.Submit); ok && m.reply != nil {
		submit.ReceivedAt = clock.At(m.receivedAt)
		m.isNewJob, input = true, submit
	}
	if m.reply != nil {
		r.pending[id] = m
	}
	if m.publish != nil {
		r.streams[id] = m
	}
	return input
}
