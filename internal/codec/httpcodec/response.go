package httpcodec

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Continue is the interim response to a request that expects it.
var Continue = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// StatusText is the reason phrase of a status.
func StatusText(status int) string { return http.StatusText(status) }

// AppendResponse writes a whole response. fields are name, value pairs.
func AppendResponse(dst []byte, status int, contentType string, body []byte, closes bool, fields ...string) []byte {
	dst = appendHead(dst, status, contentType, fields)
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if closes {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// AppendStreamHead begins a response whose body comes in chunks.
func AppendStreamHead(dst []byte, status int, contentType string, fields ...string) []byte {
	dst = appendHead(dst, status, contentType, fields)
	return append(dst, "Transfer-Encoding: chunked\r\n\r\n"...)
}

func appendHead(dst []byte, status int, contentType string, fields []string) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\n", status, StatusText(status))
	if contentType != "" {
		dst = fmt.Appendf(dst, "Content-Type: %s\r\n", contentType)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		dst = fmt.Appendf(dst, "%s: %s\r\n", fields[i], fields[i+1])
	}
	return dst
}

// AppendChunk writes one chunk of a streamed body; an empty one ends it.
func AppendChunk(dst, data []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

// Response is what a ResponseReader has read of a response. Body grows while it streams.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
	Done   bool
}

// Get returns the first field of that name, which must be in lower case.
func (r *Response) Get(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// ResponseReader reads the responses of one connection from bytes as they come.
type ResponseReader struct {
	buf     []byte
	now     *Response
	left    int // of the body or chunk; -1: a chunk's line is next
	chunked bool
	bare    bool // the body ends with the connection
}

// Feed takes bytes and calls each for every response whenever it has grown. Interim responses are skipped.
func (r *ResponseReader) Feed(b []byte, each func(*Response)) error {
	r.buf = append(r.buf, b...)
	for {
		if r.now == nil {
			i := bytes.Index(r.buf, crlfcrlf)
			if i < 0 {
				return nil
			}
			if err := r.begin(string(r.buf[:i])); err != nil {
				return err
			}
			r.buf = r.buf[i+4:]
			if r.now == nil {
				continue
			}
		}
		grown, err := r.body()
		if err != nil {
			return err
		}
		now := r.now
		if now.Done {
			r.now = nil
		}
		if grown || now.Done {
			each(now)
		}
		if !now.Done {
			return nil
		}
	}
}

func (r *ResponseReader) begin(head string) error {
	lines := strings.Split(head, "\r\n")
	parts := strings.SplitN(lines[0], " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return fmt.Errorf("httpcodec: not a status line: %q", lines[0])
	}
	status, err := strconv.Atoi(parts[1])
	if err != nil || status < 100 || status > 999 {
		return fmt.Errorf("httpcodec: not a status: %q", parts[1])
	}
	if status < 200 {
		return nil
	}
	r.now, r.left, r.chunked, r.bare = &Response{Status: status}, 0, false, true
	for _, l := range lines[1:] {
		f, err := field(l)
		if err != nil {
			return fmt.Errorf("httpcodec: response: %w", err)
		}
		r.now.Fields = append(r.now.Fields, f)
	}
	if r.now.Get("transfer-encoding") == "chunked" {
		r.chunked, r.left, r.bare = true, -1, false
	} else if l := r.now.Get("content-length"); l != "" {
		n, err := strconv.ParseUint(l, 10, 31)
		if err != nil {
			return fmt.Errorf("httpcodec: Content-Length %q", l)
		}
		r.left, r.bare = int(n), false
	}
	if status == 204 || status == 304 {
		r.left, r.bare, r.chunked = 0, false, false
	}
	return nil
}

func (r *ResponseReader) body() (grown bool, err error) {
	if r.bare {
		r.now.Body = append(r.now.Body, r.buf...)
		grown, r.buf = len(r.buf) > 0, nil
		return grown, nil
	}
	for {
		if r.chunked && r.left < 0 {
			i := bytes.Index(r.buf, crlfcrlf[:2])
			if i < 0 {
				return grown, nil
			}
			n, err := strconv.ParseUint(string(r.buf[:i]), 16, 31)
			if err != nil {
				return grown, fmt.Errorf("httpcodec: not the size of a chunk: %q", r.buf[:i])
			}
			if n == 0 {
				if len(r.buf) < i+4 {
					return grown, nil
				}
				r.buf, r.now.Done = r.buf[i+4:], true
				return grown, nil
			}
			r.buf, r.left = r.buf[i+2:], int(n)+2
		}
		if !r.chunked {
			n := min(r.left, len(r.buf))
			r.now.Body = append(r.now.Body, r.buf[:n]...)
			r.buf, r.left = r.buf[n:], r.left-n
			r.now.Done = r.left == 0
			return n > 0, nil
		}
		if len(r.buf) < r.left {
			return grown, nil
		}
		r.now.Body = append(r.now.Body, r.buf[:r.left-2]...)
		r.buf, r.left, grown = r.buf[r.left:], -1, true
	}
}
