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

// nodeOutbox collects the frames from one core to one node during a step. Only the goroutine that owns the core uses it.
type nodeOutbox struct {
	node   string
	conn   *transport.Conn // nil while the node is not connected
	frames transport.Outbox
}

// ensureOutbox returns the outbox of a node, which it creates if there is none.
func (r *coreRunner) ensureOutbox(node string) *nodeOutbox {
	outbox := r.outboxes[node]
	if outbox == nil {
		outbox = &nodeOutbox{node: node}
		r.outboxes[node] = outbox
	}
	return outbox
}

// outboxForWrite returns the outbox of a node and has it flushed at the end of the step. It returns nil if the node is not
// connected.
func (r *coreRunner) outboxForWrite(node string) *nodeOutbox {
	outbox := r.outboxes[node]
	if outbox == nil || outbox.conn == nil {
		return nil
	}
	if outbox.frames.IsEmpty() {
		r.unflushedOutboxes = append(r.unflushedOutboxes, outbox)
	}
	return outbox
}

// put encodes a frame and appends it to the outbox.
func (o *nodeOutbox) put(frame *nodepb.Frame) {
	panicOnEncodeError(o.frames.Put(func(dst []byte) ([]byte, error) { return nodeframe.Append(dst, frame) }))
}

// panicOnEncodeError panics if err, the result of encoding a frame, is not nil. The daemon bounds all fields when it receives
// them, so a frame that cannot be encoded is a bug.
func panicOnEncodeError(err error) {
	if err != nil {
		panic(fmt.Sprintf("daemon: encode frame: %v", err))
	}
}

func encodeFrame(frame *nodepb.Frame) []byte {
	encoded, err := nodeframe.Append(nil, frame)
	panicOnEncodeError(err)
	return encoded
}

// helloFrame returns the encoded first frame of a connection to a node or to the inventory.
func (d *Daemon) helloFrame() []byte {
	return encodeFrame(nodefront.HelloFrame(d.settings, d.startedAt))
}

// putOffer encodes an offer of the step at stepTime and appends it to the outbox. If the offer is not sent in time, it is
// reported to the core. It is not written once its validity has ended, since the core may have offered the job elsewhere by
// then.
func (r *coreRunner) putOffer(outbox *nodeOutbox, stepTime scheduler.Time, e *scheduler.SendOffer) {
	nodefront.FillTask(r.daemon.settings, e, &r.offerFrame.task)
	r.offerFrame.body.Attempt, r.offerFrame.body.ValidForNs = e.Attempt, int64(e.ValidFor)
	node, attempt, validUntil := outbox.node, e.Attempt, stepTime+e.ValidFor
	panicOnEncodeError(outbox.frames.PutExpiring(
		func(dst []byte) ([]byte, error) { return nodeframe.Append(dst, &r.offerFrame.frame) },
		func() bool { return clock.Now() < validUntil },
		func() { r.reportUnsentOffer(node, attempt) }))
}

// offerFrame is the frame of an offer. It is reused for all offers of a core, because allocating one for each offer was
// significant in profiles.
type offerFrame struct {
	frame nodepb.Frame
	body  nodepb.Offer
	task  nodepb.Task
}

func (o *offerFrame) init() {
	o.body.Task = &o.task
	o.frame.Body = &nodepb.Frame_Offer{Offer: &o.body}
}

// flush sends the frames of a step to the event loop of the node's connection. Offers are discarded, and reported as not sent,
// if the event loop handles them later than half the drain grace after the step, or not at all: a draining node may receive
// offers only during the drain grace.
func (r *coreRunner) flush(outbox *nodeOutbox, stepTime scheduler.Time) {
	maxDelay := r.daemon.settings.Rules.DrainGrace.Duration() / 2
	outbox.frames.Flush(outbox.conn, func() bool { return clock.Now()-stepTime < maxDelay })
}

// reportUnsentOffer notifies the core that an offer was not sent. It is safe for concurrent use.
func (r *coreRunner) reportUnsentOffer(node, attempt string) {
	r.requeue(scheduler.SendFailed{Node: node, Attempt: attempt})
}
