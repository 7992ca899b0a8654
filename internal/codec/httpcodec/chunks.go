package httpcodec

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	// maxChunkLine is the limit in bytes of an incomplete line: the size line before a chunk, or a trailer field.
	maxChunkLine = 1024
	// maxChunkedBodyFactor limits the encoded size of a chunked body, as a multiple of Limits.BodyBytes. Chunks of one byte
	// have several bytes of framing for each byte of data.
	maxChunkedBodyFactor = 8
)

// chunkDecoder decodes a chunked body (RFC 9112 section 7.1). Its offsets are relative to the start of the buffer that is passed
// to Parser.Parse.
type chunkDecoder struct {
	limits     Limits
	bodyOffset int // where the first chunk begins
	offset     int // where the next line begins
	inTrailer  bool
	body       []byte // the data of the chunks decoded so far
}

// decode decodes the chunks and trailer fields that are complete, and returns where the body ends, or incomplete.
func (d *chunkDecoder) decode(in []byte) (end int, err error) {
	for {
		line, next, err := d.nextLine(in)
		if err != nil || next == incomplete {
			return incomplete, err
		}
		if d.inTrailer {
			d.offset = next
			if done, err := d.checkTrailerField(line); err != nil || done {
				return d.offset, err
			}
			continue
		}
		if complete, err := d.decodeChunk(in, line, next); err != nil || !complete {
			return incomplete, err
		}
	}
}

// nextLine returns the line at the offset and where the next one begins, or incomplete.
func (d *chunkDecoder) nextLine(in []byte) (line string, next int, err error) {
	length := bytes.Index(in[d.offset:], crlf)
	if length >= 0 {
		end := d.offset + length
		return string(in[d.offset:end]), end + len(crlf), nil
	}
	if len(in)-d.offset > maxChunkLine {
		return "", incomplete, reject(http.StatusBadRequest, "a chunk's line is too long")
	}
	return "", incomplete, nil
}

// checkTrailerField checks a trailer field, which is then ignored. It returns true for the empty line after the last trailer
// field. It also rejects the field if the encoded body and the trailer before it exceed the limit of the head plus twice that
// of the body.
func (d *chunkDecoder) checkTrailerField(line string) (done bool, err error) {
	if line == "" {
		return true, nil
	}
	if _, err := parseField(line); err != nil || d.offset-d.bodyOffset > d.limits.HeadBytes+2*d.limits.BodyBytes {
		return false, reject(http.StatusBadRequest, "not a trailer field")
	}
	return false, nil
}

// decodeChunk decodes the chunk whose size line is line and whose data begins at offset begin. It returns false when more bytes
// are needed.
func (d *chunkDecoder) decodeChunk(in []byte, line string, begin int) (complete bool, err error) {
	sizeText, _, _ := strings.Cut(line, ";") // chunk extensions are ignored
	parsed, err := strconv.ParseUint(strings.TrimSpace(sizeText), 16, 31)
	if err != nil {
		return false, reject(http.StatusBadRequest, "not the size of a chunk")
	}
	size := int(parsed)
	if len(d.body)+size > d.limits.BodyBytes {
		return false, reject(http.StatusRequestEntityTooLarge, "a body over %d bytes", d.limits.BodyBytes)
	}
	if size == 0 {
		d.offset, d.inTrailer = begin, true
		return true, nil
	}
	end := begin + size
	if len(in) < end+len(crlf) {
		return false, nil
	}
	if !bytes.HasPrefix(in[end:], crlf) {
		return false, reject(http.StatusBadRequest, "a chunk is not as long as it says")
	}
	d.body = append(d.body, in[begin:end]...)
	d.offset = end + len(crlf)
	if d.offset-d.bodyOffset > maxChunkedBodyFactor*d.limits.BodyBytes+maxChunkLine {
		return false, reject(http.StatusRequestEntityTooLarge, "the chunks are too small")
	}
	return true, nil
}
