package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/sse"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
)

const (
	// watchIdleTimeout is the time without data after which a stream counts as broken. The control feed sends at least a comment
	// each second.
	watchIdleTimeout = 1700 * time.Millisecond
	// watchHedgeDelay is how long to wait for the response to a request for the events before a second request is made beside it.
	// The first one may have been lost, or the control feed may be slow.
	watchHedgeDelay = time.Second
	// watchConnectTimeout is how long the control feed may take to respond to the requests of one stream.
	watchConnectTimeout = 2500 * time.Millisecond
	// maxWatchHeader is the maximum size of the response header in bytes, since the process has little memory.
	maxWatchHeader = 16 << 10
	// watchReadBuffer is the maximum number of bytes read from a stream at once.
	watchReadBuffer = 4096
	// watchPath is the URL path at which the control feed serves its events.
	watchPath = "/v1/events"
)

var (
	errWatchTimeout  = errors.New("platform: the control feed sent nothing within the timeout")
	errWatchReplaced = errors.New("platform: the stream of the control feed was replaced or stopped")
)

// watchOperation is an operation on a stream of the control feed.
type watchOperation string

const (
	watchConnect watchOperation = "connect"
	watchRead    watchOperation = "read"
	watchDecode  watchOperation = "decode event"
)

// watchError reports that an operation on a stream of the control feed failed.
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
func (e *watchStatusError) Error() string { return "got HTTP status " + e.Status + ", want 200" }

// watchNotification is a message to the run loop from a stream of the endpoint watch. It has either an event, or an input for
// the core that reports that the stream was established or has failed.
type watchNotification struct {
	streamID int                       // number of the stream that sent it
	event    *platformfront.WatchEvent // nil if input is set
	input    requests.Input            // nil if event is set
}

// handleWatchNotification applies a notification and returns the resulting input for the core, or nil if there is none. That a
// previous stream was established or has failed is ignored, so that the core does not replace the current stream.
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
			Msg("events of the control feed are missing, requesting them")
		s.subscribe()
	case eventStale:
	}
	return nil
}

// subscribe opens a stream of the control feed that starts after the last event applied. It replaces the current stream.
func (s *scheduler) subscribe() {
	s.watchPosition.streamID++
	s.watch.start(s.config.Load().ControlFeedAddr, s.watchPosition)
}

// endpointWatch reads changes of the endpoint list from the control feed, one stream at a time. Only the run loop's goroutine
// may call start and stop. Each stream has a goroutine of its own, for which stop waits.
type endpointWatch struct {
	scheduler *scheduler
	cancel    context.CancelCauseFunc // cancels the current stream; nil until one is started
	streams   sync.WaitGroup          // goroutines of the streams
}

// start opens a stream that starts after event position.lastSequence, and cancels the previous stream. If the new stream ends
// otherwise than by its replacement or by stop, its goroutine logs the reason and notifies the run loop.
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

// stop cancels the current stream and waits for the goroutines of all streams.
func (w *endpointWatch) stop() {
	w.cancelStream()
	w.streams.Wait()
}

func (w *endpointWatch) cancelStream() {
	if w.cancel != nil {
		w.cancel(errWatchReplaced)
	}
}

// watchStream reads one HTTP response of the control feed. It is used by one goroutine only, which starts others for its
// requests.
type watchStream struct {
	scheduler *scheduler
	id        int         // number of the stream, as in watchPosition.streamID
	addr      string      // address of the control feed
	timeout   *time.Timer // cancels the stream when no data arrives in time
	requests  sync.WaitGroup
}

// run requests the events after lastSequence and reads the stream until it ends. It returns the reason as a *watchError.
func (st *watchStream) run(ctx context.Context, cancel context.CancelCauseFunc, lastSequence uint64) error {
	st.timeout = time.AfterFunc(watchConnectTimeout, func() { cancel(errWatchTimeout) })
	defer st.timeout.Stop()
	defer st.requests.Wait()
	used, err := st.connect(ctx, lastSequence)
	if err != nil {
		return st.wrapError(ctx, watchConnect, err)
	}
	defer used.close()
	st.notify(watchNotification{input: requests.WatchEstablished{}})
	return st.read(ctx, used.response.Body)
}

// read passes the stream's events to the run loop until an operation fails. It never returns nil.
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

// notify passes a notification to the run loop. It waits while the mailbox is full.
func (st *watchStream) notify(n watchNotification) {
	n.streamID = st.id
	st.scheduler.mailbox.putWait(message{notification: &n}, st.scheduler.loopDone)
}

// wrapError returns a *watchError for a failed operation. If the stream was canceled, it wraps the cause of the cancellation,
// not the error that results from it.
func (st *watchStream) wrapError(ctx context.Context, operation watchOperation, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &watchError{Operation: operation, Addr: st.addr, Err: err}
}
