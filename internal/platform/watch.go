package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/sse"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
)

const (
	// watchIdleTimeout is how long the control feed may send nothing: it sends a comment each second.
	watchIdleTimeout = 1700 * time.Millisecond
	// watchConnectTimeout is how long the control feed may take to answer a request for its events.
	watchConnectTimeout = time.Second
	// maxWatchHeader bounds the header of the control feed's response, in bytes: memory is short.
	maxWatchHeader = 16 << 10
	// watchReadBuffer is how many bytes of a stream are read at once.
	watchReadBuffer = 4096
	// watchPath is where the control feed serves its events.
	watchPath = "/v1/events"
)

var (
	errWatchTimeout  = errors.New("platform: the control feed timed out")
	errWatchReplaced = errors.New("platform: the stream was replaced by another one or stopped")
)

// watchOperation is a step of reading the control feed.
type watchOperation string

const (
	watchConnect watchOperation = "connect"
	watchRead    watchOperation = "read"
	watchDecode  watchOperation = "decode event"
)

// watchError reports which operation failed on a stream of the control feed.
type watchError struct {
	Operation watchOperation
	Addr      string // of the control feed
	Err       error
}

// Error implements error.
func (e *watchError) Error() string {
	return fmt.Sprintf("platform: control feed %s: %s: %v", e.Addr, e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *watchError) Unwrap() error { return e.Err }

// watchStatusError reports an HTTP status of the control feed other than 200.
type watchStatusError struct{ Status string }

// Error implements error.
func (e *watchStatusError) Error() string { return "unexpected status " + e.Status }

// watchNotification is a message of a stream of the endpoint watch to the run loop: either an event, or the input for the
// core that reports that the stream was established or has failed.
type watchNotification struct {
	streamID int                       // number of the stream that sent it
	event    *platformfront.WatchEvent // nil: input is set
	input    requests.Input
}

// handleWatchNotification returns the input for the core that follows from a notification, or nil if there is none. The end of a previous
// stream is ignored, so that the core does not replace the current one.
func (s *scheduler) handleWatchNotification(n *watchNotification) requests.Input {
	if n.event == nil {
		if n.streamID != s.watchPosition.streamID {
			return nil
		}
		return n.input
	}
	switch s.watchPosition.advance(n.event.Sequence, n.event.Update.Complete, n.streamID) {
	case eventInOrder:
		return n.event.Update
	case eventGap:
		s.options.Log.Info().Uint64("missing_event", s.watchPosition.lastSequence+1).Uint64("received_event", n.event.Sequence).
			Msg("events of the control feed are missing, requesting them again")
		s.subscribe()
	case eventStale:
	}
	return nil
}

// subscribe opens a stream of the control feed that starts after the last event that was applied.
func (s *scheduler) subscribe() {
	s.watchPosition.streamID++
	s.watch.start(s.config.Load().ControlFeedAddr, s.watchPosition)
}

// endpointWatch reads the endpoint list from the control feed, one stream at a time. start and stop are for the run loop's
// goroutine only. Each stream has a goroutine of its own, for which stop waits.
type endpointWatch struct {
	scheduler *scheduler
	cancel    context.CancelCauseFunc // of the current stream; nil: none was started
	streams   sync.WaitGroup
}

// start opens a stream that starts after position.last, and replaces the previous one. The stream's lifetime is owned by the
// watch, which logs its end.
func (w *endpointWatch) start(addr string, position watchPosition) {
	w.cancelStream()
	ctx, cancel := context.WithCancelCause(context.Background())
	w.cancel = cancel
	stream := &watchStream{scheduler: w.scheduler, id: position.streamID, addr: addr}
	w.streams.Go(func() {
		defer cancel(nil)
		err := stream.run(ctx, cancel, position.lastSequence)
		if errors.Is(context.Cause(ctx), errWatchReplaced) {
			return
		}
		w.scheduler.options.Log.Info().Err(err).Str("control_feed", addr).Msg("stream of the control feed ended")
		stream.notify(watchNotification{input: requests.WatchFailed{}})
	})
}

// stop ends the current stream and waits for all of them.
func (w *endpointWatch) stop() {
	w.cancelStream()
	w.streams.Wait()
}

func (w *endpointWatch) cancelStream() {
	if w.cancel != nil {
		w.cancel(errWatchReplaced)
	}
}

// watchStream is one HTTP response of the control feed. It belongs to its goroutine.
type watchStream struct {
	scheduler *scheduler
	id        int
	addr      string
	timeout   *time.Timer // cancels the stream when nothing arrives
}

// run reads the stream until it ends, and returns the reason as a *watchError.
func (st *watchStream) run(ctx context.Context, cancel context.CancelCauseFunc, last uint64) error {
	st.timeout = time.AfterFunc(watchConnectTimeout, func() { cancel(errWatchTimeout) })
	defer st.timeout.Stop()
	client := newWatchClient()
	defer client.CloseIdleConnections()
	response, err := st.connect(ctx, client, last)
	if err != nil {
		return st.wrapError(ctx, watchConnect, err)
	}
	defer response.Body.Close()
	st.notify(watchNotification{input: requests.WatchEstablished{}})
	return st.read(ctx, response.Body)
}

// newWatchClient returns an HTTP client for one stream, which must not wait for the connection of another stream.
func newWatchClient() *http.Client {
	dialer := &net.Dialer{Timeout: watchConnectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		Proxy:                  nil,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxWatchHeader,
	}}
}

// connect requests the events after last. The caller closes the body of the response.
func (st *watchStream) connect(ctx context.Context, client *http.Client, last uint64) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+st.addr+watchPath, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Last-Event-ID", strconv.FormatUint(last, 10))
	request.Header.Set("Accept", "text/event-stream")
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &watchStatusError{Status: response.Status}
	}
	return response, nil
}

// read delivers the stream's events until it fails. It never returns nil.
func (st *watchStream) read(ctx context.Context, body io.Reader) error {
	var decoder sse.Decoder
	buffer := make([]byte, watchReadBuffer)
	for {
		st.timeout.Reset(watchIdleTimeout)
		size, err := body.Read(buffer)
		if size > 0 {
			if err := decoder.Write(buffer[:size], st.handleEvent); err != nil {
				return st.wrapError(ctx, watchDecode, err)
			}
		}
		if err != nil {
			return st.wrapError(ctx, watchRead, err)
		}
	}
}

// handleEvent decodes an event and passes it to the run loop.
func (st *watchStream) handleEvent(e sse.Event) error {
	event, err := st.scheduler.config.Load().DecodeWatchEvent(e.Data)
	if err != nil {
		return err
	}
	st.notify(watchNotification{event: &event})
	return nil
}

// notify passes a notification to the run loop. It waits for capacity.
func (st *watchStream) notify(n watchNotification) {
	n.streamID = st.id
	st.scheduler.mailbox.putWait(message{notification: &n}, st.scheduler.loopDone)
}

// wrapError returns the error of an operation. For a canceled stream it wraps the cause instead of the error that results from
// it.
func (st *watchStream) wrapError(ctx context.Context, operation watchOperation, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &watchError{Operation: operation, Addr: st.addr, Err: err}
}
