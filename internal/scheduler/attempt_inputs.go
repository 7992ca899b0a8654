package scheduler

import "flaxshelf.example/flaxshelf"

// findAttempt returns the attempt that a node's message refers to, or nil if the core no longer has it.
func (c *Core) findAttempt(nodeID, attemptID string) *attempt {
	attempt := c.attempts[attemptID]
	if attempt == nil || attempt.node.machine.ID != nodeID {
		return nil
	}
	return attempt
}

// findOrStopAttempt is findAttempt for messages which show that the attempt runs or may start. It stops an attempt that the
// core no longer has, since the job's next attempt may start meanwhile and the two must not run concurrently.
func (c *Core) findOrStopAttempt(nodeID, attemptID string) *attempt {
	attempt := c.findAttempt(nodeID, attemptID)
	if attempt == nil {
		c.emit(SendStop{nodeID, attemptID})
	}
	return attempt
}

func (in AttemptAccepted) apply(c *Core) {
	if attempt := c.findOrStopAttempt(in.Node, in.Attempt); attempt != nil && attempt.phase == phaseOffered {
		c.acceptAttempt(attempt, in.Load)
	}
}

func (in AttemptStarted) apply(c *Core) {
	attempt := c.findOrStopAttempt(in.Node, in.Attempt)
	if attempt == nil {
		return
	}
	if attempt.phase == phaseOffered { // its AttemptAccepted was lost
		c.acceptAttempt(attempt, flaxshelf.LoadReport{})
	}
	c.startAttempt(attempt)
}

func (in UsageReport) apply(c *Core) {
	if attempt := c.findOrStopAttempt(in.Node, in.Attempt); attempt != nil && attempt.phase >= phaseAccepted {
		c.reportUsage(attempt, in.Kind, in.Amount)
	}
}

func (in AttemptRejected) apply(c *Core) {
	if attempt := c.findAttempt(in.Node, in.Attempt); attempt != nil && attempt.phase == phaseOffered {
		c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.Rejected, reason: in.Reason, load: in.Load})
	}
}

func (in AttemptFailed) apply(c *Core) {
	if attempt := c.findAttempt(in.Node, in.Attempt); attempt != nil && attempt.phase == phaseOffered {
		attempt.job.reason = in.Message
		c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.Failed, load: in.Load})
	}
}

func (in SendFailed) apply(c *Core) {
	if attempt := c.findAttempt(in.Node, in.Attempt); attempt != nil && attempt.phase == phaseOffered {
		c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.NotSent})
	}
}

func (in AttemptEnded) apply(c *Core) {
	c.emit(SendAck{in.Node, in.Attempt})
	attempt := c.findAttempt(in.Node, in.Attempt)
	if attempt == nil {
		return
	}
	if attempt.phase == phaseOffered { // its AttemptAccepted was lost
		if in.End == EndStopped && !attempt.job.requestOpen {
			c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.Canceled, load: in.Load})
			return
		}
		c.acceptAttempt(attempt, flaxshelf.LoadReport{})
	}
	attempt.job.exitStatus = in.ExitStatus
	c.endAttempt(attempt, in.attemptEnd())
}

// attemptEnd translates the node's report for the module.
func (in AttemptEnded) attemptEnd() attemptEnd {
	switch in.End {
	case EndCompleted:
		return attemptEnd{outcome: flaxshelf.Completed, load: in.Load}
	case EndStopped:
		return attemptEnd{outcome: flaxshelf.Canceled, load: in.Load}
	case EndStartFailed:
		return attemptEnd{outcome: flaxshelf.Failed, load: in.Load}
	}
	return attemptEnd{outcome: flaxshelf.Lost, reason: in.Reason, load: in.Load}
}
