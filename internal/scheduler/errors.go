package scheduler

import (
	"fmt"
	"time"
)

// ErrorCode is the name of an error of DRMAA version 2; see section 5 of GFD.194.
type ErrorCode string

// The error codes that a Core uses.
const (
	InvalidArgument ErrorCode = "InvalidArgument"
	InvalidState    ErrorCode = "InvalidState"
	InvalidSession  ErrorCode = "InvalidSession"
	TryLater        ErrorCode = "TryLater"
	DeniedByDrms    ErrorCode = "DeniedByDrms"
	OutOfResource   ErrorCode = "OutOfResource"
)

// Error is the rejection of a client's request.
type Error struct {
	Code       ErrorCode
	Message    string
	RetryAfter time.Duration // zero means that a retry is not expected to succeed
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

func newError(code ErrorCode, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}
