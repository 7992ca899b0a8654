package httpcodec

import (
	"fmt"
	"net/http"
	"strconv"
)

// ContinueResponse is the interim response to a request with ExpectsContinue. It must not be modified.
var ContinueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// StatusText returns the reason phrase of a status code.
func StatusText(status int) string { return http.StatusText(status) }

// AppendResponse appends a complete response to dst, with the field Connection: close if closeConnection is true. fields are
// alternating names and values of further header fields.
func AppendResponse(dst []byte, status int, contentType string, body []byte, closeConnection bool, fields ...string) []byte {
	dst = appendHead(dst, status, contentType, fields)
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if closeConnection {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// AppendStreamHead appends the head of a response with a chunked body to dst. fields are alternating names and values of further
// header fields.
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

// AppendChunk appends a chunk of a chunked body to dst. A chunk without data ends the body.
func AppendChunk(dst, data []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}
