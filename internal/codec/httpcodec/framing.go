package httpcodec

import (
	"net/http"
	"strconv"
	"strings"
)

// framing is what the header fields say about the end of a request. A request whose end is ambiguous is rejected, since it
// allows request smuggling (RFC 9112 section 11.2).
type framing struct {
	request          *Request
	contentLength    int
	hasContentLength bool
	chunked          bool
	hostFields       int // number of Host fields
}

// parseFraming returns the length of the request's body in bytes, or chunkedBody. It also sets the request's Close and
// ExpectsContinue.
func parseFraming(request *Request) (bodyBytes int, err error) {
	f := framing{request: request}
	for i := range request.Fields {
		if err := f.apply(&request.Fields[i]); err != nil {
			return 0, err
		}
	}
	switch {
	case request.MinorVersion > 0 && f.hostFields != 1:
		return 0, reject(http.StatusBadRequest, "one Host field is needed")
	case f.chunked && (f.hasContentLength || request.MinorVersion == 0):
		return 0, reject(http.StatusBadRequest, "Transfer-Encoding where it may not be")
	case f.chunked:
		return chunkedBody, nil
	}
	return f.contentLength, nil
}

func (f *framing) apply(field *Field) error {
	switch field.Name {
	case "host":
		f.hostFields++
	case "content-length":
		return f.applyContentLength(field.Value)
	case "transfer-encoding":
		return f.applyTransferEncoding(field.Value)
	case "connection":
		f.applyConnection(field.Value)
	case "expect":
		return f.applyExpect(field.Value)
	}
	return nil
}

func (f *framing) applyContentLength(value string) error {
	length, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return reject(http.StatusBadRequest, "Content-Length is not a number")
	}
	if f.hasContentLength && f.contentLength != int(length) {
		return reject(http.StatusBadRequest, "two Content-Lengths")
	}
	f.contentLength, f.hasContentLength = int(length), true
	return nil
}

func (f *framing) applyTransferEncoding(value string) error {
	if f.chunked || !strings.EqualFold(value, "chunked") {
		return reject(http.StatusNotImplemented, "of the transfer encodings only chunked is taken")
	}
	f.chunked = true
	return nil
}

func (f *framing) applyConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			f.request.Close = true
		case "keep-alive":
			f.request.Close = f.request.Close && f.request.MinorVersion > 0
		}
	}
}

func (f *framing) applyExpect(value string) error {
	if !strings.EqualFold(value, "100-continue") {
		return reject(http.StatusExpectationFailed, "of the expectations only 100-continue is met")
	}
	f.request.ExpectsContinue = f.request.MinorVersion > 0
	return nil
}
