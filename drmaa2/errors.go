package drmaa2

import (
	"context"
	"fmt"
	"time"
)

// ErrorCode names an exception of GFD.194 section 6.
type ErrorCode string

// The exceptions. docs/drmaa.md lists when the scheduler raises each.
const (
	DeniedByDrms           ErrorCode = "DeniedByDrms"           // reserved for access control; not raised yet
	DrmCommunication       ErrorCode = "DrmCommunication"       // the scheduler can't be reached, or sent an invalid response
	TryLater               ErrorCode = "TryLater"               // temporarily rejected; see Error.RetryAfter
	TimeoutCode            ErrorCode = "Timeout"                // a wait timed out; raised by the client
	Internal               ErrorCode = "Internal"               // a fault of the scheduler
	InvalidArgument        ErrorCode = "InvalidArgument"        // invalid value, or unknown job or session
	InvalidSession         ErrorCode = "InvalidSession"         // a submission to, or a watch of, a session that does not exist
	InvalidState           ErrorCode = "InvalidState"           // the job's state does not allow the operation
	OutOfResource          ErrorCode = "OutOfResource"          // too many sessions
	UnsupportedAttribute   ErrorCode = "UnsupportedAttribute"   // an attribute that the scheduler does not act on
	UnsupportedOperation   ErrorCode = "UnsupportedOperation"   // an operation that the scheduler does not have
	ImplementationSpecific ErrorCode = "ImplementationSpecific" // not raised
)

// Values to match errors by code with errors.Is.
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

// Error reports a call that failed. Use errors.As to get it, or errors.Is to match its code with an Err value.
type Error struct {
	Code       ErrorCode     `json:"code"`
	Message    string        `json:"message"`             // for people
	Attribute  string        `json:"attribute,omitempty"` // of the template, if it is the reason
	RetryAfter time.Duration `json:"-"`                   // with TryLater: time to wait before a retry; zero if unknown
	Err        error         `json:"-"`                   // cause, if the client raised the error
}

// Error returns the code and the message.
func (e *Error) Error() string {
	if e.Message == "" {
		return "drmaa2: " + string(e.Code)
	}
	return fmt.Sprintf("drmaa2: %s: %s", e.Code, e.Message)
}

// Is reports whether target is an *Error of the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// communicationError returns the error of a request without a complete response, or the context's error if that has ended.
func communicationError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &Error{Code: DrmCommunication, Message: err.Error(), Err: err}
}

// argumentError returns the error of arguments that no request can be made of.
func argumentError(err error) error {
	return &Error{Code: InvalidArgument, Message: err.Error(), Err: err}
}

func unsupportedError(operation string) error {
	return &Error{Code: UnsupportedOperation, Message: operation + " is not supported: nodes run a job or stop it"}
}
