package drmaa2

import (
	"context"
	"fmt"
	"time"
)

// ErrorCode names an exception of GFD.194 section 6.
type ErrorCode string

// Error codes. docs/drmaa.md lists when the scheduler returns each of them.
const (
	DeniedByDrms           ErrorCode = "DeniedByDrms"           // reserved for access control; not returned yet
	DrmCommunication       ErrorCode = "DrmCommunication"       // the scheduler can't be reached, or sent an invalid response
	TryLater               ErrorCode = "TryLater"               // the scheduler rejects the request for now; see Error.RetryAfter
	TimeoutCode            ErrorCode = "Timeout"                // a wait timed out; returned by the client itself
	Internal               ErrorCode = "Internal"               // a fault of the scheduler
	InvalidArgument        ErrorCode = "InvalidArgument"        // an invalid value, or an unknown job or session
	InvalidSession         ErrorCode = "InvalidSession"         // submission to or watch of a session that does not exist
	InvalidState           ErrorCode = "InvalidState"           // the job's state does not allow the operation
	OutOfResource          ErrorCode = "OutOfResource"          // too many sessions
	UnsupportedAttribute   ErrorCode = "UnsupportedAttribute"   // an attribute that the scheduler does not support
	UnsupportedOperation   ErrorCode = "UnsupportedOperation"   // an operation that the scheduler does not support
	ImplementationSpecific ErrorCode = "ImplementationSpecific" // not returned
)

// Errors to compare with errors.Is, which matches every *Error of the same code.
var (
	ErrDeniedByDrms         = &Error{Code: DeniedByDrms}
	ErrDrmCommunication     = &Error{Code: DrmCommunication}
	ErrTryLater             = &Error{Code: TryLater}
	ErrTimeout              = &Error{Code: TimeoutCode}
	ErrInternal             = &Error{Code: Internal}
	ErrInvalidArgument      = &Error{Code: InvalidArgument}
	ErrInvalidSession       = &Error{Code: InvalidSession}
	ErrInvalidState         = &Error{Code: InvalidState}
	ErrOutOfResource        = &Error{Code: OutOfResource}
	ErrUnsupportedAttribute = &Error{Code: UnsupportedAttribute}
	ErrUnsupportedOperation = &Error{Code: UnsupportedOperation}
)

// Error is the error of a call that failed. Use errors.As to get it, or errors.Is to compare its code with an Err variable.
type Error struct {
	Code       ErrorCode     `json:"code"`
	Message    string        `json:"message"`             // description for people, not for programs
	Attribute  string        `json:"attribute,omitempty"` // attribute of the template that caused the error; may be empty
	RetryAfter time.Duration `json:"-"`                   // for TryLater, the time to wait before a retry; zero if unknown
	Err        error         `json:"-"`                   // cause, for an error that the client itself returns
}

// Error returns the code and the message.
func (e *Error) Error() string {
	if e.Message == "" {
		return "drmaa2: " + string(e.Code)
	}
	return fmt.Sprintf("drmaa2: %s: %s", e.Code, e.Message)
}

// Is reports whether target is an *Error with the same code, for errors.Is.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// Unwrap returns the cause of an error of the client, or nil.
func (e *Error) Unwrap() error { return e.Err }

// communicationError returns the error of a request that got no complete response: ErrDrmCommunication, or the error of the
// context if that has ended.
func communicationError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &Error{Code: DrmCommunication, Message: err.Error(), Err: err}
}

// argumentError returns the error of a call from whose arguments no request can be built.
func argumentError(err error) error {
	return &Error{Code: InvalidArgument, Message: err.Error(), Err: err}
}

// unsupportedError returns the error of an operation that nodes do not support.
func unsupportedError(operation string) error {
	return &Error{Code: UnsupportedOperation, Message: operation + " is not supported: nodes can only start and stop jobs"}
}
