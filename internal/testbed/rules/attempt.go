package rules

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// phase is the phase of an attempt as far as its scheduler was notified.
type phase int

const (
	inFlight       phase = iota // the offer was sent and has no reply
	notStarted                  // the task never ran
	outcomeUnknown              // the task may have run
	accepted                    // the node accepted the task
	ended                       // the task ended
	lost                        // the node was removed or stopped
)

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"in flight", "not started", "outcome unknown", "accepted", "ended", "lost"}[p]
}

// attempt is one offer of a task to a node.
type attempt struct {
	id, scheduler, node string
	key                 string // the idempotency key, or the job's identifier if there is none
	job, class, service string
	placementRequest    int32         // its number within the job
	connection          uint64        // the connection that the offer was sent on
	sentAt, validFor    time.Duration // of the offer
	sentAfter           time.Duration // the offer was sent between this time and sentAt
	readDelay           time.Duration // how late the recorder has read the offer, before it could deliver it
	phase               phase
	phaseSince          time.Duration
	stopped             bool // the scheduler requested that the node stop the task
}

// transition sets the phase of an attempt. The phases notStarted and ended are final. From lost, only a change to accepted is
// possible, since the node may still report the attempt. An unknown attempt is ignored.
func (c *checker) transition(id string, next phase) {
	a := c.attempts[id]
	if a == nil {
		return
	}
	if next == accepted && a.phase == accepted {
		c.activeSet(a.scheduler)[a] = true // a new incarnation of the scheduler learns of the attempt
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

// activeSet returns the set of a scheduler's attempts that are in flight or accepted.
func (c *checker) activeSet(scheduler string) map[*attempt]bool {
	set := c.activeAttempts[scheduler]
	if set == nil {
		set = map[*attempt]bool{}
		c.activeAttempts[scheduler] = set
	}
	return set
}

// expire sets the phase of an attempt to outcomeUnknown if its offer may have expired without a reply.
func (c *checker) expire(a *attempt) {
	if a.phase == inFlight && c.now >= a.expiresAfter()-c.limits.TimeTolerance {
		c.transition(a.id, outcomeUnknown)
	}
}

// expiresAfter returns the earliest time at which the offer of an attempt may expire.
func (a *attempt) expiresAfter() time.Duration { return a.sentAfter + a.validFor }

// connectionLost sets the phase of the attempts in flight on a closed connection to outcomeUnknown, since the node may have
// accepted them. Its scheduler may have been killed before.
func (c *checker) connectionLost(link *connection) {
	for _, a := range c.attempts {
		if a.connection == link.id && a.phase == inFlight {
			c.transition(a.id, outcomeUnknown)
		}
	}
}

// nodeFrameDelivered processes a frame of a node when it is delivered to the scheduler.
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

// welcomeDelivered processes the welcome, in which a node reports its attempts after a scheduler has connected. A long report
// has several frames.
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

// welcomeCompleted updates the attempts that are missing in a node's complete report, which the node therefore does not have.
// A missing attempt in flight or with an unknown outcome was never started, since the node discards unprocessed offers of
// earlier connections.
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
