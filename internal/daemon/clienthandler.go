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
	errResponseSent            = errors.New("daemon: connection closed after its last response")
	errConnectionLimitExceeded = errors.New("daemon: client connection limit exceeded")
	errRequestTimeout          = errors.New("daemon: request incomplete at the request timeout")
)

// overLimitTimeout is how long a connection that exceeds the connection limit may take to send its request. If none has arrived
// by then, the connection is rejected nevertheless.
const overLimitTimeout = time.Second

// clientHandler implements transport.Handler for a client connection. It reads requests and answers them one at a time. Only
// the connection's event loop accesses it.
type clientHandler struct {
	daemon           *Daemon
	parser           httpcodec.Parser
	requestPending   bool        // the cores have not answered the last request, or its response is an event stream
	streaming        bool        // the response is an event stream and its header was written
	overLimit        bool        // the connection exceeds the connection limit
	overLimitTimer   *time.Timer // rejects the connection; nil unless overLimit
	requestStartedAt time.Time   // when the first bytes of an incomplete request arrived; zero without an incomplete request
	requestTimer     *time.Timer // rejects an incomplete request; nil before the first one
}

// accept counts a new client connection and returns its handler.
func (d *Daemon) accept(*transport.Conn) transport.Handler {
	count := d.clientConnectionCount.Add(1)
	d.metrics.openClientConnections.Set(float64(count))
	return &clientHandler{daemon: d, overLimit: count > int64(d.settings.Limits.MaxConnections)}
}

// Opened starts the timeout of a connection that exceeds the connection limit. The connection is rejected when its request
// arrives and not at once, because clients treat a response that arrives before they sent a request as an error.
func (h *clientHandler) Opened(c *transport.Conn) {
	if h.overLimit {
		h.overLimitTimer = time.AfterFunc(overLimitTimeout, func() {
			c.RunOnLoop(0, func(func([]byte)) { h.rejectOverLimit(c) })
		})
	}
}

// rejectOverLimit rejects a connection that exceeds the connection limit.
func (h *clientHandler) rejectOverLimit(c *transport.Conn) {
	c.WriteInLoop(drmaafront.BusyResponse(true))
	c.CloseInLoop(errConnectionLimitExceeded)
}

// Receive parses and serves the next request. It leaves the bytes in the connection's buffer while a request is pending.
func (h *clientHandler) Receive(c *transport.Conn, received []byte) (int, error) {
	switch {
	case h.streaming:
		return len(received), nil // no request can follow an event stream, which ends with the connection
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

// limitRequestTime starts the timeout of an incomplete request, unless it is running. The idle timeout is not sufficient: a
// client that sends one byte per second is never idle and would keep its connection forever.
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

// rejectSlow rejects a connection whose request has not arrived completely within the request timeout.
func (h *clientHandler) rejectSlow(c *transport.Conn) {
	c.WriteInLoop(drmaafront.ErrorResponse(http.StatusRequestTimeout, &drmaa2.Error{Code: drmaa2.InvalidArgument,
		Message: fmt.Sprintf("the request was not complete within %v",
			h.daemon.settings.Limits.RequestTimeout.Duration())}, true))
	c.CloseInLoop(errRequestTimeout)
}

// rejectMalformed responds to bytes that are not a valid HTTP request.
func (h *clientHandler) rejectMalformed(c *transport.Conn, err error) {
	status, text := http.StatusBadRequest, err.Error()
	var malformed *httpcodec.RequestError
	if errors.As(err, &malformed) {
		status, text = malformed.Status, malformed.Message
	}
	h.daemon.metrics.malformedRequests.inc()
	c.WriteInLoop(drmaafront.ErrorResponse(status, &drmaa2.Error{Code: drmaa2.InvalidArgument, Message: text}, true))
}

// serve routes a request. It responds at once if the cores are not needed or are too busy, and else when they have answered.
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
		c.RunOnLoop(estimatedEventSize, func(func([]byte)) { h.complete(c, call, events, &answer) })
	}}
	if !h.daemon.dispatch(call, m, events) {
		events.requestEnded.Store(true)
		h.requestPending = false
		h.respond(c, call, drmaafront.BusyResponse(call.CloseConnection))
	}
}

// complete writes the response to a request that the cores have answered. It must run on the event loop.
func (h *clientHandler) complete(c *transport.Conn, call *drmaafront.Call, events *eventStream, answer *scheduler.Answer) {
	if call.Stream && answer.Err == nil {
		h.streaming = true
		c.DisableIdleTimeout()
		c.WriteInLoop(call.EncodeAnswer(answer))
		events.start(c.WriteInLoop)
		return
	}
	events.requestEnded.Store(true)
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

// Closed updates the connection count, and logs and counts a connection that was closed because of its client.
func (h *clientHandler) Closed(c *transport.Conn, reason error) {
	stopTimer(h.overLimitTimer)
	stopTimer(h.requestTimer)
	h.daemon.metrics.openClientConnections.Set(float64(h.daemon.clientConnectionCount.Add(-1)))
	if isClientFault(reason) {
		h.daemon.metrics.clientsDisconnected.inc()
		h.daemon.log.Warn().Err(reason).Str("client", c.RemoteAddr()).
			Msg("client connection closed: client too slow or sent too much")
	}
}

// isClientFault reports whether a connection was closed because its client read or sent too slowly, or sent too much.
func isClientFault(reason error) bool {
	return errors.Is(reason, transport.ErrSlowReader) || errors.Is(reason, transport.ErrReadBufferFull) ||
		errors.Is(reason, errRequestTimeout)
}
