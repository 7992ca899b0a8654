package platform

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/requests"
)

const (
	// taking is how long new connections and requests keep coming after SIGTERM: 0.4 s and 0.2 s more, by the protocol, and as
	// much again as half of it for a scheduler that shares its core.
	taking = 900 * time.Millisecond
	// hushed is how long owners have to have said nothing before the scheduler goes.
	hushed = 50 * time.Millisecond
	// halfUntil is how long after SIGTERM the rest of a message is waited for: the platform kills 3.7 s after it at the soonest.
	halfUntil = 3200 * time.Millisecond
	// parting is how long the owners have to close their side when all is answered.
	parting = 250 * time.Millisecond
)

// departure decides when a scheduler that was asked to leave stops listening, and when it goes. What comes until then is
// served: a request counts as taken once its last byte is written to a connection that the machine has accepted, though the
// process has not.
type departure struct {
	asked  requests.Time // 0: not asked
	heard  requests.Time // the last word of an owner
	drains bool          // listening is being ended
}

// openState is what still keeps a scheduler.
type openState struct {
	Idle    bool // nothing waits for an answer
	Half    bool // an owner's message has begun and is not whole
	Listens bool // the listener's queue may hold connections
}

// step is what to do now.
type step struct {
	drain bool // take what the listener's queue holds, and end listening
	gone  bool
	again time.Duration // when to look again at the latest
}

func (d *departure) next(now requests.Time, s openState) step {
	since := now - d.asked
	switch quiet := now - max(d.heard, d.asked); {
	case since < taking:
		return step{again: taking - since}
	case s.Listens && !d.drains:
		d.drains = true
		return step{drain: true, again: hushed}
	case s.Listens && since < halfUntil: // the next in its queue waits for a slot
		return step{again: hushed}
	case !s.Idle || s.Half && since < halfUntil:
		return step{again: hushed}
	case quiet < hushed:
		return step{again: hushed - quiet}
	}
	return step{gone: true}
}
