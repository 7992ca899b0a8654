package emulator

import (
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// execute carries out an effect that a step of the core returned.
func (s *schedulerEntity) execute(effect scheduler.Effect, now Time, out *outbox) {
	switch e := effect.(type) {
	case scheduler.SendOffer:
		s.sendOffer(&e, now, out)
	case scheduler.SendStop:
		s.sendToNode(e.Node, frame{nodefront.StopFrame(e.Attempt)}, now, out)
	case scheduler.SendAck:
		s.sendToNode(e.Node, frame{nodefront.AckFrame(e.Attempt)}, now, out)
	case scheduler.SendHealthCheck:
		s.sendToNode(e.Node, frame{nodefront.ProbeFrame()}, now, out)
	case scheduler.SyncNode:
		s.sendToNode(e.Node, frame{nodefront.PingFrame(e.Token)}, now, out)
	case scheduler.Connect:
		s.connect(e.Node, now, out)
	case scheduler.Disconnect:
		s.disconnect(e.Node, now, out)
	case scheduler.SubscribeDiscovery:
		s.send(now, s.simulation.inventory.id, frame{nodefront.WatchFrame()}, out)
	case scheduler.SyncDiscovery:
		s.send(now, s.simulation.inventory.id, frame{nodefront.PingFrame(e.Token)}, out)
	case scheduler.Answer:
		s.sendAnswer(&e, now, out)
	case scheduler.Drained:
		s.drained = true
	case scheduler.LogOutcome:
		s.recorder.addJobEvent(s, &e.Job, now)
		s.send(now, s.simulation.clients.id, jobEvent{info: e.Job, at: now}, out)
	}
}

// sendOffer sends an offer to a node. If the node is not connected, the core gets a SendFailed input in its next step.
func (s *schedulerEntity) sendOffer(offer *scheduler.SendOffer, now Time, out *outbox) {
	if !s.sendToNode(offer.Node, frame{nodefront.OfferFrame(s.settings, offer)}, now, out) {
		s.pendingInputs = append(s.pendingInputs, scheduler.SendFailed{Node: offer.Node, Attempt: offer.Attempt})
	}
}

// sendToNode sends a frame to a node. If the node is not connected, it drops the frame and returns false.
func (s *schedulerEntity) sendToNode(node string, f frame, now Time, out *outbox) bool {
	l := s.links[node]
	if l == nil || !l.up {
		return false
	}
	s.recorder.addFrame(l.connectionID, false, f, now)
	s.send(now, l.nodeID, f, out)
	return true
}

// sendAnswer sends the answer to a submission to its client.
func (s *schedulerEntity) sendAnswer(e *scheduler.Answer, now Time, out *outbox) {
	request, ok := s.requests[e.RequestID]
	if !ok {
		return
	}
	delete(s.requests, e.RequestID)
	a := submissionAnswer{key: request.key, scheduler: s.settings.Index}
	if e.Err != nil {
		a.errorCode = string(e.Err.Code)
	} else {
		a.jobID = e.Jobs[0].ID
	}
	s.recorder.addSubmission(s, e, now)
	s.send(now, s.simulation.clients.id, a, out)
}
