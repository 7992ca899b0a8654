package httpcodec

import (
	"bytes"
	"net/http"
	"strings"
)

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

const (
	// maxLeadingEmptyLines is the greatest number of empty lines that are skipped before a request.
	maxLeadingEmptyLines = 4
	// chunkedBody stands for the length of a chunked body, which the head does not state.
	chunkedBody = -1
	// incomplete stands for the end of a head or body whose end has not arrived yet.
	incomplete = -1
)

// Parser parses the requests of one connection. Each call of Parse must be given the bytes that earlier calls have not used,
// followed by those that have arrived since. Its zero value is ready to use. It is not safe for concurrent use.
type Parser struct {
	Limits Limits

	scannedBytes int      // length of the buffer that was searched for the end of the head without success
	request      *Request // nil until the head has been parsed
	headBytes    int      // including empty lines before it
	bodyBytes    int      // length of the body, or chunkedBody
	chunks       chunkDecoder
	continueSent bool // Parse has returned sendContinue for the current request
}

// Parse parses one request and returns the number of bytes that it used. If req and err are nil, more bytes are needed.
// sendContinue is true once for a request whose client waits for 100 Continue before it sends the body. The error is a
// *RequestError.
func (p *Parser) Parse(in []byte) (req *Request, used int, sendContinue bool, err error) {
	if p.Limits == (Limits{}) {
		p.Limits = DefaultLimits
	}
	if p.request == nil {
		if complete, err := p.parseHead(in); err != nil || !complete {
			return nil, 0, false, err
		}
	}
	end, err := p.parseBody(in)
	if err != nil {
		return nil, 0, false, err
	}
	if end == incomplete {
		if p.request.ExpectsContinue && !p.continueSent {
			p.continueSent, sendContinue = true, true
		}
		return nil, 0, sendContinue, nil
	}
	req = p.request
	*p = Parser{Limits: p.Limits}
	return req, end, false, nil
}

// parseHead parses the request line and the header fields. It returns false when more bytes are needed.
func (p *Parser) parseHead(in []byte) (complete bool, err error) {
	begin, err := skipEmptyLines(in)
	if err != nil {
		return false, err
	}
	if p.headBytes = p.findHeadEnd(in, begin); p.headBytes == incomplete {
		return false, p.checkIncompleteHead(in)
	}
	if p.headBytes > p.Limits.HeadBytes {
		return false, headTooLong(p.Limits.HeadBytes)
	}
	lines := strings.Split(string(in[begin:p.headBytes-len(headEnd)]), "\r\n")
	request, err := parseRequestLine(lines[0], p.Limits.RequestLineBytes)
	if err != nil {
		return false, err
	}
	if err := p.parseFields(request, lines[1:]); err != nil {
		return false, err
	}
	if p.bodyBytes, err = parseFraming(request); err != nil {
		return false, err
	}
	if p.bodyBytes > p.Limits.BodyBytes {
		return false, reject(http.StatusRequestEntityTooLarge, "a body of %d bytes, %d at most", p.bodyBytes, p.Limits.BodyBytes)
	}
	p.request = request
	p.chunks = chunkDecoder{limits: p.Limits, bodyOffset: p.headBytes, offset: p.headBytes}
	return true, nil
}

// skipEmptyLines returns where the request begins after empty lines, which are ignored (RFC 9112 section 2.2).
func skipEmptyLines(in []byte) (begin int, err error) {
	for bytes.HasPrefix(in[begin:], crlf) {
		if begin += len(crlf); begin > maxLeadingEmptyLines*len(crlf) {
			return 0, reject(http.StatusBadRequest, "empty lines where a request should begin")
		}
	}
	return begin, nil
}

// findHeadEnd returns where the head ends, or incomplete. It skips the bytes that earlier calls have already searched.
func (p *Parser) findHeadEnd(in []byte, begin int) int {
	from := max(p.scannedBytes-len(headEnd)+1, begin)
	if from <= len(in) {
		if i := bytes.Index(in[from:], headEnd); i >= 0 {
			return from + i + len(headEnd)
		}
	}
	p.scannedBytes = len(in)
	return incomplete
}

// checkIncompleteHead rejects a head that already exceeds the limits, although its end has not arrived.
func (p *Parser) checkIncompleteHead(in []byte) error {
	switch {
	case len(in) > p.Limits.HeadBytes:
		return headTooLong(p.Limits.HeadBytes)
	case len(in) > p.Limits.RequestLineBytes && bytes.IndexByte(in, '\n') < 0:
		return reject(http.StatusRequestURITooLong, "the request line is over %d bytes", p.Limits.RequestLineBytes)
	}
	return nil
}

func headTooLong(limit int) error {
	return reject(http.StatusRequestHeaderFieldsTooLarge, "the head is over %d bytes", limit)
}

func (p *Parser) parseFields(request *Request, lines []string) error {
	if len(lines) > p.Limits.HeaderFields {
		return reject(http.StatusRequestHeaderFieldsTooLarge, "%d header fields, %d at most", len(lines), p.Limits.HeaderFields)
	}
	for _, line := range lines {
		field, err := parseField(line)
		if err != nil {
			return err
		}
		request.Fields = append(request.Fields, field)
	}
	return nil
}

// parseBody sets the body of the request and returns where the request ends, or incomplete.
func (p *Parser) parseBody(in []byte) (end int, err error) {
	if p.bodyBytes == chunkedBody {
		end, err = p.chunks.decode(in)
		if end != incomplete && err == nil {
			p.request.Body = p.chunks.body
		}
		return end, err
	}
	end = p.headBytes + p.bodyBytes
	if len(in) < end {
		return incomplete, nil
	}
	p.request.Body = in[p.headBytes:end]
	return end, nil
}
