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

// Reasons for closing a connection on behalf of the core.
var (
	errOwnerClosed = errors.New("platform: the connection was closed by admission control")
	errLinkClosed  = errors.New("platform: the core closed the link")
)

// executeEffects executes the effects of the step at now, in order. The messages of a step for one connection are passed to its
// event loop together; a connection to be closed is closed after them.
func (s *scheduler) executeEffects(dialContext context.Context, now requests.Time, effects []requests.Effect) {
	var closing []*transport.Conn
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
			s.sendOffer(&effect)
		case requests.Dial:
			s.dial(dialContext, effect)
		case requests.CloseLink:
			s.closeLink(effect.Link)
		case requests.CloseOwner:
			closing = s.removeOwner(effect.Conn, closing)
		case requests.Subscribe:
			s.subscribe()
		}
	}
	s.flushOutboxes(now)
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

// queueMessage puts a message into a peer's outbox. A message for a connection that has ended is dropped.
func (s *scheduler) queueMessage(to *peer, encode func(dst []byte) ([]byte, error)) {
	if to == nil {
		return
	}
	if err := s.outboxOf(to).Put(encode); err != nil {
		s.options.Log.Error().Err(err).Msg("message cannot be encoded")
	}
}

// outboxOf returns a peer's outbox, which the end of the step flushes.
func (s *scheduler) outboxOf(p *peer) *transport.Outbox {
	if p.outbox.Empty() {
		s.peersToFlush = append(s.peersToFlush, p)
	}
	return &p.outbox
}

// sendOffer puts an offer into its node's outbox. An offer that is not written is reported to the core as SendFailed.
func (s *scheduler) sendOffer(e *requests.Offer) {
	failed := func() { s.reportSendFailed(e) }
	node := s.links[e.Link]
	if node == nil {
		failed()
		return
	}
	encode := func(dst []byte) ([]byte, error) { return platformfront.EncodeOffer(dst, e) }
	if err := s.outboxOf(node).PutExpiring(encode, s.ownerStillWaiting(e), failed); err != nil {
		s.options.Log.Error().Err(err).Str("task", e.Task).Str("node", e.Node).Msg("offer cannot be encoded")
		failed()
	}
}

// reportSendFailed reports to the core that an offer was not written. It is safe for concurrent use.
func (s *scheduler) reportSendFailed(e *requests.Offer) {
	s.mailbox.forcePut(message{inputs: []requests.Input{requests.SendFailed{Link: e.Link, Task: e.Task, Attempt: e.Attempt}}})
}

// ownerStillWaiting returns a function for the event loop that reports whether an offer's owner still waits for it. After a stall
// the event loop may read that an owner disconnected or released its task in the same round in which it writes an offer
// that was decided before.
func (s *scheduler) ownerStillWaiting(e *requests.Offer) func() bool {
	var conn *transport.Conn
	if owner := s.owners[e.Owner]; owner != nil {
		conn = owner.conn
	}
	task := e.Task
	return func() bool { return conn != nil && !conn.IsClosed() && !s.released.has(task) }
}

// flushOutboxes passes the outboxes to the event loop. An offer expires half a drain grace period after the step: a node that has
// begun to drain since then must not receive it.
func (s *scheduler) flushOutboxes(now requests.Time) {
	expiry := s.config.Load().Module.DrainGrace / 2
	for _, p := range s.peersToFlush {
		p.outbox.Flush(p.conn, func() bool { return clock.Now()-now < expiry })
	}
	s.peersToFlush = s.peersToFlush[:0]
}

// dial connects to a node, in a goroutine for which close waits.
func (s *scheduler) dial(dialContext context.Context, e requests.Dial) {
	timeout := max(s.config.Load().Module.ConnectTimeout, time.Millisecond)
	s.dials.Go(func() {
		_, err := s.dialer.Dial(dialContext, e.Addr, timeout, &nodeHandler{scheduler: s, link: e.Link})
		if err != nil {
			s.options.Log.Debug().Err(err).Str("node", e.Node).Msg("dialing the node failed")
			down := requests.LinkDown{Link: e.Link, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED)}
			s.mailbox.forcePut(message{inputs: []requests.Input{down}})
		}
	})
}

// closeLink closes the connection to a node.
func (s *scheduler) closeLink(link requests.LinkID) {
	if node := s.links[link]; node != nil {
		delete(s.links, link)
		node.conn.Close(errLinkClosed)
	}
}

// removeOwner removes an owner and appends its connection to closing.
func (s *scheduler) removeOwner(id requests.ConnID, closing []*transport.Conn) []*transport.Conn {
	owner := s.owners[id]
	if owner == nil {
		return closing
	}
	delete(s.owners, id)
	return append(closing, owner.conn)
}
