package requests

import "flaxshelf.example/flaxshelf"

// findAttempt returns the attempt that a message on a link refers to. It returns nil unless the task has an attempt at the node
// of the link.
func (c *Core) findAttempt(id LinkID, taskID string) *attempt {
	l, t := c.links[id], c.tasks[taskID]
	if l == nil || t == nil || t.attempt == nil || t.attempt.node != l.node {
		return nil
	}
	return t.attempt
}

// handleNodeMessage handles a message of a node about a task.
func (c *Core) handleNodeMessage(in NodeMessage) {
	l := c.links[in.Link]
	if l == nil {
		return
	}
	l.receivedAny = true
	l.lastReceivedAt = c.now
	l.lastUsedAt = c.now
	l.node.lastReceivedAt = c.now
	if l.node.silentReplaced {
		c.renewAfterSilence(l.node)
	}
	a := c.findAttempt(in.Link, in.Task)
	if a == nil {
		c.handleUnmatchedMessage(l, in)
		return
	}
	c.confirmAdoption(a.task)
	switch in.Kind {
	case NodeAccepted:
		if a.phase == phaseOffered && a.link == l {
			c.acceptTask(a, in.Description)
		}
	case NodeReleased:
		c.handleNodeRelease(a, in)
	case NodeConfirmedRelease:
		if a.phase == phaseReleasing {
			c.endAttempt(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
		}
	case NodeUsage:
		c.handleUsage(a, l, in)
	}
}

// handleUnmatchedMessage handles a message about a task that has no attempt at the node. If the node has accepted the task, it
// is sent a release, because the offer has ended or the task is unknown. If it reports the usage of a task that was released
// lately, it is sent the release again. A node's release is recorded, because the owner's Adopt of the task may follow.
func (c *Core) handleUnmatchedMessage(l *link, in NodeMessage) {
	switch in.Kind {
	case NodeAccepted:
		c.stats.StaleMessages++
		c.releaseAtNode(l, in.Task, CauseNormal)
	case NodeReleased:
		if in.Cause == CauseCanceled && l.node.hasUnreadRelease(in.Task, c.now) {
			in.Cause = CauseLost // as in notifiedCause: if the owner hands the task over, it does not know of the end
		}
		l.node.forgetRelease(in.Task)
		c.recordPreAdoptionTermination(l.node, in)
	case NodeConfirmedRelease:
		l.node.forgetRelease(in.Task)
	case NodeUsage:
		c.releaseReportedTask(l, in.Task)
	}
}

// acceptTask handles a node's acceptance of an offer: it responds to the owner and records the task as running.
func (c *Core) acceptTask(a *attempt, description string) {
	t := a.task
	c.timers.Cancel(a.timer)
	a.phase = phaseRunning
	a.link.pendingOffers--
	c.finishRequest(t, true)
	c.stats.Running++
	c.stats.Placed++
	c.emit(Accepted{Conn: t.conn, Task: t.id, Description: description})
	c.markConfirmedOwner(t.conn)
	c.notifyPlacer(flaxshelf.AttemptPlaced{
		Task:    t.id,
		Machine: a.node.machine.ID,
		Attempt: a.number,
		Latency: c.now - a.startedAt,
	})
}

// handleUsage passes a node's usage report of a running task to the placer. If the task was released, the report may show that
// the node has not received the release.
func (c *Core) handleUsage(a *attempt, l *link, in NodeMessage) {
	switch a.phase {
	case phaseRunning:
		c.notifyPlacer(flaxshelf.UsageReport{
			Task:    in.Task,
			Machine: a.node.machine.ID,
			Attempt: a.number,
			Kind:    in.UsageKind,
			Amount:  in.Amount,
		})
	case phaseReleasing:
		c.releaseAgainIfRunning(a, l)
	}
}

// handleNodeRelease handles a node's release of a task that has an attempt there.
func (c *Core) handleNodeRelease(a *attempt, in NodeMessage) {
	switch a.phase {
	case phaseOffered:
		if a.link.id != in.Link {
			return // the message is about an earlier attempt
		}
		c.endAttempt(a, offerOutcome(in.Cause), in.Reason)
	case phaseRunning:
		outcome := runningOutcome(in.Cause)
		if cause := a.notifiedCause(in.Cause); cause != CauseCanceled {
			c.notifyTerminated(a.task, cause)
		}
		c.stats.countTermination(outcome, in.Reason)
		c.endAttempt(a, outcome, in.Reason)
	case phaseReleasing:
		c.endAttempt(a, releasedOutcome(in.Cause), in.Reason)
	}
}

// notifiedCause returns the cause with which the owner of a running task is notified that its node has released it. It is
// CauseCanceled if the owner ended the task itself. A node gives that cause also for a task that it ended because it has read the
// release of a former attempt, of which the owner does not know.
func (a *attempt) notifiedCause(nodeCause Cause) Cause {
	if nodeCause == CauseCanceled && a.unreadRelease {
		return CauseLost
	}
	return nodeCause
}

// offerOutcome returns the outcome of an offer that the node released without having accepted it.
func offerOutcome(cause Cause) flaxshelf.Outcome {
	switch cause {
	case CauseRejected:
		return flaxshelf.Rejected
	case CauseError:
		return flaxshelf.Failed
	case CauseObsolete:
		return flaxshelf.NotSent
	}
	return flaxshelf.Lost
}

// runningOutcome returns the outcome of a running task that the node released.
func runningOutcome(cause Cause) flaxshelf.Outcome {
	switch cause {
	case CauseNormal:
		return flaxshelf.Completed
	case CauseCanceled:
		return flaxshelf.Canceled
	}
	return flaxshelf.Lost
}

// releasedOutcome returns the outcome of a task that the scheduler had already released when the node's release arrived.
func releasedOutcome(cause Cause) flaxshelf.Outcome {
	if cause == CauseNormal {
		return flaxshelf.Completed
	}
	return flaxshelf.Canceled
}
