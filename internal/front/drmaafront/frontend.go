// Package drmaafront translates between DRMAA over HTTP and the scheduler's core: HTTP requests become inputs of the core, and
// the core's answers become responses. It does no I/O, stores no jobs and makes no scheduling decisions.
package drmaafront

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// PathPrefix is the prefix of the paths of all resources.
const PathPrefix = "/drmaa2/v1"

// defaultQueue is the name of the only queue. The class of a job, not its queue, determines how it is treated.
const defaultQueue = "default"

// Frontend decodes the DRMAA requests to one incarnation of a scheduler, and encodes its responses and events. It is safe for
// concurrent use.
type Frontend struct {
	settings      *settings.Scheduler
	incarnationID string // start time in milliseconds, in base 36; prefix of event IDs
}

// New returns the Frontend of a scheduler that was started at the given time.
func New(config *settings.Scheduler, startedAt scheduler.Time) *Frontend {
	return &Frontend{settings: config, incarnationID: strconv.FormatInt(int64(startedAt/time.Millisecond), 36)}
}

// Call is a decoded request. It has either a Response, or a BuildInput and an EncodeAnswer.
type Call struct {
	// Response is the response to a request that is answered without the core.
	Response []byte
	// BuildInput returns the core's input for the request, with the given IDs. It is safe for concurrent use.
	BuildInput func(requestID, streamID uint64) scheduler.Input
	// EncodeAnswer returns the response for the core's answer to the input.
	EncodeAnswer func(*scheduler.Answer) []byte
	// Stream reports whether the request is for an event stream. If it is and the core's answer is not an error, events follow
	// the response.
	Stream bool
	// ResumeAfter is the position of the last event that the client of a stream has received. It is empty if the client has
	// received no event of this incarnation.
	ResumeAfter string
	// CloseConnection reports whether the connection is closed after the response.
	CloseConnection bool
}
