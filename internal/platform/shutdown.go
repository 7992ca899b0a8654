package platform

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/requests"
)

const (
	// acceptPeriod is how long the scheduler accepts connections after SIGTERM before it drains the listener. The protocol allows
	// owners 0.4 s plus 0.2 s, and half of that is added for a scheduler that shares its CPU core.
	acceptPeriod = 900 * time.Millisecond
	// quietPeriod is the time without data from any owner after which the scheduler may exit.
	quietPeriod = 50 * time.Millisecond
	// partialMessageDeadline is how long after SIGTERM the scheduler still waits for the rest of a partially received message
	// and for connections in the listener's queue. The platform sends SIGKILL no earlier than 3.7 s after SIGTERM.
	partialMessageDeadline = 3200 * time.Millisecond
	// ownerCloseTimeout is how long the scheduler waits, after all responses are sent, for owners to close their side of the
	// connections.
	ownerCloseTimeout = 250 * time.Millisecond
)

// gracefulShutdown decides when a scheduler that received SIGTERM stops listening, and when it exits. Requests that arrive
// before the exit are served. A request has arrived once its last byte is written to a connection that the operating system has
// accepted, even if it still waits in the listener's queue. gracefulShutdown is used by the run loop only.
type gracefulShutdown struct {
	requestedAt  requests.Time // 0: not requested
	lastReceived requests.Time // when an owner last connected or sent data
	socketsRead  requests.Time // by then, what owners had sent was read for certain; see runLoop.readSockets
	draining     bool          // the listener is being drained
}

// shutdownState holds the conditions that determine whether a scheduler may exit.
type shutdownState struct {
	idle            bool // no request is pending and no message is queued for the run loop
	partialMessages bool // a message from an owner was received only in part
	unreadSockets   bool // the event loop may not have read yet what owners have sent
	listening       bool // the listener is open, and connections may wait in its queue
}

// shutdownStep is the next step of a graceful shutdown.
type shutdownStep struct {
	drain   bool          // accept the connections in the listener's queue, then stop listening
	read    bool          // have the event loop read the owners' sockets
	exit    bool          // the shutdown is complete
	recheck time.Duration // maximum time until nextStep is to be called again
}

func (g *gracefulShutdown) requested() bool { return g.requestedAt > 0 }

// nextStep returns the step to perform at now.
func (g *gracefulShutdown) nextStep(now requests.Time, state shutdownState) shutdownStep {
	elapsed := now - g.requestedAt
	quiet := now - max(g.lastReceived, g.requestedAt)
	switch {
	case elapsed < acceptPeriod:
		return shutdownStep{recheck: acceptPeriod - elapsed}
	case state.listening && !g.draining:
		g.draining = true
		return shutdownStep{drain: true, recheck: quietPeriod}
	case state.listening && elapsed < partialMessageDeadline: // a connection in the queue waits for a slot
		return shutdownStep{recheck: quietPeriod}
	case !state.idle || state.partialMessages && elapsed < partialMessageDeadline:
		return shutdownStep{recheck: quietPeriod}
	case quiet < quietPeriod:
		return shutdownStep{recheck: quietPeriod - quiet}
	case state.unreadSockets && elapsed < partialMessageDeadline:
		return shutdownStep{read: true, recheck: quietPeriod}
	}
	return shutdownStep{exit: true}
}

// hasReadSockets reports whether the event loop has read the owners' sockets at the end of a quiet period.
func (g *gracefulShutdown) hasReadSockets() bool {
	return g.socketsRead >= max(g.lastReceived, g.requestedAt)+quietPeriod
}
