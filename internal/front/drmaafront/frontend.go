// Package drmaafront translates between DRMAA over HTTP and the scheduler's core: HTTP requests become inputs of the core, and
// the core's answers become responses. It does no I/O, keeps no jobs and makes no decision about them.
package drmaafront

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// PathPrefix is the path prefix of all resources.
const PathPrefix = "/drmaa2/v1"

// defaultQueue is the name of the only queue: classes, not queues, determine how jobs are treated.
const defaultQueue = "default"

// Frontend is the DRMAA interface of one incarnation of a scheduler. It is safe for concurrent use.
type Frontend struct {
	settings      *settings.Scheduler
	incarnationID string // prefix of the IDs of this incarnation's events
}

// New returns the front of a scheduler that was started at the given time.
func New(config *settings.Scheduler, startedAt scheduler.Time) *Frontend {
	return &Frontend{settings: config, incarnationID: strconv.FormatInt(int64(startedAt/time.Millisecond), 36)}
}

// Call is a decoded request. Exactly one of Response and BuildInput is set.
type Call struct {
	// Response is the response to a request that the core is not needed for.
	Response []byte
	// BuildInput returns the input of the core with the given IDs. It is safe for concurrent use.
	BuildInput func(requestID, streamID uint64) scheduler.Input
	// EncodeAnswer returns the response for the core's answer to the input.
	EncodeAnswer func(*scheduler.Answer) []byte
	// Stream reports whether events follow the response, unless the answer is an error.
	Stream bool
	// ResumeAfter is the position of the last event that the client of a stream has received; empty if there is none.
	ResumeAfter string
	// CloseConnection reports whether the connection is closed after the response.
	CloseConnection bool
}
