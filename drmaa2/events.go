package drmaa2

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	eventsPath    = "/events"
	maxEventBytes = 1 << 20

	eventIDPrefix   = "id: "
	eventDataPrefix = "data: "
)

// followEvents calls handle with each event of a stream until handle returns true. It reconnects if the connection breaks; the
// scheduler then sends the latest state of each job whose events were missed. The error is ErrTimeout after the timeout.
func (c *Client) followEvents(ctx context.Context, path string, timeout time.Duration,
	handle func(*JobInfo) bool) error {
	waitCtx, cancel := ctx, context.CancelFunc(func() {})
	if timeout != InfiniteTime {
		waitCtx, cancel = context.WithTimeout(ctx, timeout)
	}
	defer cancel()
	events := eventStream{client: c, path: path, handle: handle}
	for {
		done := false
		err := c.retry(waitCtx, func(bool) error {
			var err error
			done, err = events.read(waitCtx)
			return err
		})
		switch {
		case done:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case waitCtx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
			return &Error{Code: TimeoutCode, Message: "timed out after " + timeout.String()}
		case err != nil:
			return err
		}
		select { // the stream has ended, for example because the daemon shuts down; wait before reconnecting
		case <-waitCtx.Done():
		case <-time.After(minBackoff):
		}
	}
}

// eventStream reads the events of a stream over one connection after another. Each connection resumes after the last event that
// was passed to handle.
type eventStream struct {
	client *Client
	path   string
	handle func(*JobInfo) bool
	lastID string // ID of the last event that was passed to handle; empty before the first
}

// read opens a connection and calls handle with its events. It returns true when handle returns true, and false without an error
// if the scheduler closed the connection, or if the connection broke after at least one event.
func (s *eventStream) read(ctx context.Context) (bool, error) {
	header := http.Header{"Accept": {"text/event-stream"}}
	if s.lastID != "" {
		header.Set(headerLastEventID, s.lastID)
	}
	response, err := s.client.send(ctx, http.MethodGet, s.path, nil, header)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	events := newEventReader(response.Body)
	received := false
	for events.next() {
		info := &JobInfo{}
		if err := json.Unmarshal([]byte(events.data), info); err != nil {
			return false, &Error{Code: DrmCommunication, Message: "decode event: " + err.Error(), Err: err}
		}
		s.lastID, received = events.id, true
		if s.handle(info) {
			return true, nil
		}
	}
	if err := events.lines.Err(); err != nil && !received {
		return false, communicationError(ctx, err)
	}
	return false, ctx.Err()
}

// eventReader parses the server-sent events of one connection.
type eventReader struct {
	lines    *bufio.Scanner
	id, data string // ID and data of the event that next read last
}

func newEventReader(stream io.Reader) *eventReader {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxEventBytes)
	return &eventReader{lines: lines}
}

// next reads the next event that has data. It returns false at the end of the stream or after an error; lines.Err returns the
// error.
func (r *eventReader) next() bool {
	r.data = ""
	for r.lines.Scan() {
		line := r.lines.Text()
		if value, ok := strings.CutPrefix(line, eventIDPrefix); ok {
			r.id = value
		}
		if value, ok := strings.CutPrefix(line, eventDataPrefix); ok {
			r.data = value
		}
		if line == "" && r.data != "" { // an empty line ends an event
			return true
		}
	}
	return false
}
