package daemon

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// nodeOutbox collects one core's frames to a node. It belongs to the owner of the core.
type nodeOutbox struct {
	node   string
	conn   *transport.Conn // nil before the node has sent its welcome
	frames transport.Outbox
}

// outbox returns the outbox of a node, which it creates at first use.
func (r *coreRunner) outbox(node string) *nodeOutbox {
	outbox := r.outboxes[node]
	if outbox == nil {
		outbox = &nodeOutbox{node: node}
		r.outboxes[node] = outbox
	}
	return outbox
}

// outboxForWrite returns the outbox of a connected node, and marks it to be flushed at the end of the step. It returns nil
// if the node is not connected.
func (r *coreRunner) outboxForWrite(node string) *nodeOutbox {
	outbox := r.outboxes[node]
	if outbox == nil || outbox.conn == nil {
		return nil
	}
	if outbox.frames.Empty() {
		r.unflushed = append(r.unflushed, outbox)
	}
	return outbox
}

// put appends an encoded frame.
func (o *nodeOutbox) put(frame *nodepb.Frame) {
	mustEncode(o.frames.Put(func(dst []byte) ([]byte, error) { return nodeframe.Append(dst, frame) }))
}

// mustEncode panics if a frame could not be encoded. All fields are bounded when they are received, so this is a bug.
func mustEncode(err error) {
	if err != nil {
		panic(fmt.Sprintf("daemon: encode frame: %v", err))
	}
}

func encode(frame *nodepb.Frame) []byte {
	encoded, err := nodeframe.Append(nil, frame)
	mustEncode(err)
	return encoded
}

// hello returns the encoded first frame of a connection to a node or to the inventory.
func (d *Daemon) hello() []byte { return encode(nodefront.Hello(d.settings, d.startedAt)) }

// putOffer appends an encoded offer.
func (r *coreRunner) putOffer(outbox *nodeOutbox, e *scheduler.SendOffer) {
	nodefront.Task(r.daemon.settings, e, &r.offer.task)
	r.offer.body.Attempt, r.offer.body.ValidForNs = e.Attempt, int64(e.ValidFor)
	node, attempt := outbox.node, e.Attempt
	mustEncode(outbox.frames.PutExpiring(
		func(dst []byte) ([]byte, error) { return nodeframe.Append(dst, &r.offer.frame) },
		nil,
		func() { r.reportUnsent(node, attempt) }))
}

// offerFrame is the frame of an offer, which is reused for each offer because its allocation was significant in
// profiles.
type offerFrame struct {
	frame nodepb.Frame
	body  nodepb.Offer
	task  nodepb.Task
}

func (o *offerFrame) init() {
	o.body.Task = &o.task
	o.frame.Body = &nodepb.Frame_Offer{Offer: &o.body}
}

// flush passes a step's frames to the event loop of the node's connection. An offer that the loop handles later than half
// the drain grace, or never, is reported as not sent.
func (r *coreRunner) flush(outbox *nodeOutbox, decidedAt scheduler.Time) {
	limit := r.daemon.settings.Rules.DrainGrace.Duration() / 2
	outbox.frames.Flush(outbox.conn, func() bool { return clock.Now()-decidedAt < limit })
}

// reportUnsent notifies the core that an offer was not written. It is safe for concurrent use.
func (r *coreRunner) reportUnsent(node, attempt string) {
	r.requeue(scheduler.SendFailed{Node: node, Attempt: attempt})
}
