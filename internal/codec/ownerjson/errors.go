package ownerjson

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// ErrTooLong is matched by the error about an incoming or outgoing line longer than MaxLineBytes.
var ErrTooLong = errors.New("line too long")

// maxErrorValueBytes is the number of bytes to which ProtocolError.Value is truncated.
const maxErrorValueBytes = 40

// ProtocolError reports a line that violates the protocol. Field is empty if the line as a whole is invalid.
type ProtocolError struct {
	Field  string // JSON pointer to the invalid field within the line, for instance /id
	Offset int64  // position of the invalid part within the line, in bytes; 0 if only Field is known
	Value  string // the invalid text, truncated to maxErrorValueBytes
	Reason string // what the protocol requires
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

// invalidField returns the error for an invalid value of a field.
func invalidField(field, value, reason string) error {
	return &ProtocolError{Field: field, Value: truncate(value), Reason: reason}
}

// lineTooLong returns the error for a line of at least size bytes.
func lineTooLong(line []byte, size int) error {
	return &ProtocolError{Offset: MaxLineBytes, Value: truncate(string(line[:min(len(line), maxErrorValueBytes)])),
		Reason: fmt.Sprintf("at least %d bytes, limit %d", size, MaxLineBytes), Err: ErrTooLong}
}

// invalidJSON returns the error for a line that the JSON decoder has rejected, with the field and offset that it reports.
func invalidJSON(line []byte, cause error) error {
	e := &ProtocolError{Value: truncate(string(line)), Reason: "must be a JSON object that holds a message", Err: cause}
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

func truncate(text string) string { return text[:min(len(text), maxErrorValueBytes)] }
