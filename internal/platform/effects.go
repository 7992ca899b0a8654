package platform

import (
	"context"
	"errors"
	"syscall"
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// Reasons for closing a connection at the request of the core.
var (
	errOwnerClosed = errors.New("platform: owner connection closed by admission control")
	errLinkClosed  = errors.New("platform: link to the node closed by the scheduler core")
)

// executeEffects executes the effects of the core's step at now, in order. All messages of a step for one connection are passed
// to the event loop together. An owner's connection that is to be closed is closed after its messages have been passed on.
func (s *scheduler) executeEffects(dialContext context.Context, now requests.Time, effects []requests.Effect) {
	var closing, finishing []*transport.Conn
	for _, effect := range effects {
		switch effect := effect.(type) {
		case requests.Accepted:
			s.sendAccepted(&effect)
		case requests.Terminated:
			s.sendTerminated(&effect)
		case requests.Pong:
			s.sendPong(&effect)
		case requests.SendRelease:
			s.sendRelease(&effect)
		case requests.Offer:
			s.sendOffer(now, &effect)
		case requests.Dial:
			s.dial(dialContext, effect)
		case requests.CloseLink:
			s.closeLink(effect.Link)
		case requests.FinishLink:
			if node := s.links[effect.Link]; node != nil {
				finishing = append(finishing, node.conn)
			}
		case requests.CloseOwner:
			closing = s.removeOwner(effect.Conn, closing)
		case requests.Subscribe:
			s.subscribe()
		}
	}
	s.flushOutboxes(now)
	for _, conn := range finishing {
		conn.CloseWrite()
	}
	for _, conn := range closing {
		conn.Close(errOwnerClosed)
	}
}

func (s *scheduler) sendAccepted(e *requests.Accepted) {
	s.queueMessage(s.owners[e.Conn], func(dst []byte) ([]byte, error) { return platformfront.EncodeAccepted(dst, e) })
}

func (s *scheduler) sendTerminated(e *requests.Terminated) {
	s.queueMessage(s.owners[e.Conn], func(dst []byte) ([]byte, error) { return platformfront.EncodeTerminated(dst, e) })
}

func (s *scheduler) sendPong(e *requests.Pong) {
	s.queueMessage(s.owners[e.Conn], func(dst []byte) ([]byte, error) { return platformfront.EncodePong(dst, e) })
}

func (s *scheduler) sendRelease(e *requests.SendRelease) {
	s.queueMessage(s.links[e.Link], func(dst []byte) ([]byte, error) { return platformfront.EncodeRelease(dst, e) })
}

// queueMessage puts a message into a peer's outbox. If to is nil, its connection has ended and the message is dropped.
func (s *scheduler) queueMessage(to *peer, encode func(dst []byte) ([]byte, error)) {
	if to == nil {
		return
	}
	if err := s.outboxOf(to).Put(encode); err != nil {
		s.options.Log.Error().Err(err).Msg("cannot encode message, dropping it")
	}
}

// outboxOf returns a peer's outbox and ensures that it is flushed at the end of the step.
func (s *scheduler) outboxOf(p *peer) *transport.Outbox {
	if p.outbox.IsEmpty() {
		s.peersToFlush = append(s.peersToFlush, p)
	}
	return &p.outbox
}

// sendOffer puts an offer of the step at now into its node's outbox. If the offer is not written to the connection, the core
// receives SendFailed. It is not written once its time is over, since the core may have offered the task elsewhere by then.
func (s *scheduler) sendOffer(now requests.Time, e *requests.Offer) {
	failed := func() { s.reportSendFailed(e) }
	node := s.links[e.Link]
	if node == nil {
		failed()
		return
	}
	encode := func(dst []byte) ([]byte, error) { return platformfront.EncodeOffer(dst, e) }
	ownerStillWaiting, validUntil := s.ownerStillWaiting(e), now+e.TimeLeft
	wanted := func() bool { return clock.Now() < validUntil && ownerStillWaiting() }
	if err := s.outboxOf(node).PutExpiring(encode, wanted, failed); err != nil {
		s.options.Log.Error().Err(err).Str("task", e.Task).Str("node", e.Node).Msg("cannot encode offer, not sending it")
		failed()
	}
}

// reportSendFailed reports to the core that an offer was not written. It is safe for concurrent use.
func (s *scheduler) reportSendFailed(e *requests.Offer) {
	s.mailbox.forcePut(message{inputs: []requests.Input{requests.SendFailed{Link: e.Link, Task: e.Task, Attempt: e.Attempt}}})
}

// ownerStillWaiting returns a function for the event loop that reports whether an offer's owner still waits for a response.
// After a stall, the event loop may read a disconnect or release from the owner in the same iteration in which it is about to
// write an offer that the core had decided earlier; the offer must then not be written.
func (s *scheduler) ownerStillWaiting(e *requests.Offer) func() bool {
	var conn *transport.Conn
	if owner := s.owners[e.Owner]; owner != nil {
		conn = owner.conn
	}
	task := e.Task
	return func() bool { return conn != nil && !conn.IsClosed() && !s.released.has(task) }
}

// flushOutboxes passes the queued messages to the event loop. An offer that is still unwritten half a drain grace period after
// the step at now is discarded, because its node may have begun to drain since then.
func (s *scheduler) flushOutboxes(now requests.Time) {
	expiry := s.config.Load().Placer.DrainGrace / 2
	for _, p := range s.peersToFlush {
		p.outbox.Flush(p.conn, func() bool { return clock.Now()-now < expiry })
	}
	s.peersToFlush = s.peersToFlush[:0]
}

// dial connects to a node in a goroutine, for which close waits.
func (s *scheduler) dial(dialContext context.Context, e requests.Dial) {
	timeout := max(s.config.Load().Placer.ConnectTimeout, time.Millisecond)
	s.dials.Go(func() {
		_, err := s.dialer.Dial(dialContext, e.Addr, timeout, &nodeHandler{scheduler: s, link: e.Link})
		if err != nil {
			s.options.Log.Debug().Err(err).Str("node", e.Node).Msg("cannot connect to node")
			down := requests.LinkDown{Link: e.Link, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED)}
			s.mailbox.forcePut(message{inputs: []requests.Input{down}})
		}
	})
}

func (s *scheduler) closeLink(link requests.LinkID) {
	if node := s.links[link]; node != nil {
		delete(s.links, link)
		node.conn.Close(errLinkClosed)
	}
}

// removeOwner removes an owner's connection from s.owners and appends it to closing, which it returns.
func (s *scheduler) removeOwner(id requests.ConnID, closing []*transport.Conn) []*transport.Conn {
	owner := s.owners[id]
	if owner == nil {
		return closing
	}
	delete(s.owners, id)
	return append(closing, owner.conn)
}
