package nodebinary

import (
	"errors"
	"fmt"
)

// ErrMalformed is matched by each error about a message that violates the protocol. The connection must be closed after it.
var ErrMalformed = errors.New("malformed message")

// ErrTooLong is matched by the error about an outgoing message longer than MaxMessageBytes.
var ErrTooLong = errors.New("message too long")

// ProtocolError reports a message that violates the protocol. It matches ErrMalformed.
type ProtocolError struct {
	Type   Type   // type of the message; 0 if unknown
	Offset int    // position of the invalid part within the message, in bytes
	Field  string // the invalid part, for instance "length" or "parameter 194"
	Value  string // the invalid value
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

// SizeError reports an outgoing message that is longer than MaxMessageBytes. It matches ErrTooLong.
type SizeError struct {
	Type         Type
	Bytes, Limit int // length of the message, and MaxMessageBytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("nodebinary: message %s has %d bytes, limit %d", e.Type, e.Bytes, e.Limit)
}

// Unwrap returns ErrTooLong.
func (e *SizeError) Unwrap() error { return ErrTooLong }
