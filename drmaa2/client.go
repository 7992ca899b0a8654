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
	prefix        = "/drmaa2/v1"
	firstRetry    = 50 * time.Millisecond
	longestRetry  = 2 * time.Second
	largestAnswer = 256 << 20
)

// Client reaches one scheduler. Its zero value is of no use; see NewClient.
type Client struct {
	base string
	http *http.Client
	// RetryFor is how long a submission whose answer was not heard is sent again under its key, and how long
	// a wait looks for a scheduler that went away. 0: not at all.
	RetryFor time.Duration
}

// NewClient makes a client for the daemon at base, as http://127.0.0.1:7171. It keeps connections; Close ends
// them.
func NewClient(base string) *Client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
	return &Client{base: strings.TrimRight(base, "/"), http: &http.Client{Transport: t}, RetryFor: 10 * time.Second}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Drms tells what answers and what it can do.
func (c *Client) Drms(ctx context.Context) (*Drms, error) {
	var d Drms
	return &d, c.call(ctx, http.MethodGet, "/info", nil, &d)
}

type name struct {
	Name string `json:"name"`
}

// CreateJobSession makes a session; ErrInvalidArgument where the name is taken.
func (c *Client) CreateJobSession(ctx context.Context, session string) (*JobSession, error) {
	if err := c.call(ctx, http.MethodPost, "/sessions", name{session}, nil); err != nil {
		return nil, err
	}
	return &JobSession{c, session}, nil
}

// OpenJobSession opens a session that exists; ErrInvalidArgument where there is none of the name.
func (c *Client) OpenJobSession(ctx context.Context, session string) (*JobSession, error) {
	if err := c.call(ctx, http.MethodGet, "/sessions/"+url.PathEscape(session), nil, nil); err != nil {
		return nil, err
	}
	return &JobSession{c, session}, nil
}

// DestroyJobSession forgets a session. Its jobs go on and can be seen by a MonitoringSession.
func (c *Client) DestroyJobSession(ctx context.Context, session string) error {
	return c.call(ctx, http.MethodDelete, "/sessions/"+url.PathEscape(session), nil, nil)
}

// JobSessionNames lists the sessions.
func (c *Client) JobSessionNames(ctx context.Context) ([]string, error) {
	var l struct {
		Names []string `json:"names"`
	}
	err := c.call(ctx, http.MethodGet, "/sessions", nil, &l)
	return l.Names, err
}

// call makes one request. The scheduler's refusals come as *Error with its code; everything on the way there
// and back as ErrDrmCommunication, or the context's error.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	res, err := c.send(ctx, method, path, in, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, largestAnswer))
	if err != nil {
		return communication(ctx, err)
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Code: DrmCommunication, Message: "the answer can't be read: " + err.Error(), Err: err}
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, in any, header http.Header) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, &Error{Code: InvalidArgument, Message: err.Error(), Err: err}
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+prefix+path, body)
	if err != nil {
		return nil, &Error{Code: InvalidArgument, Message: err.Error(), Err: err}
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, communication(ctx, err)
	}
	if res.StatusCode < 300 {
		return res, nil
	}
	defer res.Body.Close()
	e := &Error{}
	text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if json.Unmarshal(text, e) != nil || e.Code == "" {
		e = &Error{Code: DrmCommunication, Message: fmt.Sprintf("status %s: %.200s", res.Status, text)}
	}
	if ms, err := strconv.ParseInt(res.Header.Get("Flaxshelf-Retry-After-Ms"), 10, 64); err == nil {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	} else if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return nil, e
}

func communication(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &Error{Code: DrmCommunication, Message: err.Error(), Err: err}
}

// retry calls again while the answer was not heard, for RetryFor at most. do is told whether it is a repeat.
func (c *Client) retry(ctx context.Context, do func(again bool) error) error {
	until, wait := time.Now().Add(c.RetryFor), firstRetry
	for again := false; ; again = true {
		err := do(again)
		if !errors.Is(err, ErrDrmCommunication) || time.Now().Add(wait).After(until) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wait = min(2*wait, longestRetry)
	}
}

func newKey() string { return "k-" + rand.Text() }
