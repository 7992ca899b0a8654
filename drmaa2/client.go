package drmaa2

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	apiPath          = "/drmaa2/v1"
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 256 << 20
	maxErrorBytes    = 1 << 20

	connectTimeout     = 2 * time.Second
	idleConnTimeout    = 30 * time.Second
	maxIdleConnections = 64
	defaultRetryFor    = 10 * time.Second
)

// Headers of the protocol. Retry-After is in whole seconds; flaxshelf's own header is more exact.
const (
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMs = "Flaxshelf-Retry-After-Ms"
	headerLastEventID  = "Last-Event-Id"
)

// Client calls one scheduler. Make it with NewClient; its zero value can't be used. Several goroutines may use it, but
// RetryFor may be set only before the first call.
type Client struct {
	baseURL    string
	httpClient *http.Client
	// RetryFor is how long a submission without a response is retried under its idempotency key, and how long a
	// wait tries to reach a scheduler that went away. 0: not at all. NewClient sets 10 seconds.
	RetryFor time.Duration
}

// NewClient makes a client of the daemon at a URL, such as http://127.0.0.1:7171; http:// may be left out. It connects
// with the first call, and keeps connections open until Close.
func NewClient(baseURL string) *Client {
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnTimeout,
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
	return &Client{
		baseURL:    strings.TrimRight(baseURL, "/"),
		httpClient: &http.Client{Transport: transport},
		RetryFor:   defaultRetryFor,
	}
}

// Close closes idle connections. Calls in progress go on.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Drms describes the scheduler and its capabilities.
func (c *Client) Drms(ctx context.Context) (*Drms, error) {
	var d Drms
	return &d, c.call(ctx, http.MethodGet, "/info", nil, &d)
}

// sessionName is the body of a request to create a session.
type sessionName struct {
	Name string `json:"name"`
}

func sessionPath(name string) string { return "/sessions/" + url.PathEscape(name) }

// CreateJobSession creates a session; ErrInvalidArgument where the name is taken, ErrOutOfResource where there are too
// many.
func (c *Client) CreateJobSession(ctx context.Context, session string) (*JobSession, error) {
	if err := c.call(ctx, http.MethodPost, "/sessions", sessionName{session}, nil); err != nil {
		return nil, err
	}
	return &JobSession{c, session}, nil
}

// OpenJobSession opens a session that exists; ErrInvalidArgument where there is none of the name.
func (c *Client) OpenJobSession(ctx context.Context, session string) (*JobSession, error) {
	if err := c.call(ctx, http.MethodGet, sessionPath(session), nil, nil); err != nil {
		return nil, err
	}
	return &JobSession{c, session}, nil
}

// DestroyJobSession removes a session; ErrInvalidArgument where there is none of the name. Its jobs continue and are seen
// by a MonitoringSession.
func (c *Client) DestroyJobSession(ctx context.Context, session string) error {
	return c.call(ctx, http.MethodDelete, sessionPath(session), nil, nil)
}

// JobSessionNames lists the sessions.
func (c *Client) JobSessionNames(ctx context.Context) ([]string, error) {
	var sessions struct {
		Names []string `json:"names"`
	}
	err := c.call(ctx, http.MethodGet, "/sessions", nil, &sessions)
	return sessions.Names, err
}

// call makes one request with the JSON of in, and decodes the response into out; either may be nil. Errors are those of
// send.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	response, err := c.send(ctx, method, path, in, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return communicationError(ctx, err)
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Code: DrmCommunication, Message: "the response can't be decoded: " + err.Error(), Err: err}
	}
	return nil
}

// send makes one request. The caller closes the body of the response. The scheduler's errors come as *Error with their
// code; those on the way there and back as ErrDrmCommunication, or the context's error.
func (c *Client) send(ctx context.Context, method, path string, in any, header http.Header) (*http.Response, error) {
	request, err := c.newRequest(ctx, method, path, in, header)
	if err != nil {
		return nil, argumentError(err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, communicationError(ctx, err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer response.Body.Close()
	return nil, errorOf(response)
}

func (c *Client) newRequest(ctx context.Context, method, path string, in any,
	header http.Header) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+apiPath+path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// errorOf is the error that a response carries. One that is not the scheduler's, as of a proxy, is DrmCommunication.
func errorOf(response *http.Response) *Error {
	// What a body that breaks off has left is no JSON, and then goes into the message.
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	e := &Error{}
	if json.Unmarshal(text, e) != nil || e.Code == "" {
		e = &Error{Code: DrmCommunication, Message: fmt.Sprintf("status %s: %.200s", response.Status, text)}
	}
	e.RetryAfter = retryAfter(response.Header)
	return e
}

// retryAfter is how long to wait before a retry; 0 where the response does not say.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.ParseInt(header.Get(headerRetryAfterMs), 10, 64); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(header.Get(headerRetryAfter)); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// retry calls attempt until it ends otherwise than by DrmCommunication, for RetryFor at most, with backoff. From the second
// time on, repeated is true.
func (c *Client) retry(ctx context.Context, attempt func(repeated bool) error) error {
	deadline, backoff := time.Now().Add(c.RetryFor), minBackoff
	for repeated := false; ; repeated = true {
		err := attempt(repeated)
		if !errors.Is(err, ErrDrmCommunication) || time.Now().Add(backoff).After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func newIdempotencyKey() string { return "k-" + rand.Text() }
