package httpcodec

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Response is the part of a response that a ResponseReader has read so far.
type Response struct {
	Status int
	Fields []Field
	Body   []byte // grows until Done is set
	Done   bool   // the response is complete
}

// Get returns the value of the first header field with the given lower-case name, or an empty string if there is none.
func (r *Response) Get(name string) string { return fieldValue(r.Fields, name) }

// ResponseError reports a response that violates the protocol. Later responses on the connection can't be read.
type ResponseError struct {
	Reason string // which part of the response is invalid
	Value  string // the invalid text
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

// bodyFraming says what determines the end of a response's body.
type bodyFraming int

const (
	untilClose bodyFraming = iota // the body ends with the connection
	byLength                      // the body has the length that Content-Length states
	byChunks                      // the body is chunked
)

// The range of status codes that are accepted.
const (
	minStatus = 100
	maxStatus = 999
)

// chunkLineNext is the value of ResponseReader.remainingBytes before the size line of a chunk.
const chunkLineNext = -1

// ResponseReader reads the responses of one connection from bytes that arrive in pieces of any size. Its zero value is ready to
// use. It is not safe for concurrent use.
type ResponseReader struct {
	buf            []byte    // bytes that have arrived and were not read yet
	current        *Response // nil before the head of a response has been read
	framing        bodyFraming
	remainingBytes int // of the body, or of the chunk with its line end; chunkLineNext before a chunk
}

// Feed reads the next bytes and calls each for a response whenever its body has grown and when it is complete. It skips
// interim responses. The error is a *ResponseError.
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

// parseHead parses the head of a response, without the empty line at its end. It leaves current nil for an interim response.
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
			return &ResponseError{Reason: "invalid header field", Value: line, Err: err}
		}
		r.current.Fields = append(r.current.Fields, field)
	}
	return r.parseFraming()
}

func parseStatusLine(line string) (status int, err error) {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return 0, &ResponseError{Reason: "invalid status line", Value: line}
	}
	status, err = strconv.Atoi(parts[1])
	if err != nil || status < minStatus || status > maxStatus {
		return 0, &ResponseError{Reason: fmt.Sprintf("status code not between %d and %d", minStatus, maxStatus), Value: parts[1]}
	}
	return status, nil
}

// parseFraming determines from the header fields and the status how the body ends.
func (r *ResponseReader) parseFraming() error {
	r.framing, r.remainingBytes = untilClose, 0
	if r.current.Get("transfer-encoding") == "chunked" {
		r.framing, r.remainingBytes = byChunks, chunkLineNext
	} else if text := r.current.Get("content-length"); text != "" {
		length, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return &ResponseError{Reason: "invalid Content-Length", Value: text}
		}
		r.framing, r.remainingBytes = byLength, int(length)
	}
	if status := r.current.Status; status == http.StatusNoContent || status == http.StatusNotModified {
		r.framing, r.remainingBytes = byLength, 0
	}
	return nil
}

// readBody reads the part of the body that has arrived, and reports whether the body has grown.
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

// readChunkLine reads the size line of a chunk and, for the last chunk, the empty line that ends the body. It returns false when
// more bytes are needed. Chunk extensions and trailer fields are not supported.
func (r *ResponseReader) readChunkLine() (complete bool, err error) {
	end := bytes.Index(r.buf, crlf)
	if end < 0 {
		return false, nil
	}
	size, err := strconv.ParseUint(string(r.buf[:end]), 16, 31)
	if err != nil {
		return false, &ResponseError{Reason: "invalid chunk size", Value: string(r.buf[:end])}
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
