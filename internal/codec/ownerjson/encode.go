package ownerjson

import (
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
)

// Append encodes a message without fields at the end of dst; a negative Cause is left out. On an error dst comes back as
// it was: for a description that no JSON string can hold (a ProtocolError), and for a line over MaxLine (ErrTooLong).
func Append(dst []byte, m *Message) ([]byte, error) {
	start := len(dst)
	dst = append(dst, `{"type":"`...)
	dst = append(dst, m.Type...)
	dst = append(dst, `","id":"`...)
	dst = append(dst, m.ID...)
	dst = append(dst, `","fields":{}`...)
	if m.Described {
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
	if size := len(dst) - start; size > MaxLine {
		return dst[:start], lineTooLong(dst[start:], size)
	}
	return dst, nil
}
