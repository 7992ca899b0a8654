package platform

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/requests"
)

const (
	// acceptPeriod is how long new connections and requests are still accepted after SIGTERM: the protocol allows 0.4 s plus
	// 0.2 s, and half of that is added for a scheduler that shares its core.
	acceptPeriod = 900 * time.Millisecond
	// quietPeriod is how long no owner may have sent anything before the scheduler exits.
	quietPeriod = 50 * time.Millisecond
	// partialMessageDeadline is how long after SIGTERM the scheduler waits for the rest of a message: the platform sends
	// SIGKILL 3.7 s after SIGTERM at the earliest.
	partialMessageDeadline = 3200 * time.Millisecond
	// ownerCloseTimeout is how long the owners have to close their side of the connections after all responses are sent.
	ownerCloseTimeout = 250 * time.Millisecond
)

// gracefulShutdown decides when a scheduler that received SIGTERM stops listening, and when it exits. Requests that arrive
// until then are served: a request counts as received once its last byte is written to a connection that the operating
// system has accepted, even if the process has not. It belongs to the run loop.
type gracefulShutdown struct {
	requestedAt  requests.Time // 0: not requested
	lastReceived requests.Time // when an owner last sent something
	draining     bool          // the listener is being drained
}

// shutdownState holds the conditions that may delay the exit of a scheduler.
type shutdownState struct {
	idle            bool // no request is pending
	partialMessages bool // a message of an owner has arrived in part
	listening       bool // connections may wait in the listener's queue
}

// shutdownStep is the next step of a graceful shutdown.
type shutdownStep struct {
	drain   bool          // accept the connections in the listener's queue, then stop listening
	exit    bool          // the shutdown is complete
	recheck time.Duration // time until the next call of next, at the latest
}

// requested reports whether a shutdown was requested.
func (g *gracefulShutdown) requested() bool { return g.requestedAt > 0 }

// nextStep returns the step to take at now.
func (g *gracefulShutdown) nextStep(now requests.Time, blockers shutdownState) shutdownStep {
	elapsed := now - g.requestedAt
	quiet := now - max(g.lastReceived, g.requestedAt)
	switch {
	case elapsed < acceptPeriod:
		return shutdownStep{recheck: acceptPeriod - elapsed}
	case blockers.listening && !g.draining:
		g.draining = true
		return shutdownStep{drain: true, recheck: quietPeriod}
	case blockers.listening && elapsed < partialMessageDeadline: // a connection in the queue waits for a slot
		return shutdownStep{recheck: quietPeriod}
	case !blockers.idle || blockers.partialMessages && elapsed < partialMessageDeadline:
		return shutdownStep{recheck: quietPeriod}
	case quiet < quietPeriod:
		return shutdownStep{recheck: quietPeriod - quiet}
	}
	return shutdownStep{exit: true}
}
