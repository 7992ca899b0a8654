package drmaa2

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
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

// followEvents calls handle with each event of a stream until it returns true, over as many connections as that takes.
// Events that were missed in between come as the latest state of each job. ErrTimeout after the timeout.
func (c *Client) followEvents(ctx context.Context, path string, timeout time.Duration,
	handle func(*JobInfo) bool) error {
	limited, cancel := ctx, context.CancelFunc(func() {})
	if timeout != InfiniteTime {
		limited, cancel = context.WithTimeout(ctx, timeout)
	}
	defer cancel()
	events := eventStream{client: c, path: path, handle: handle}
	for {
		done := false
		err := c.retry(limited, func(bool) error {
			var err error
			done, err = events.read(limited)
			return err
		})
		switch {
		case done:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case limited.Err() != nil || errors.Is(err, context.DeadlineExceeded):
			return &Error{Code: TimeoutCode, Message: "waited " + timeout.String()}
		case err != nil:
			return err
		}
		select { // the daemon has ended the stream, as it does when it shuts down
		case <-limited.Done():
		case <-time.After(minBackoff):
		}
	}
}

// eventStream reads server-sent events, and continues after the last one that was handled.
type eventStream struct {
	client *Client
	path   string
	handle func(*JobInfo) bool
	lastID string // of the last event that was handled
}

// read handles the events of one connection. It returns true when handle has, and false without an error when the
// connection ended in good order, or broke after events.
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
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	var id, data string
	received := false
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, eventIDPrefix); ok {
			id = value
		}
		if value, ok := strings.CutPrefix(line, eventDataPrefix); ok {
			data = value
		}
		if line != "" || data == "" { // an empty line ends an event
			continue
		}
		info := &JobInfo{}
		if err := json.Unmarshal([]byte(data), info); err != nil {
			return false, &Error{Code: DrmCommunication, Message: "an event can't be decoded: " + err.Error(), Err: err}
		}
		s.lastID, data, received = id, "", true
		if s.handle(info) {
			return true, nil
		}
	}
	if err := lines.Err(); err != nil && !received {
		return false, communicationError(ctx, err)
	}
	return false, ctx.Err()
}
