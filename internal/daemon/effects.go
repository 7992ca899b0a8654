package daemon

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
)

// executeEffects executes the effects of a step in order. Frames to nodes are collected in outboxes, and each outbox is flushed
// once at the end.
func (r *coreRunner) executeEffects(stepTime scheduler.Time, effects []scheduler.Effect) {
	for _, effect := range effects {
		r.executeEffect(stepTime, effect)
	}
	for _, outbox := range r.unflushedOutboxes {
		r.flush(outbox, stepTime)
	}
	r.unflushedOutboxes = r.unflushedOutboxes[:0]
}

func (r *coreRunner) executeEffect(stepTime scheduler.Time, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.SendOffer:
		r.sendOffer(stepTime, &e)
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
	case scheduler.ShareSession:
		r.shareSession(e.Name)
	case scheduler.Drained:
		r.markDrained()
	}
}

// shareSession adds a session to the other cores. The first core passes it on, so all cores receive it in the same order as the
// commands that create and destroy sessions.
func (r *coreRunner) shareSession(name string) {
	first, others := r.daemon.runners[0], r.daemon.runners[1:]
	if r != first {
		first.requeue(scheduler.SessionAdopted{Name: name, Share: true})
		return
	}
	for _, other := range others {
		other.requeue(scheduler.SessionAdopted{Name: name})
	}
}

// sendOffer puts an offer into the outbox of its node. If the node is not connected, it reports to the core that the offer was
// not sent.
func (r *coreRunner) sendOffer(stepTime scheduler.Time, e *scheduler.SendOffer) {
	r.daemon.metrics.offers.Inc()
	if submittedAt, ok := r.submittedAt[e.Job]; ok {
		delete(r.submittedAt, e.Job)
		r.daemon.metrics.submitToOffer.record(time.Since(submittedAt))
	}
	if outbox := r.outboxForWrite(e.Node); outbox != nil {
		r.putOffer(outbox, stepTime, e)
		return
	}
	r.reportUnsentOffer(e.Node, e.Attempt)
}

// sendFrame puts a frame into the outbox of a node, or discards it if the node is not connected.
func (r *coreRunner) sendFrame(node string, frame *nodepb.Frame) {
	if outbox := r.outboxForWrite(node); outbox != nil {
		outbox.put(frame)
	}
}

// answer sends an answer of the core to the client whose request it answers. If the request has created jobs, it stores their
// submission time, to measure the time to their first offer.
func (r *coreRunner) answer(e *scheduler.Answer) {
	m, ok := r.pendingRequests[e.RequestID]
	if !ok {
		return
	}
	delete(r.pendingRequests, e.RequestID)
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

// publish sends a job change to the client of a stream, or ends the stream if the client no longer reads it.
func (r *coreRunner) publish(e *scheduler.Publish) {
	if m, ok := r.streams[e.Stream]; ok && !m.publish(&e.Job) {
		r.endStream(e.Stream)
	}
}

// sendHeartbeats sends a heartbeat on each stream, and ends the streams whose clients no longer read them.
func (r *coreRunner) sendHeartbeats() {
	for id, m := range r.streams {
		if !m.heartbeat() {
			r.endStream(id)
		}
	}
}

// endStream removes a stream and ends its Watch in the core.
func (r *coreRunner) endStream(id uint64) {
	delete(r.streams, id)
	r.requeue(scheduler.Unwatch{Stream: id})
}

// logOutcome logs and counts an outcome. It discards the submission time of the job, which may have ended without an offer.
func (r *coreRunner) logOutcome(e *scheduler.LogOutcome) {
	delete(r.submittedAt, e.Job.ID)
	r.daemon.logOutcome(e)
}

// markDrained closes the channel drained. It may be called more than once.
func (r *coreRunner) markDrained() {
	if !r.isDrained {
		r.isDrained = true
		close(r.drained)
	}
}
