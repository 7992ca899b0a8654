package nodebinary

import (
	"errors"
	"fmt"
)

// ErrMalformed is matched by every error about a message that violates the protocol. The connection can't be used after it.
var ErrMalformed = errors.New("malformed message")

// ErrTooLong is matched by the error for an outgoing message longer than MaxMessageBytes.
var ErrTooLong = errors.New("message over the limit")

// ProtocolError reports a message that violates the protocol. It matches ErrMalformed.
type ProtocolError struct {
	Type   Type   // of the message; 0 if it is not known
	Offset int    // of the invalid part, from the first byte of the message
	Field  string // for instance length, or parameter 194
	Value  string // the offending value
	Reason string // what the protocol requires
}

func (e *ProtocolError) Error() string {
	message := "message"
	if e.Type != 0 {
		message = e.Type.String()
	}
	return fmt.Sprintf("nodebinary: %s, byte %d: %s: %s: %s", message, e.Offset, e.Field, e.Value, e.Reason)
}

// Unwrap returns ErrMalformed.
func (e *ProtocolError) Unwrap() error { return ErrMalformed }

// SizeError reports an outgoing message that is longer than Limit. It matches ErrTooLong.
type SizeError struct {
	Type         Type
	Bytes, Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("nodebinary: %s of %d bytes, %d at most", e.Type, e.Bytes, e.Limit)
}

// Unwrap returns ErrTooLong.
func (e *SizeError) Unwrap() error { return ErrTooLong }
