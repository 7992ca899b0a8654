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

// nodeOutbox is one core's end of the connection to a node. It belongs to the owner of the core.
type nodeOutbox struct {
	node   string
	conn   *transport.Conn // nil until the node has sent its welcome
	frames transport.Outbox
}

// outbox returns the outbox of a node, made at its first use.
func (r *coreRunner) outbox(node string) *nodeOutbox {
	outbox := r.outboxes[node]
	if outbox == nil {
		outbox = &nodeOutbox{node: node}
		r.outboxes[node] = outbox
	}
	return outbox
}

// outboxForWrite returns the outbox of a connected node, to be flushed at the end of the step; nil for another node.
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

// put encodes a frame behind those of the step.
func (o *nodeOutbox) put(frame *nodepb.Frame) {
	mustEncode(o.frames.Put(func(dst []byte) ([]byte, error) { return nodeframe.Append(dst, frame) }))
}

// mustEncode is for frames that can always be encoded: every field is bounded where it comes in.
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

// hello is the encoded first frame of each connection to a node or to the inventory.
func (d *Daemon) hello() []byte { return encode(nodefront.Hello(d.settings, d.startedAt)) }

// putOffer encodes an offer behind the frames of the step.
func (r *coreRunner) putOffer(outbox *nodeOutbox, e *scheduler.SendOffer) {
	nodefront.Task(r.daemon.settings, e, &r.offer.task)
	r.offer.body.Attempt, r.offer.body.ValidForNs = e.Attempt, int64(e.ValidFor)
	node, attempt := outbox.node, e.Attempt
	mustEncode(outbox.frames.PutExpiring(
		func(dst []byte) ([]byte, error) { return nodeframe.Append(dst, &r.offer.frame) },
		nil,
		func() { r.reportUnsent(node, attempt) }))
}

// offerFrame is the frame of an offer that is filled and encoded again and again: allocating the messages for each
// offer showed in profiles.
type offerFrame struct {
	frame nodepb.Frame
	body  nodepb.Offer
	task  nodepb.Task
}

func (o *offerFrame) init() {
	o.body.Task = &o.task
	o.frame.Body = &nodepb.Frame_Offer{Offer: &o.body}
}

// flush passes a step's frames to the event loop of the node's connection. An offer that comes there after half the
// drain grace, or not at all, is reported as not sent.
func (r *coreRunner) flush(outbox *nodeOutbox, decidedAt scheduler.Time) {
	limit := r.daemon.settings.Rules.DrainGrace.Duration() / 2
	outbox.frames.Flush(outbox.conn, func() bool { return clock.Now()-decidedAt < limit })
}

// reportUnsent notifies the core that an offer was never written. It may be called from any goroutine.
func (r *coreRunner) reportUnsent(node, attempt string) {
	r.requeue(scheduler.SendFailed{Node: node, Attempt: attempt})
}
