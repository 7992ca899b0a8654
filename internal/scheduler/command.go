package scheduler

import "flaxshelf.example/flaxshelf"

// apply executes a command on a job or on each job of an array.
func (in Command) apply(c *Core) {
	if array := c.arrays[in.Job]; array != nil {
		for _, job := range array.jobs {
			c.handleCommand(0, in.Verb, job)
		}
		c.answerArray(in.RequestID, array)
		return
	}
	job := c.jobs[in.Job]
	if job == nil {
		c.rejectUnknownJob(in.RequestID, in.Job)
		return
	}
	c.handleCommand(in.RequestID, in.Verb, job)
}

func (c *Core) handleCommand(requestID uint64, verb Verb, job *job) {
	switch verb {
	case Hold:
		c.handleHold(requestID, job)
	case Release:
		c.handleRelease(requestID, job)
	case Terminate:
		c.handleTerminate(requestID, job)
	case Reap:
		c.handleReap(requestID, job)
	default:
		c.reject(requestID, InvalidArgument, 0, "no command %q", verb)
	}
}

// rejectInState rejects a command that is not allowed in the job's state.
func (c *Core) rejectInState(requestID uint64, verb Verb, job *job) {
	c.reject(requestID, InvalidState, 0, "job %s is %s, which %s does not apply to", job.id, job.state, verb)
}

func (c *Core) handleHold(requestID uint64, job *job) {
	switch {
	case job.onHold():
		c.answerJob(requestID, job)
	case job.state != Queued && job.state != Requeued:
		c.rejectInState(requestID, Hold, job)
	case job.attempt != nil:
		c.holdOfferedJob(requestID, job)
	case c.mayHaveRun(job): // the placement request is still open; the module decides on the request shortly
		c.reject(requestID, InvalidState, 0, "job %s may have run and can't be held", job.id)
	default:
		c.holdJob(job)
		c.answerJob(requestID, job)
	}
}

func (c *Core) handleRelease(requestID uint64, job *job) {
	if !job.onHold() {
		c.rejectInState(requestID, Release, job)
		return
	}
	c.releaseJob(job)
	c.answerJob(requestID, job)
}

func (c *Core) handleTerminate(requestID uint64, job *job) {
	if job.state.Ended() {
		c.rejectInState(requestID, Terminate, job)
		return
	}
	c.terminateJob(job)
	c.answerJob(requestID, job)
}

func (c *Core) handleReap(requestID uint64, job *job) {
	if !job.state.Ended() {
		c.rejectInState(requestID, Reap, job)
		return
	}
	c.answerJob(requestID, job)
	c.removeJob(job)
}

// holdOfferedJob stops the offer of a job and holds the job, unless the node accepts the offer first. The module is notified
// at once that the task is canceled, so that it makes no further offer.
func (c *Core) holdOfferedJob(requestID uint64, job *job) {
	offer := job.attempt
	if offer.phase >= phaseAccepted || job.holdPending {
		c.rejectInState(requestID, Hold, job)
		return
	}
	job.pendingHoldRequestID, job.holdPending = requestID, true
	c.notifyModule(flaxshelf.TaskCanceled{Task: job.taskID()})
	c.stopAttempt(offer)
	c.whenNotAccepted(offer, func() { c.completeHold(job) })
}

// completeHold holds a job whose offer has ended without being accepted, and answers the hold.
func (c *Core) completeHold(job *job) {
	if !job.holdPending || job.state.Ended() {
		return
	}
	// The node's report of a failed start may cross the stop, and the failed attempt may have run. If the job were held and
	// released, the module would not know that attempt in the new placement request and might start the work again.
	if c.mayHaveRun(job) {
		c.failPlacementRequest(job, OutcomeFailed, "an attempt may have run before it could be held")
		return
	}
	job.holdPending = false
	c.holdJob(job)
	c.answerJob(job.pendingHoldRequestID, job)
}

// whenNotAccepted calls done when an offer has ended without being accepted, and never if the offer is accepted. It polls
// the attempt, which is accepted or ends by its timeout at the latest.
func (c *Core) whenNotAccepted(offer *attempt, done func()) {
	if offer.phase == phaseEnded {
		done()
		return
	}
	if offer.phase >= phaseAccepted {
		return
	}
	c.timers.Schedule(c.nextPollTime(), func() { c.whenNotAccepted(offer, done) })
}

func (c *Core) holdJob(job *job) {
	c.cancelPlacementRequest(job, "")
	if job.state == Requeued {
		job.state = RequeuedHeld
	} else {
		job.state = QueuedHeld
	}
	c.timers.Cancel(job.delayTimer)
	job.subState, job.nodeID = SubStateHeld, ""
	c.publishChange(job)
}

func (c *Core) releaseJob(job *job) {
	if job.array != nil && !job.admitted {
		job.state, job.subState = Queued, SubStateArrayLimit
		job.array.firstWaiting = 0
		c.publishChange(job)
		c.admitFromArray(job.array)
		return
	}
	if job.state == QueuedHeld {
		job.state = Queued
	} else {
		job.state = Requeued
	}
	c.placeWhenReady(job)
}

// terminateJob ends a job: at once if no offer was sent, otherwise when its attempt has ended.
func (c *Core) terminateJob(job *job) {
	if job.state.Ended() || job.stopping {
		return
	}
	job.stopping = true
	current := job.attempt
	if current == nil || current.phase == phaseConnecting {
		if current != nil {
			c.endAttempt(current, attemptEnd{outcome: flaxshelf.NotSent})
		}
		c.finishJob(job, Failed, SubStateTerminated, terminatedReason)
		return
	}
	job.subState = SubStateStopping
	c.cancelPlacementRequest(job, current.id)
	c.stopAttempt(current)
	c.publishChange(job)
}
