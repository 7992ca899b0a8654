package daemon

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

var (
	errResponseSent       = errors.New("daemon: the last response was sent")
	errTooManyConnections = errors.New("daemon: too many connections")
	errRequestTimeout     = errors.New("daemon: a request took too long to arrive")
)

// overLimitTimeout is how long a connection over the limit waits for its request before it is rejected without one.
const overLimitTimeout = time.Second

// clientHandler implements transport.Handler for a client: it reads requests and answers them one after the other. It
// belongs to the connection's event loop.
type clientHandler struct {
	daemon           *Daemon
	parser           httpcodec.Parser
	requestPending   bool // a request awaits an answer, or events follow
	streaming        bool
	overLimit        bool
	overLimitTimer   *time.Timer // rejects a connection over the limit; nil for others
	requestStartedAt time.Time   // of an incomplete request; zero if there is none
	requestTimer     *time.Timer // rejects the incomplete request; nil before the first
}

// accept returns the handler of a client's connection.
func (d *Daemon) accept(*transport.Conn) transport.Handler {
	count := d.clientCount.Add(1)
	d.metrics.clients.Set(float64(count))
	return &clientHandler{daemon: d, overLimit: count > int64(d.settings.Limits.MaxConnections)}
}

// Opened limits how long a connection over the limit may stay open. It is rejected when its request has arrived, since
// clients would treat a response that precedes their request as an error.
func (h *clientHandler) Opened(c *transport.Conn) {
	if h.overLimit {
		h.overLimitTimer = time.AfterFunc(overLimitTimeout, func() {
			c.RunOnLoop(0, func(func([]byte)) { h.rejectOverLimit(c) })
		})
	}
}

func (h *clientHandler) rejectOverLimit(c *transport.Conn) {
	c.WriteInLoop(drmaafront.BusyResponse(true))
	c.CloseInLoop(errTooManyConnections)
}

// Receive implements transport.Handler.
func (h *clientHandler) Receive(c *transport.Conn, received []byte) (int, error) {
	switch {
	case h.streaming:
		return len(received), nil // a client sends nothing more on a stream
	case h.requestPending:
		return 0, nil
	}
	request, used, sendContinue, err := h.parser.Parse(received)
	if sendContinue {
		c.WriteInLoop(httpcodec.ContinueResponse)
	}
	if err != nil {
		h.rejectMalformed(c, err)
		return len(received), errResponseSent
	}
	if request == nil {
		h.limitRequestTime(c)
		return 0, nil
	}
	h.requestStartedAt = time.Time{}
	stopTimer(h.requestTimer)
	if h.overLimit {
		h.rejectOverLimit(c)
		return used, nil
	}
	h.serve(c, request)
	return used, nil
}

// limitRequestTime limits how long the rest of a request may take. The idle timeout does not suffice: a client that sends
// one byte a second is never idle and would keep its connection forever.
func (h *clientHandler) limitRequestTime(c *transport.Conn) {
	if !h.requestStartedAt.IsZero() {
		return
	}
	startedAt := time.Now()
	h.requestStartedAt = startedAt
	h.requestTimer = time.AfterFunc(h.daemon.settings.Limits.RequestTimeout.Duration(), func() {
		c.RunOnLoop(0, func(func([]byte)) {
			if h.requestStartedAt.Equal(startedAt) {
				h.rejectSlow(c)
			}
		})
	})
}

func (h *clientHandler) rejectSlow(c *transport.Conn) {
	c.WriteInLoop(drmaafront.ErrorResponse(http.StatusRequestTimeout, &drmaa2.Error{Code: drmaa2.InvalidArgument,
		Message: fmt.Sprintf("the request was not complete within %v",
			h.daemon.settings.Limits.RequestTimeout.Duration())}, true))
	c.CloseInLoop(errRequestTimeout)
}

// rejectMalformed answers bytes that are not a request.
func (h *clientHandler) rejectMalformed(c *transport.Conn, err error) {
	status, text := http.StatusBadRequest, err.Error()
	var malformed *httpcodec.RequestError
	if errors.As(err, &malformed) {
		status, text = malformed.Status, malformed.Message
	}
	h.daemon.metrics.malformedRequests.inc()
	c.WriteInLoop(drmaafront.ErrorResponse(status, &drmaa2.Error{Code: drmaa2.InvalidArgument, Message: text}, true))
}

func (h *clientHandler) serve(c *transport.Conn, request *httpcodec.Request) {
	call := h.daemon.front.Decode(request)
	if call.Response != nil {
		h.respond(c, call, call.Response)
		return
	}
	h.requestPending = true
	events := &eventStream{client: h, conn: c}
	if call.Stream {
		events.position = shard.ParsePosition(call.ResumeAfter, len(h.daemon.runners))
	}
	m := message{receivedAt: time.Now(), reply: func(a *scheduler.Answer) {
		answer := *a
		c.RunOnLoop(eventBytes, func(func([]byte)) { h.complete(c, call, events, &answer) })
	}}
	if !h.daemon.dispatch(call, m, events) {
		events.ended.Store(true)
		h.requestPending = false
		h.respond(c, call, drmaafront.BusyResponse(call.CloseConnection))
	}
}

// complete writes the response with the answer of the cores. It is called in the event loop.
func (h *clientHandler) complete(c *transport.Conn, call *drmaafront.Call, events *eventStream, answer *scheduler.Answer) {
	if call.Stream && answer.Err == nil {
		h.streaming = true
		c.DisableIdleTimeout()
		c.WriteInLoop(call.EncodeAnswer(answer))
		events.begin(c.WriteInLoop)
		return
	}
	events.ended.Store(true)
	h.requestPending = false
	h.respond(c, call, call.EncodeAnswer(answer))
	c.ResumeReceive()
}

func (h *clientHandler) respond(c *transport.Conn, call *drmaafront.Call, response []byte) {
	c.WriteInLoop(response)
	if call.CloseConnection {
		c.CloseInLoop(errResponseSent)
	}
}

func stopTimer(timer *time.Timer) {
	if timer != nil {
		timer.Stop()
	}
}

// Closed implements transport.Handler.
func (h *clientHandler) Closed(c *transport.Conn, reason error) {
	stopTimer(h.overLimitTimer)
	stopTimer(h.requestTimer)
	h.daemon.metrics.clients.Set(float64(h.daemon.clientCount.Add(-1)))
	if isClientFault(reason) {
		h.daemon.metrics.clientsDisconnected.inc()
		h.daemon.log.Warn().Err(reason).Str("client", c.RemoteAddr()).Msg("client connection closed: client too slow")
	}
}

// isClientFault reports whether a connection was closed because its client reads or sends too slowly or too much.
func isClientFault(reason error) bool {
	return errors.Is(reason, transport.ErrSlowReader) || errors.Is(reason, transport.ErrReadBufferFull) ||
		errors.Is(reason, errRequestTimeout)
}
