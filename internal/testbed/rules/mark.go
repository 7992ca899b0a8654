package rules

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
)

// pause is an interval in which a scheduler's process was suspended; to is 0 until it is resumed.
type pause struct{ pausedAt, resumedAt time.Duration }

// eventMarked handles an event of a party that no recorded bytes show.
func (c *checker) eventMarked(event recordproxy.Event, party string) {
	switch event {
	case recordproxy.EventSchedulerKilled:
		c.incarnations[party]++
		delete(c.views, party)
		delete(c.activeAttempts, party) // the next incarnation has what it places and what nodes report to it
	case recordproxy.EventNodeStopped:
		c.nodeStopped(party)
	case recordproxy.EventBytesDropped:
		c.bytesDropped = true
	case recordproxy.EventNodeOverloaded:
		c.verdict.OverloadedNodes++
	case recordproxy.EventSchedulerPaused:
		c.pauses[party] = append(c.pauses[party], pause{pausedAt: c.now})
	case recordproxy.EventSchedulerResumed:
		if pauses := c.pauses[party]; len(pauses) > 0 {
			pauses[len(pauses)-1].resumedAt = c.now
		}
	}
}

func (c *checker) nodeStopped(node string) {
	for key, accepted := range c.acceptedByNode {
		for id, attempt := range accepted {
			if attempt.node == node {
				delete(accepted, id)
			}
		}
		if len(accepted) == 0 {
			delete(c.acceptedByNode, key)
		}
	}
}

// never is a deadline that is never reached.
const noDeadline = time.Duration(1<<63 - 1)

// outcomeDeadline returns the time at which the outcome that is due at the given time must have been reported. While the
// process of the scheduler is suspended the deadline is extended to when it is resumed.
func (c *checker) outcomeDeadline(scheduler string, due time.Duration) time.Duration {
	slack := c.limits.AnswerSlack + c.limits.TimeTolerance
	deadline := due + slack
	for _, p := range c.pauses[scheduler] {
		if p.pausedAt > deadline {
			continue
		}
		switch {
		case p.resumedAt == 0:
			return noDeadline
		case p.resumedAt >= due:
			deadline = max(deadline, p.resumedAt+slack)
		}
	}
	return deadline
}
