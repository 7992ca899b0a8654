package ownerjson

import (
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
)

// Append appends the encoding of m to dst. It writes an empty object for Fields, and leaves out a negative Cause. For a
// description that is not valid UTF-8 and for a line longer than MaxLineBytes, it returns dst unchanged and a *ProtocolError.
// The error for a long line matches ErrTooLong.
func Append(dst []byte, m *Message) ([]byte, error) {
	start := len(dst)
	dst = append(dst, `{"type":"`...)
	dst = append(dst, m.Type...)
	dst = append(dst, `","id":"`...)
	dst = append(dst, m.ID...)
	dst = append(dst, `","fields":{}`...)
	if m.HasDescription {
		dst = append(dst, `,"sdp":`...)
		var err error
		if dst, err = jsontext.AppendQuote(dst, m.Description); err != nil {
			return dst[:start], &ProtocolError{Field: "/sdp", Value: truncate(m.Description),
				Reason: fmt.Sprintf("description of task %s must be valid UTF-8", m.ID), Err: err}
		}
	}
	if m.Cause >= 0 {
		dst = append(dst, `,"cause":`...)
		dst = strconv.AppendInt(dst, int64(m.Cause), 10)
	}
	dst = append(dst, "}\n"...)
	if size := len(dst) - start; size > MaxLineBytes {
		return dst[:start], lineTooLong(dst[start:], size)
	}
	return dst, nil
}
