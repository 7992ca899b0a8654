package ownerjson

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// ErrTooLong is matched by the error for a line over MaxLine, read or written.
var ErrTooLong = errors.New("line over the limit")

// maxQuoted bounds how much of an offending value is kept in an error, in bytes.
const maxQuoted = 40

// ProtocolError is a line that breaks the protocol. Field is empty where the line as a whole is at fault.
type ProtocolError struct {
	Field  string // JSON pointer of the field within the line, for instance /id
	Offset int64  // of the fault within the line, in bytes; 0 where Field says enough
	Value  string // the offending text, cut to 40 bytes
	Reason string // what the protocol demands instead
	Err    error  // the cause, or nil
}

func (e *ProtocolError) Error() string {
	where := "line"
	if e.Field != "" {
		where = "field " + e.Field
	}
	if e.Offset > 0 {
		where = fmt.Sprintf("%s, byte %d", where, e.Offset)
	}
	text := fmt.Sprintf("ownerjson: %s: %q: %s", where, e.Value, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Err }

// invalidField is the error for the value of a field that the protocol doesn't allow.
func invalidField(field, value, reason string) error {
	return &ProtocolError{Field: field, Value: truncate(value), Reason: reason}
}

// lineTooLong is the error for a line of at least the given number of bytes.
func lineTooLong(line []byte, size int) error {
	return &ProtocolError{Offset: MaxLine, Value: truncate(string(line[:min(len(line), maxQuoted)])),
		Reason: fmt.Sprintf("%d bytes or more, %d at most", size, MaxLine), Err: ErrTooLong}
}

// invalidJSON is the error for a line that the JSON decoder rejected, with the place that the decoder reports.
func invalidJSON(line []byte, cause error) error {
	e := &ProtocolError{Value: truncate(string(line)), Reason: "not a message as a JSON object", Err: cause}
	var syntactic *jsontext.SyntacticError
	var semantic *json.SemanticError
	switch {
	case errors.As(cause, &syntactic):
		e.Field, e.Offset = string(syntactic.JSONPointer), syntactic.ByteOffset
	case errors.As(cause, &semantic):
		e.Field, e.Offset = string(semantic.JSONPointer), semantic.ByteOffset
	}
	return e
}

func truncate(text string) string { return text[:min(len(text), maxQuoted)] }
