package httpcodec

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Response is what a ResponseReader has read of a response. Body grows until Done is set.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
	Done   bool
}

// Get returns the value of the first header field with the name, which must be in lower case, or an empty string.
func (r *Response) Get(name string) string { return fieldValue(r.Fields, name) }

// ResponseError reports a response that violates the protocol. The rest of the connection can't be read.
type ResponseError struct {
	Reason string
	Value  string // the offending text
	Err    error  // the cause, or nil
}

func (e *ResponseError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("httpcodec: %s: %v: %q", e.Reason, e.Err, e.Value)
	}
	return fmt.Sprintf("httpcodec: %s: %q", e.Reason, e.Value)
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Err }

// bodyFraming is what determines the end of a response's body.
type bodyFraming int

const (
	untilClose bodyFraming = iota // the body ends with the connection
	byLength
	byChunks
)

// The range of valid status codes.
const (
	minStatus = 100
	maxStatus = 999
)

// chunkLineNext is the value of remainingBytes when the line of the next chunk is expected.
const chunkLineNext = -1

// ResponseReader reads the responses of one connection from bytes that arrive in pieces. Its zero value is ready to use. It
// is not safe for concurrent use.
type ResponseReader struct {
	buf            []byte // arrived and not read yet
	current        *Response
	framing        bodyFraming
	remainingBytes int // of the body, or of the chunk with its line end; chunkLineNext between chunks
}

// Feed reads further bytes and calls each for a response whenever its body has grown and when it is done. It skips interim
// responses. The error is a *ResponseError.
func (r *ResponseReader) Feed(b []byte, each func(*Response)) error {
	r.buf = append(r.buf, b...)
	for {
		if r.current == nil {
			end := bytes.Index(r.buf, headEnd)
			if end < 0 {
				return nil
			}
			if err := r.parseHead(string(r.buf[:end])); err != nil {
				return err
			}
			r.buf = r.buf[end+len(headEnd):]
			if r.current == nil {
				continue
			}
		}
		grown, err := r.readBody()
		if err != nil {
			return err
		}
		response := r.current
		if response.Done {
			r.current = nil
		}
		if grown || response.Done {
			each(response)
		}
		if !response.Done {
			return nil
		}
	}
}

// parseHead parses the head of a response. For an interim response, current stays nil.
func (r *ResponseReader) parseHead(head string) error {
	lines := strings.Split(head, "\r\n")
	status, err := parseStatusLine(lines[0])
	if err != nil {
		return err
	}
	if status < http.StatusOK {
		return nil
	}
	r.current = &Response{Status: status}
	for _, line := range lines[1:] {
		field, err := parseField(line)
		if err != nil {
			return &ResponseError{Reason: "response", Value: line, Err: err}
		}
		r.current.Fields = append(r.current.Fields, field)
	}
	return r.parseFraming()
}

func parseStatusLine(line string) (status int, err error) {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return 0, &ResponseError{Reason: "not a status line", Value: line}
	}
	status, err = strconv.Atoi(parts[1])
	if err != nil || status < minStatus || status > maxStatus {
		return 0, &ResponseError{Reason: "not a status", Value: parts[1]}
	}
	return status, nil
}

// parseFraming determines the end of the body from the header fields.
func (r *ResponseReader) parseFraming() error {
	r.framing, r.remainingBytes = untilClose, 0
	if r.current.Get("transfer-encoding") == "chunked" {
		r.framing, r.remainingBytes = byChunks, chunkLineNext
	} else if text := r.current.Get("content-length"); text != "" {
		length, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return &ResponseError{Reason: "Content-Length is not a number", Value: text}
		}
		r.framing, r.remainingBytes = byLength, int(length)
	}
	if status := r.current.Status; status == http.StatusNoContent || status == http.StatusNotModified {
		r.framing, r.remainingBytes = byLength, 0
	}
	return nil
}

// readBody reads the bytes of the body that have arrived, and reports whether there were any.
func (r *ResponseReader) readBody() (grown bool, err error) {
	switch r.framing {
	case byChunks:
		return r.readChunks()
	case byLength:
		return r.readFixedLength(), nil
	}
	grown = len(r.buf) > 0
	r.current.Body = append(r.current.Body, r.buf...)
	r.buf = nil
	return grown, nil
}

func (r *ResponseReader) readFixedLength() (grown bool) {
	n := min(r.remainingBytes, len(r.buf))
	r.current.Body = append(r.current.Body, r.buf[:n]...)
	r.buf, r.remainingBytes = r.buf[n:], r.remainingBytes-n
	r.current.Done = r.remainingBytes == 0
	return n > 0
}

func (r *ResponseReader) readChunks() (grown bool, err error) {
	for {
		if r.remainingBytes == chunkLineNext {
			if ok, err := r.readChunkLine(); err != nil || !ok || r.current.Done {
				return grown, err
			}
		}
		if len(r.buf) < r.remainingBytes {
			return grown, nil
		}
		r.current.Body = append(r.current.Body, r.buf[:r.remainingBytes-len(crlf)]...)
		r.buf, r.remainingBytes, grown = r.buf[r.remainingBytes:], chunkLineNext, true
	}
}

// readChunkLine reads the line before a chunk, and with the last one the line that ends the body. It returns false when
// more bytes are needed.
func (r *ResponseReader) readChunkLine() (complete bool, err error) {
	end := bytes.Index(r.buf, crlf)
	if end < 0 {
		return false, nil
	}
	size, err := strconv.ParseUint(string(r.buf[:end]), 16, 31)
	if err != nil {
		return false, &ResponseError{Reason: "not the size of a chunk", Value: string(r.buf[:end])}
	}
	next := end + len(crlf)
	if size > 0 {
		r.buf, r.remainingBytes = r.buf[next:], int(size)+len(crlf)
		return true, nil
	}
	next += len(crlf)
	if len(r.buf) < next {
		return false, nil
	}
	r.buf, r.current.Done = r.buf[next:], true
	return true, nil
}
