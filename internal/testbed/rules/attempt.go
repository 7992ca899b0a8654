package rules

import (
	"sort"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// phase is how far an attempt is, as far as its scheduler was notified.
type phase int

const (
	inFlight       phase = iota
	notStarted           // it never ran
	outcomeUnknown       // it may have run
	accepted             // the node has it
	ended
	lost // its node is gone
)

// String is the phase for test failures.
func (p phase) String() string {
	return [...]string{"in flight", "not started", "outcome unknown", "accepted", "ended", "lost"}[p]
}

// attempt is one offer of a task to a node.
type attempt struct {
	id, scheduler, node string
	key                 string // idempotency key; the job's identifier where it has none
	job, class, service string
	placementRequest    int32 // number of the job's placement request
	connection          uint64
	sentAt, validFor    time.Duration
	phase               phase
	phaseSince          time.Duration
	stopped             bool // requested by the scheduler
}

// transition moves an attempt on. An attempt that was not started or has ended stays so; a lost one may still turn out
// to be accepted.
func (c *checker) transition(id string, next phase) {
	a := c.attempts[id]
	if a == nil {
		return
	}
	if next == accepted && a.phase == accepted {
		c.active(a.scheduler)[a] = true // reported to a new incarnation of the scheduler
	}
	final := a.phase == ended || a.phase == notStarted || a.phase == lost && next != accepted
	if final || a.phase == next {
		return
	}
	a.phase, a.phaseSince = next, c.now
	if next == accepted {
		c.active(a.scheduler)[a] = true
	} else {
		delete(c.activeAttempts[a.scheduler], a)
	}
}

// active returns the set of a scheduler's attempts that are in flight or accepted.
func (c *checker) active(scheduler string) map[*attempt]bool {
	set := c.activeAttempts[scheduler]
	if set == nil {
		set = map[*attempt]bool{}
		c.activeAttempts[scheduler] = set
	}
	return set
}

// sortedActive lists a scheduler's active attempts in the order of their identifiers.
func (c *checker) sortedActive(scheduler string) []*attempt {
	attempts := make([]*attempt, 0, len(c.activeAttempts[scheduler]))
	for a := range c.activeAttempts[scheduler] {
		attempts = append(attempts, a)
	}
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].id < attempts[j].id })
	return attempts
}

// expire makes the outcome of an attempt unknown that had no reply while its offer was valid.
func (c *checker) expire(a *attempt) {
	if a.phase == inFlight && c.now >= a.sentAt+a.validFor-c.figures.Skew {
		c.transition(a.id, outcomeUnknown)
	}
}

// linkLost makes the outcome of the offers in flight on a connection unknown: the node may have accepted them.
func (c *checker) linkLost(link *connection) {
	for _, a := range c.sortedActive(link.dialer) {
		if a.connection == link.id && a.phase == inFlight {
			c.transition(a.id, outcomeUnknown)
		}
	}
}

var rejectionNames = map[nodepb.Reason]string{
	nodepb.Reason_UNTOLD:        "untold",
	nodepb.Reason_NO_CORES:      "no cores",
	nodepb.Reason_NO_MEMORY:     "no memory",
	nodepb.Reason_TOO_MANY_WAIT: "too many wait",
	nodepb.Reason_NOT_HERE:      "not here",
	nodepb.Reason_EVICTED:       "evicted",
	nodepb.Reason_PUSHED_OUT:    "pushed out",
	nodepb.Reason_SENT_AWAY:     "sent away",
}

// nodeFrameDelivered takes a node's frame as it reaches the scheduler.
func (c *checker) nodeFrameDelivered(link *connection, frame *nodepb.Frame) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Accepted:
		c.verdict.Replies["accepted"]++
		c.transition(body.Accepted.Attempt, accepted)
	case *nodepb.Frame_Started:
		c.transition(body.Started.Attempt, accepted)
	case *nodepb.Frame_Refused:
		c.verdict.Replies["refused: "+rejectionNames[body.Refused.Reason]]++
		c.transition(body.Refused.Attempt, notStarted)
	case *nodepb.Frame_Failed:
		c.verdict.Replies["failed"]++
		c.transition(body.Failed.Attempt, outcomeUnknown)
	case *nodepb.Frame_Ended:
		c.transition(body.Ended.Attempt, ended)
	case *nodepb.Frame_Welcome:
		c.welcomeDelivered(link, body.Welcome)
	}
}

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

// welcomeCompleted resolves the attempts that a node's complete welcome does not report. The node does not have them: it
// discards the offers of an earlier connection that it has not handled, so that an attempt of unknown outcome was never
// started.
func (c *checker) welcomeCompleted(link *connection) {
	for _, a := range c.attempts {
		elsewhere := a.scheduler != link.dialer || a.node != link.listener
		if elsewhere || link.reportedAttempts[a.id] || a.sentAt > link.openedAt {
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
