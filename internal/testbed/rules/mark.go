package rules

import "time"

// The marks of a recording that the checker needs, with the party that they are about. The texts are part of the stored
// format.
const (
	// MarkSchedulerKilled is that a scheduler's process has ended; a later one is another incarnation.
	MarkSchedulerKilled = "scheduler killed"
	// MarkNodeDied is that a node has ended with all its tasks.
	MarkNodeDied = "node dead"
	// MarkBytesDropped is that proxies drop bytes on purpose from now on.
	MarkBytesDropped = "bytes are dropped"
	// MarkNodeOverloaded is that a node has crashed of too many starts.
	MarkNodeOverloaded = "node fell over"
	// MarkSchedulerPaused is that a scheduler's process is suspended.
	MarkSchedulerPaused = "scheduler stopped"
	// MarkSchedulerResumed is that a suspended process runs again.
	MarkSchedulerResumed = "scheduler goes on"
)

// pause is a time in which a scheduler's process was suspended; to is 0 while it is.
type pause struct{ from, to time.Duration }

func (c *checker) mark(what, party string) {
	switch what {
	case MarkSchedulerKilled:
		c.incarnations[party]++
		delete(c.views, party)
		delete(c.activeAttempts, party) // the next incarnation has what it places and what nodes report to it
	case MarkNodeDied:
		c.nodeDied(party)
	case MarkBytesDropped:
		c.bytesDropped = true
	case MarkNodeOverloaded:
		c.verdict.OverloadedNodes++
	case MarkSchedulerPaused:
		c.pauses[party] = append(c.pauses[party], pause{from: c.now})
	case MarkSchedulerResumed:
		if pauses := c.pauses[party]; len(pauses) > 0 {
			pauses[len(pauses)-1].to = c.now
		}
	}
}

func (c *checker) nodeDied(node string) {
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

// never is a deadline that does not come.
const never = time.Duration(1<<63 - 1)

// outcomeDeadline is when an outcome must have come that a scheduler owes at the given time: a suspended process owes it
// when it is resumed.
func (c *checker) outcomeDeadline(scheduler string, owed time.Duration) time.Duration {
	slack := c.figures.AnswerSlack + c.figures.Skew
	deadline := owed + slack
	for _, p := range c.pauses[scheduler] {
		if p.from > deadline {
			continue
		}
		switch {
		case p.to == 0:
			return never
		case p.to >= owed:
			deadline = max(deadline, p.to+slack)
		}
	}
	return deadline
}
