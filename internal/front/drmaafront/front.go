// Package drmaafront translates between the DRMAA wire and the core on the scheduler's side: HTTP requests become inputs
// of the core, and the core's answers become responses. It must not open sockets, keep jobs or decide about them.
package drmaafront

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Prefix is the path under which all resources are.
const Prefix = "/drmaa2/v1"

// defaultQueue is the one queue: classes, not queues, determine how work is treated.
const defaultQueue = "default"

// Front is the interface of one scheduler between two of its restarts. It is read-only after New, so several goroutines
// may use it at once.
type Front struct {
	set         *settings.Scheduler
	incarnation string // marks the IDs of events since this start of the scheduler
}

// New makes the front of a scheduler that was started at a time.
func New(set *settings.Scheduler, startedAt scheduler.Time) *Front {
	return &Front{set: set, incarnation: strconv.FormatInt(int64(startedAt/time.Millisecond), 36)}
}

// Call is what a request asks for. Exactly one of Response and BuildInput is set.
type Call struct {
	// Response is the response to a request that needs no core.
	Response []byte
	// BuildInput makes the core's input with the numbers that the host gives it. Several goroutines may call it.
	BuildInput func(requestID, streamID uint64) scheduler.Input
	// EncodeAnswer makes the response from the core's answer to the input.
	EncodeAnswer func(*scheduler.Answer) []byte
	// Stream is true if events follow the response, unless the answer is an error.
	Stream bool
	// ResumeAfter is the position that the client of a stream has reached before; empty for a stream from the start.
	ResumeAfter string
	// CloseConnection is true if the connection is to be closed behind the response.
	CloseConnection bool
}
