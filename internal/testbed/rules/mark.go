package rules

import (
	"cmp"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// pause is an interval in which a scheduler's process was suspended. resumedAt is zero while it is suspended.
type pause struct{ pausedAt, resumedAt time.Duration }

// eventMarked processes a marked event, which is one that the recorded bytes do not show.
func (c *checker) eventMarked(mark *recordingpb.Mark) {
	party := mark.Party
	switch recordproxy.EventOf(mark) {
	case recordproxy.EventSchedulerKilled:
		c.incarnations[party]++
		delete(c.views, party)
		delete(c.activeAttempts, party) // those of the next incarnation are what it offers and what nodes report to it
	case recordproxy.EventNodeStopped:
		c.nodeStopped(party)
	case recordproxy.EventBytesDropped:
		c.bytesDropped = true
	case recordproxy.EventNodeOverloaded:
		c.verdict.OverloadedNodes++
	case recordproxy.EventSchedulerPaused:
		c.pauses[party] = append(c.pauses[party], pause{pausedAt: c.now})
	case recordproxy.EventRecorderStalled:
		length := min(time.Duration(mark.DurationNs), maxReadDelay)
		c.stalls = append(c.stalls, pause{pausedAt: c.now, resumedAt: c.now + length})
	case recordproxy.EventSchedulerResumed:
		if pauses := c.pauses[party]; len(pauses) > 0 {
			pauses[len(pauses)-1].resumedAt = c.now
		}
	}
}

// nodeStopped removes the accepted attempts of a node that has stopped.
func (c *checker) nodeStopped(node string) {
	c.stoppedAt[node] = c.now
	for key, accepted := range c.acceptedByKey {
		for id, attempt := range accepted {
			if attempt.node == node {
				delete(accepted, id)
			}
		}
		if len(accepted) == 0 {
			delete(c.acceptedByKey, key)
		}
	}
}

// noDeadline is later than the time of any record.
const noDeadline = time.Duration(1<<63 - 1)

// outcomeDeadline returns the latest time at which a scheduler may report an outcome that is due at the given time. If the
// scheduler's process is suspended between the due time and the deadline, the deadline moves to after the end of the suspension.
// So it does if the recorder's process stalls, since the machine may have run no process then.
func (c *checker) outcomeDeadline(scheduler string, due time.Duration) time.Duration {
	slack := c.limits.AnswerSlack + c.limits.TimeTolerance
	deadline := due + slack
	pauses := slices.Concat(c.pauses[scheduler], c.stalls)
	slices.SortFunc(pauses, func(a, b pause) int { return cmp.Compare(a.pausedAt, b.pausedAt) })
	for _, p := range pauses {
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
