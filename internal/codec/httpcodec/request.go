// Package httpcodec encodes and decodes HTTP/1.1 (RFC 9112). It has an incremental request parser with limits on every length,
// functions that encode responses, and an incremental response reader for programs that check recorded traffic. It does no I/O
// and does not route requests.
package httpcodec

import (
	"fmt"
	"net/http"
	"strings"
)

// Limits are the greatest sizes of a request and its parts.
type Limits struct {
	RequestLineBytes int // without its line end
	HeadBytes        int // request line and header fields, with the empty line at their end
	HeaderFields     int // number of header fields
	BodyBytes        int // of a chunked body, the data without the framing
}

// DefaultLimits are the limits of a Parser whose Limits are zero.
var DefaultLimits = Limits{RequestLineBytes: 8 << 10, HeadBytes: 32 << 10, HeaderFields: 100, BodyBytes: 1 << 20}

// RequestError is the reason why a request can't be served. The connection must be closed after the response, since it is
// not known where the next request begins.
type RequestError struct {
	Status  int    // status code of the response
	Message string // sent in the body of the response, so clients may depend on its wording
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, StatusText(e.Status), e.Message)
}

// reject returns a *RequestError with a formatted message.
func reject(status int, format string, args ...any) error {
	return &RequestError{status, fmt.Sprintf(format, args...)}
}

// Field is a header field. Name is in lower case.
type Field struct{ Name, Value string }

// fieldValue returns the value of the first field with the given lower-case name, or an empty string if there is none.
func fieldValue(fields []Field, name string) string {
	for i := range fields {
		if fields[i].Name == name {
			return fields[i].Value
		}
	}
	return ""
}

// Request is a parsed request. Body is a part of the buffer passed to Parse, unless it was chunked.
type Request struct {
	Method, Path, Query string
	MinorVersion        int // 0 for HTTP/1.0, 1 for HTTP/1.1
	Fields              []Field
	Body                []byte
	Close               bool // the connection must be closed after the response
	ExpectsContinue     bool // the client waits for 100 Continue before it sends the body
}

// Get returns the value of the first header field with the given lower-case name, or an empty string if there is none.
func (r *Request) Get(name string) string { return fieldValue(r.Fields, name) }

// parseRequestLine parses the request line (RFC 9112 section 3).
func parseRequestLine(line string, maxBytes int) (*Request, error) {
	if len(line) > maxBytes {
		return nil, reject(http.StatusRequestURITooLong, "the request line is over %d bytes", maxBytes)
	}
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isToken(method) || target == "" || strings.ContainsFunc(target, isControl) {
		return nil, reject(http.StatusBadRequest, "not a request line")
	}
	r := &Request{Method: method}
	if err := r.setVersion(version); err != nil {
		return nil, err
	}
	path, err := originForm(target)
	if err != nil {
		return nil, err
	}
	r.Path, r.Query, _ = strings.Cut(path, "?")
	return r, nil
}

func (r *Request) setVersion(version string) error {
	switch {
	case version == "HTTP/1.1":
		r.MinorVersion = 1
	case version == "HTTP/1.0":
		r.Close = true
	case strings.HasPrefix(version, "HTTP/"):
		return reject(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here")
	default:
		return reject(http.StatusBadRequest, "not a request line")
	}
	return nil
}

// originForm returns the path and query of a request target in origin-form or absolute-form (RFC 9112 section 3.2).
func originForm(target string) (string, error) {
	if strings.HasPrefix(target, "/") {
		return target, nil
	}
	_, authority, absolute := strings.Cut(target, "://")
	if !absolute {
		return "", reject(http.StatusBadRequest, "the target must be a path")
	}
	if i := strings.IndexByte(authority, '/'); i >= 0 {
		return authority[i:], nil
	}
	return "/", nil
}

// parseField parses a header or trailer field. Folded lines and space before the colon are rejected (RFC 9112 section 5).
func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return Field{}, reject(http.StatusBadRequest, "not a header field")
	}
	value = strings.Trim(value, " \t")
	if strings.ContainsFunc(value, func(r rune) bool { return r != '\t' && isControl(r) }) {
		return Field{}, reject(http.StatusBadRequest, "a control character in header field %s", name)
	}
	return Field{strings.ToLower(name), value}, nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// isToken reports whether text is a token (RFC 9110 section 5.6.2).
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return text != ""
}
