// Package httpcodec owns the bytes of HTTP/1.1 (RFC 9112): an incremental request parser with limits on every
// length, responses, and a reader of responses for those who check traffic. It must not route or decide.
package httpcodec

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits bound a request, in bytes and in number of fields.
type Limits struct{ Line, Head, Fields, Body int }

// DefaultLimits are the limits of a Parser whose Limits are zero.
var DefaultLimits = Limits{Line: 8 << 10, Head: 32 << 10, Fields: 100, Body: 1 << 20}

// Error is a request that can't be served, with the status to answer. The connection is to be closed after it,
// since where the next request would begin is not known.
type Error struct {
	Status  int
	Message string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, StatusText(e.Status), e.Message)
}

func bad(status int, format string, args ...any) *Error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Field is one header field; its name is in lower case.
type Field struct{ Name, Value string }

// Request is a parsed request. Body aliases the bytes given to Parse, unless it came in chunks.
type Request struct {
	Method, Path, Query string
	Minor               int // of HTTP/1.x
	Fields              []Field
	Body                []byte
	Close               bool // the client wants no further request on this connection
	Expects             bool // it waits for 100 Continue before it sends the body
}

// Get returns the first field of that name, which must be in lower case.
func (r *Request) Get(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Parser reads requests from the front of a growing buffer. Its zero value is ready. Parse must be given the
// same unused bytes again, with what has come behind them.
type Parser struct {
	Limits Limits

	scanned   int // of the head, without its end
	req       *Request
	head      int // length of the head
	length    int // of the body; -1: chunked
	at        int // chunked: where the next chunk's line begins
	trailing  bool
	chunks    []byte
	continued bool
}

// Parse reads one request. With req nil and err nil more bytes are needed. cont is true once, when the client
// waits for 100 Continue and its request is one that can be taken.
func (p *Parser) Parse(in []byte) (req *Request, used int, cont bool, err error) {
	if p.Limits == (Limits{}) {
		p.Limits = DefaultLimits
	}
	if p.req == nil {
		if done, err := p.parseHead(in); err != nil || !done {
			return nil, 0, false, err
		}
	}
	end, err := p.body(in)
	if err != nil {
		return nil, 0, false, err
	}
	if end < 0 {
		if p.req.Expects && !p.continued {
			p.continued, cont = true, true
		}
		return nil, 0, cont, nil
	}
	req = p.req
	*p = Parser{Limits: p.Limits}
	return req, end, false, nil
}

// Started tells whether a request has begun and is not complete.
func (p *Parser) Started(in []byte) bool { return p.req != nil || len(in) > 0 }

var crlfcrlf = []byte("\r\n\r\n")

func (p *Parser) parseHead(in []byte) (bool, error) {
	skip := 0 // empty lines before a request are passed over, RFC 9112 section 2.2
	for bytes.HasPrefix(in[skip:], crlfcrlf[:2]) {
		if skip += 2; skip > 8 {
			return false, bad(400, "empty lines where a request should begin")
		}
	}
	from := max(p.scanned-3, skip)
	i := -1
	if from <= len(in) {
		i = bytes.Index(in[from:], crlfcrlf)
	}
	if i < 0 {
		p.scanned = len(in)
		switch {
		case len(in) > p.Limits.Head:
			return false, bad(431, "the head is over %d bytes", p.Limits.Head)
		case len(in) > p.Limits.Line && bytes.IndexByte(in, '\n') < 0:
			return false, bad(414, "the request line is over %d bytes", p.Limits.Line)
		}
		return false, nil
	}
	if p.head = from + i + 4; p.head > p.Limits.Head {
		return false, bad(431, "the head is over %d bytes", p.Limits.Head)
	}
	lines := strings.Split(string(in[skip:p.head-4]), "\r\n")
	req, err := requestLine(lines[0], p.Limits.Line)
	if err != nil {
		return false, err
	}
	if len(lines)-1 > p.Limits.Fields {
		return false, bad(431, "%d header fields, %d at most", len(lines)-1, p.Limits.Fields)
	}
	for _, l := range lines[1:] {
		f, err := field(l)
		if err != nil {
			return false, err
		}
		req.Fields = append(req.Fields, f)
	}
	if p.length, err = framing(req); err != nil {
		return false, err
	}
	if p.length > p.Limits.Body {
		return false, bad(413, "a body of %d bytes, %d at most", p.length, p.Limits.Body)
	}
	p.req, p.at = req, p.head
	return true, nil
}

func requestLine(line string, limit int) (*Request, error) {
	if len(line) > limit {
		return nil, bad(414, "the request line is over %d bytes", limit)
	}
	method, rest, ok1 := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || !token(method) || target == "" || strings.ContainsFunc(target, control) {
		return nil, bad(400, "not a request line")
	}
	r := &Request{Method: method}
	switch version {
	case "HTTP/1.1":
		r.Minor = 1
	case "HTTP/1.0":
		r.Close = true
	default:
		if strings.HasPrefix(version, "HTTP/") {
			return nil, bad(505, "HTTP/1.1 is spoken here")
		}
		return nil, bad(400, "not a request line")
	}
	if !strings.HasPrefix(target, "/") {
		// absolute-form, RFC 9112 section 3.2.2
		if _, after, ok := strings.Cut(target, "://"); ok {
			i := strings.IndexByte(after, '/')
			if i < 0 {
				after, i = "/", 0
			}
			target = after[i:]
		} else {
			return nil, bad(400, "the target must be a path")
		}
	}
	r.Path, r.Query, _ = strings.Cut(target, "?")
	return r, nil
}

func field(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !token(name) { // also folded lines and space before the colon, RFC 9112 section 5
		return Field{}, bad(400, "not a header field")
	}
	value = strings.Trim(value, " \t")
	if strings.ContainsFunc(value, func(r rune) bool { return r != '\t' && control(r) }) {
		return Field{}, bad(400, "a control character in header field %s", name)
	}
	return Field{strings.ToLower(name), value}, nil
}

// framing finds the length of the body; -1 for one in chunks. What could be read in two ways is turned away,
// against requests smuggled behind others (RFC 9112 section 11.2).
func framing(r *Request) (int, error) {
	length, hosts, chunked := -1, 0, false
	for _, f := range r.Fields {
		switch f.Name {
		case "host":
			hosts++
		case "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 31)
			if err != nil || f.Value[0] == '+' {
				return 0, bad(400, "Content-Length is not a number")
			}
			if length >= 0 && length != int(n) {
				return 0, bad(400, "two Content-Lengths")
			}
			length = int(n)
		case "transfer-encoding":
			if chunked || !strings.EqualFold(f.Value, "chunked") {
				return 0, bad(501, "of the transfer encodings only chunked is taken")
			}
			chunked = true
		case "connection":
			for _, o := range strings.Split(f.Value, ",") {
				switch strings.ToLower(strings.TrimSpace(o)) {
				case "close":
					r.Close = true
				case "keep-alive":
					r.Close = r.Close && r.Minor > 0
				}
			}
		case "expect":
			if !strings.EqualFold(f.Value, "100-continue") {
				return 0, bad(417, "of the expectations only 100-continue is met")
			}
			r.Expects = r.Minor > 0
		}
	}
	switch {
	case r.Minor > 0 && hosts != 1:
		return 0, bad(400, "one Host field is needed")
	case chunked && (length >= 0 || r.Minor == 0):
		return 0, bad(400, "Transfer-Encoding where it may not be")
	case chunked:
		return -1, nil
	}
	return max(length, 0), nil
}

// body returns where the request ends, or -1 when more is needed.
func (p *Parser) body(in []byte) (int, error) {
	if p.length >= 0 {
		if len(in) < p.head+p.length {
			return -1, nil
		}
		p.req.Body = in[p.head : p.head+p.length]
		return p.head + p.length, nil
	}
	for {
		i := bytes.Index(in[p.at:], crlfcrlf[:2])
		if i < 0 {
			if len(in)-p.at > 1024 {
				return 0, bad(400, "a chunk's line is too long")
			}
			return -1, nil
		}
		line := string(in[p.at : p.at+i])
		if p.trailing { // trailer fields are read and dropped
			p.at += i + 2
			if line == "" {
				p.req.Body = p.chunks
				return p.at, nil
			}
			if _, err := field(line); err != nil || p.at-p.head > p.Limits.Head+2*p.Limits.Body {
				return 0, bad(400, "not a trailer field")
			}
			continue
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return 0, bad(400, "not the size of a chunk")
		}
		if len(p.chunks)+int(n) > p.Limits.Body {
			return 0, bad(413, "a body over %d bytes", p.Limits.Body)
		}
		if n == 0 {
			p.at += i + 2
			p.trailing = true
			continue
		}
		begin := p.at + i + 2
		if len(in) < begin+int(n)+2 {
			return -1, nil
		}
		if !bytes.HasPrefix(in[begin+int(n):], crlfcrlf[:2]) {
			return 0, bad(400, "a chunk is not as long as it says")
		}
		p.chunks = append(p.chunks, in[begin:begin+int(n)]...)
		p.at = begin + int(n) + 2
		if p.at-p.head > 8*p.Limits.Body+1024 { // a body of one-byte chunks costs more to keep than it holds
			return 0, bad(413, "the chunks are too small")
		}
	}
}

func control(r rune) bool { return r < ' ' || r == 0x7f }

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return s != ""
}
