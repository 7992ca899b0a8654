package drmaafront

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
)

const (
	maxQuotedBytes  = 100         // length of a client's text in an error message
	busyRetryAfter  = time.Second // when the scheduler's queues are full
	jsonContentType = "application/json"
)

// ErrorResponse returns the response with an error. closeConnection reports whether the connection is closed after it. A time
// after which to retry is sent in whole seconds, rounded up, and in a field of its own in milliseconds.
func ErrorResponse(status int, err *drmaa2.Error, closeConnection bool) []byte {
	var fields []string
	if err.RetryAfter > 0 {
		seconds := int(math.Ceil(err.RetryAfter.Seconds()))
		milliseconds := max(err.RetryAfter.Milliseconds(), 1)
		fields = []string{"Retry-After", strconv.Itoa(seconds),
			"Flaxshelf-Retry-After-Ms", strconv.FormatInt(milliseconds, 10)}
	}
	body, _ := json.Marshal(err) // cannot fail: the fields are strings and a duration
	return httpcodec.AppendResponse(nil, status, jsonContentType, append(body, '\n'), closeConnection, fields...)
}

// BusyResponse returns the response of a scheduler whose queues are full. closeConnection is as for ErrorResponse.
func BusyResponse(closeConnection bool) []byte {
	return ErrorResponse(http.StatusServiceUnavailable, &drmaa2.Error{Code: drmaa2.TryLater,
		Message: "too many requests wait", RetryAfter: busyRetryAfter}, closeConnection)
}

// httpStatus returns the HTTP status of a response with the error code.
func httpStatus(code drmaa2.ErrorCode) int {
	switch code {
	case drmaa2.InvalidArgument:
		return http.StatusBadRequest
	case drmaa2.UnsupportedAttribute:
		return http.StatusUnprocessableEntity
	case drmaa2.InvalidState:
		return http.StatusConflict
	case drmaa2.InvalidSession:
		return http.StatusNotFound
	case drmaa2.DeniedByDrms:
		return http.StatusForbidden
	case drmaa2.TryLater:
		return http.StatusServiceUnavailable
	case drmaa2.OutOfResource:
		return http.StatusInsufficientStorage
	case drmaa2.UnsupportedOperation:
		return http.StatusNotImplemented
	default:
		return http.StatusInternalServerError
	}
}

// invalidArgument returns the error for an invalid value of an attribute, or for the whole request if attribute is empty.
func invalidArgument(attribute, message string) *drmaa2.Error {
	if attribute != "" {
		message = attribute + ": " + message
	}
	return &drmaa2.Error{Code: drmaa2.InvalidArgument, Attribute: attribute, Message: message}
}

// unsupportedAttribute returns the error for an attribute that is not supported.
func unsupportedAttribute(attribute, message string) *drmaa2.Error {
	return &drmaa2.Error{Code: drmaa2.UnsupportedAttribute, Attribute: attribute, Message: attribute + ": " + message}
}

// truncate limits a client's text to maxQuotedBytes for an error message.
func truncate(text string) string {
	if len(text) > maxQuotedBytes {
		return text[:maxQuotedBytes] + "..."
	}
	return text
}
