package rules

import (
	"maps"
	"slices"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// phase is the phase of an attempt that its scheduler was notified of.
type phase int

const (
	inFlight       phase = iota
	notStarted           // the task never ran
	outcomeUnknown       // the task may have run
	accepted             // by the node
	ended
	lost // the node was removed or stopped
)

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"in flight", "not started", "outcome unknown", "accepted", "ended", "lost"}[p]
}

// attempt is one offer of a task to a node.
type attempt struct {
	id, scheduler, node string
	key                 string // idempotency key, or else the identifier of the job
	job, class, service string
	placementRequest    int32 // number of the placement request of the job
	connection          uint64
	sentAt, validFor    time.Duration
	phase               phase
	phaseSince          time.Duration
	stopped             bool // the scheduler has requested a stop
}

// transition sets the phase of an attempt. The phases notStarted and ended are final; a lost attempt may still be reported
// as accepted. An unknown attempt is ignored.
func (c *checker) transition(id string, next phase) {
	a := c.attempts[id]
	if a == nil {
		return
	}
	if next == accepted && a.phase == accepted {
		c.activeSet(a.scheduler)[a] = true // reported to a new incarnation of the scheduler
	}
	final := a.phase == ended || a.phase == notStarted || a.phase == lost && next != accepted
	if final || a.phase == next {
		return
	}
	a.phase, a.phaseSince = next, c.now
	if next == accepted {
		c.activeSet(a.scheduler)[a] = true
	} else {
		delete(c.activeAttempts[a.scheduler], a)
	}
}

// active returns the set of the attempts of a scheduler that are in flight or accepted.
func (c *checker) activeSet(scheduler string) map[*attempt]bool {
	set := c.activeAttempts[scheduler]
	if set == nil {
		set = map[*attempt]bool{}
		c.activeAttempts[scheduler] = set
	}
	return set
}

// sortedActive returns the active attempts of a scheduler in the order of their identifiers.
func (c *checker) sortedActive(scheduler string) []*attempt {
	byID := func(a, b *attempt) int { return strings.Compare(a.id, b.id) }
	return slices.SortedFunc(maps.Keys(c.activeAttempts[scheduler]), byID)
}

// expire sets the phase of an attempt to outcomeUnknown if it had no reply while its offer was valid.
func (c *checker) expire(a *attempt) {
	if a.phase == inFlight && c.now >= a.sentAt+a.validFor-c.limits.TimeTolerance {
		c.transition(a.id, outcomeUnknown)
	}
}

// linkLost sets the phase of the attempts in flight on a connection to outcomeUnknown: the node may have accepted them.
func (c *checker) connectionLost(link *connection) {
	for _, a := range c.sortedActive(link.dialer) {
		if a.connection == link.id && a.phase == inFlight {
			c.transition(a.id, outcomeUnknown)
		}
	}
}

// nodeFrameDelivered handles a frame of a node when it reaches the scheduler.
func (c *checker) nodeFrameDelivered(link *connection, frame *nodepb.Frame) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Accepted:
		c.replyDelivered(body.Accepted.Attempt, replyAccepted, accepted)
	case *nodepb.Frame_Started:
		c.transition(body.Started.Attempt, accepted)
	case *nodepb.Frame_Refused:
		c.replyDelivered(body.Refused.Attempt, replyRejected+rejectionReasons[body.Refused.Reason], notStarted)
	case *nodepb.Frame_Failed:
		c.replyDelivered(body.Failed.Attempt, replyFailed, outcomeUnknown)
	case *nodepb.Frame_Ended:
		c.transition(body.Ended.Attempt, ended)
	case *nodepb.Frame_Welcome:
		c.welcomeDelivered(link, body.Welcome)
	}
}

// replyDelivered counts a reply to an offer and sets the phase of the attempt.
func (c *checker) replyDelivered(id, reply string, next phase) {
	c.verdict.Replies[reply]++
	c.transition(id, next)
}

// welcomeDelivered handles a node's report of its attempts after a connect; a long report has several frames.
func (c *checker) welcomeDelivered(link *connection, welcome *nodepb.Welcome) {
	for _, task := range welcome.Held {
		link.reportedAttempts[task.Attempt] = true
		c.transition(task.Attempt, accepted)
	}
	for _, task := range welcome.Ended {
		c.transition(task.Attempt, ended)
	}
	if welcome.Fresh {
		view := c.view(link.dialer, link.listener)
		view.reportedStart = max(view.reportedStart, welcome.StartedUnixNs)
	}
	if !welcome.More {
		c.welcomeCompleted(link)
	}
}

// welcomeCompleted resolves the attempts that are missing in a node's complete report. The node does not have them; and since
// it discards the unhandled offers of earlier connections, an attempt whose outcome is unknown was never started.
func (c *checker) welcomeCompleted(link *connection) {
	for _, a := range c.attempts {
		otherParties := a.scheduler != link.dialer || a.node != link.listener
		if otherParties || link.reportedAttempts[a.id] || a.sentAt > link.openedAt {
			continue
		}
		switch a.phase {
		case accepted:
			c.transition(a.id, lost)
		case inFlight, outcomeUnknown:
			c.transition(a.id, notStarted)
		}
	}
}
