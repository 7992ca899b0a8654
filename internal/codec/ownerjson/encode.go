package ownerjson

import (
	"fmt"
	"strconv"
	"unicode/utf8"

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

const (
	// maxEscapedBytes is the greatest number of bytes that a byte of a description takes in a line, as in \u0000.
	maxEscapedBytes = 6
	// maxBytesBesideDescription is more than a line takes beside its description.
	maxBytesBesideDescription = 256
)

// CheckDescription returns the error that Append returns for a message of the given type, without a cause, that has this
// description. A caller that has to pass a description on can reject it before it relies on it.
func CheckDescription(messageType Type, id, description string) error {
	if utf8.ValidString(description) && len(description)*maxEscapedBytes+maxBytesBesideDescription <= MaxLineBytes {
		return nil // the usual case, without a copy
	}
	_, err := Append(nil, &Message{Type: messageType, ID: id, Cause: NoCause, Description: description, HasDescription: true})
	return err
}
