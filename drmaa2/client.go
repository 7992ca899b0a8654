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
	minBackoff       = 50 * time.Millisecond // also the time before a closed event stream is opened again
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 256 << 20
	maxErrorBytes    = 1 << 20

	connectTimeout     = 2 * time.Second
	idleConnTimeout    = 30 * time.Second
	maxIdleConnections = 64
	defaultRetryFor    = 10 * time.Second
)

// Names of HTTP headers. Retry-After is in whole seconds, and Flaxshelf-Retry-After-Ms in milliseconds.
const (
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMs = "Flaxshelf-Retry-After-Ms"
	headerLastEventID  = "Last-Event-Id"
)

// Client is a client of one scheduler. Create it with NewClient; the zero value is not usable. It is safe for concurrent
// use, but RetryFor must not be changed after the first call.
type Client struct {
	baseURL    string
	httpClient *http.Client
	// RetryFor is how long the client repeats a submission that got no response, under the same idempotency key, and
	// how long a wait or watch tries to reach the scheduler again. Zero means no retry. NewClient sets 10 seconds.
	RetryFor time.Duration
}

// NewClient returns a client of the scheduler at baseURL, such as http://127.0.0.1:7171; http:// may be omitted. The client
// connects on the first call, and keeps idle connections open for later calls; Close closes them.
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

// Close closes idle connections. It does not interrupt calls in progress.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Drms returns a description of the scheduler and its capabilities.
func (c *Client) Drms(ctx context.Context) (*Drms, error) {
	var d Drms
	return &d, c.call(ctx, http.MethodGet, "/info", nil, &d)
}

// createSessionRequest is the body of a request to create a session.
type createSessionRequest struct {
	Name string `json:"name"`
}

// sessionPath returns the path of a job session, relative to apiPath.
func sessionPath(name string) string { return "/sessions/" + url.PathEscape(name) }

// CreateJobSession creates a session. The error is ErrInvalidArgument if the session exists, and ErrOutOfResource if there
// are too many sessions.
func (c *Client) CreateJobSession(ctx context.Context, session string) (*JobSession, error) {
	if err := c.call(ctx, http.MethodPost, "/sessions", createSessionRequest{session}, nil); err != nil {
		return nil, err
	}
	return &JobSession{c, session}, nil
}

// OpenJobSession opens an existing session. The error is ErrInvalidArgument if it does not exist.
func (c *Client) OpenJobSession(ctx context.Context, session string) (*JobSession, error) {
	if err := c.call(ctx, http.MethodGet, sessionPath(session), nil, nil); err != nil {
		return nil, err
	}
	return &JobSession{c, session}, nil
}

// DestroyJobSession removes a session. Its jobs continue, and a MonitoringSession lists them. The error is
// ErrInvalidArgument if the session does not exist.
func (c *Client) DestroyJobSession(ctx context.Context, session string) error {
	return c.call(ctx, http.MethodDelete, sessionPath(session), nil, nil)
}

// JobSessionNames returns the names of the sessions.
func (c *Client) JobSessionNames(ctx context.Context) ([]string, error) {
	var sessions struct {
		Names []string `json:"names"`
	}
	err := c.call(ctx, http.MethodGet, "/sessions", nil, &sessions)
	return sessions.Names, err
}

// call sends one request with requestBody as JSON, and decodes the response into result; either may be nil. It returns the
// errors of send, and ErrDrmCommunication if the response can't be decoded.
func (c *Client) call(ctx context.Context, method, path string, requestBody, result any) error {
	response, err := c.send(ctx, method, path, requestBody, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return communicationError(ctx, err)
	}
	if result == nil || len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return &Error{Code: DrmCommunication, Message: "decode response: " + err.Error(), Err: err}
	}
	return nil
}

// send sends one request and returns its response, whose body the caller must close. The error is the *Error that the
// scheduler returned, ErrInvalidArgument if no request can be built, ErrDrmCommunication if there is no response, or the
// error of the context.
func (c *Client) send(ctx context.Context, method, path string, requestBody any, header http.Header) (*http.Response, error) {
	request, err := c.newRequest(ctx, method, path, requestBody, header)
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
	return nil, responseError(response)
}

// newRequest returns a request with requestBody as JSON, or without a body if it is nil.
func (c *Client) newRequest(ctx context.Context, method, path string, requestBody any,
	header http.Header) (*http.Request, error) {
	var body io.Reader
	if requestBody != nil {
		encoded, err := json.Marshal(requestBody)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+apiPath+path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if requestBody != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// responseError returns the error in the body of a response. If the body is not an error of the scheduler, for example because a
// proxy sent it, the code is DrmCommunication.
func responseError(response *http.Response) *Error {
	// A read error is ignored: a body that is cut off is not valid JSON, so the part that was read goes into the message.
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	decoded := &Error{}
	if json.Unmarshal(body, decoded) != nil || decoded.Code == "" {
		decoded = &Error{Code: DrmCommunication, Message: fmt.Sprintf("status %s: %.200s", response.Status, body)}
	}
	decoded.RetryAfter = retryAfter(response.Header)
	return decoded
}

// retryAfter returns how long to wait before a retry, or zero if the headers of the response do not specify it.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.ParseInt(header.Get(headerRetryAfterMs), 10, 64); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(header.Get(headerRetryAfter)); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// retry calls attempt until it returns nil or an error other than ErrDrmCommunication, for RetryFor at most. The backoff
// between two calls doubles from minBackoff to maxBackoff. The argument repeated is false for the first call only.
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
