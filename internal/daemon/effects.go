package daemon

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
)

// executeEffects executes the effects of a step in order. The frames to each node are passed to its event loop together.
func (r *coreRunner) executeEffects(decidedAt scheduler.Time, effects []scheduler.Effect) {
	for _, effect := range effects {
		r.executeEffect(effect)
	}
	for _, outbox := range r.unflushed {
		r.flush(outbox, decidedAt)
	}
	r.unflushed = r.unflushed[:0]
}

func (r *coreRunner) executeEffect(effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.SendOffer:
		r.sendOffer(&e)
	case scheduler.SendStop:
		r.sendFrame(e.Node, nodefront.StopFrame(e.Attempt))
	case scheduler.SendAck:
		r.sendFrame(e.Node, nodefront.AckFrame(e.Attempt))
	case scheduler.SendHealthCheck:
		r.sendFrame(e.Node, nodefront.ProbeFrame())
	case scheduler.SyncNode:
		r.sendFrame(e.Node, nodefront.PingFrame(shard.EncodeToken(r.index, e.Token)))
	case scheduler.Connect:
		r.connect(e.Node)
	case scheduler.Disconnect:
		r.disconnect(e.Node)
	case scheduler.SubscribeDiscovery:
		r.subscribeDiscovery()
	case scheduler.SyncDiscovery:
		r.syncDiscovery(e.Token)
	case scheduler.Answer:
		r.answer(&e)
	case scheduler.Publish:
		r.publish(&e)
	case scheduler.LogOutcome:
		r.logOutcome(&e)
	case scheduler.Drained:
		r.markDrained()
	}
}

// sendOffer puts an offer into the outbox of its node. Without a connection it reports to the core that the offer was not
// sent.
func (r *coreRunner) sendOffer(e *scheduler.SendOffer) {
	r.daemon.metrics.offers.Inc()
	if submittedAt, ok := r.submittedAt[e.Job]; ok {
		delete(r.submittedAt, e.Job)
		r.daemon.metrics.submitToOffer.record(time.Since(submittedAt))
	}
	if outbox := r.outboxForWrite(e.Node); outbox != nil {
		r.putOffer(outbox, e)
		return
	}
	r.reportUnsent(e.Node, e.Attempt)
}

// sendFrame puts a frame into the outbox of a node. Without a connection the frame is discarded.
func (r *coreRunner) sendFrame(node string, frame *nodepb.Frame) {
	if outbox := r.outboxForWrite(node); outbox != nil {
		outbox.put(frame)
	}
}

// answer passes an answer of the core to the client that sent the request.
func (r *coreRunner) answer(e *scheduler.Answer) {
	m, ok := r.pending[e.RequestID]
	if !ok {
		return
	}
	delete(r.pending, e.RequestID)
	if m.isNewJob && !e.Existing {
		for i := range e.Jobs {
			r.submittedAt[e.Jobs[i].ID] = m.receivedAt
		}
	}
	if e.Err != nil {
		delete(r.streams, e.RequestID)
	}
	m.reply(e)
}

// publish sends a change to the client of a stream.
func (r *coreRunner) publish(e *scheduler.Publish) {
	if m, ok := r.streams[e.Stream]; ok && !m.publish(&e.Job) {
		r.endStream(e.Stream)
	}
}

// sendHeartbeats sends a heartbeat to the client of each stream.
func (r *coreRunner) sendHeartbeats() {
	for id, m := range r.streams {
		if !m.heartbeat() {
			r.endStream(id)
		}
	}
}

// endStream ends a stream that its client no longer reads.
func (r *coreRunner) endStream(id uint64) {
	delete(r.streams, id)
	r.requeue(scheduler.Unwatch{Stream: id})
}

func (r *coreRunner) logOutcome(e *scheduler.LogOutcome) {
	delete(r.submittedAt, e.Job.ID)
	r.daemon.logOutcome(e)
}

func (r *coreRunner) markDrained() {
	if !r.isDrained {
		r.isDrained = true
		close(r.drained)
	}
}
