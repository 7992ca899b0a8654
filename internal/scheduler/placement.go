package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// submitToModule submits a job to the module. It opens a placement request unless one is open.
func (c *Core) submitToModule(job *job) {
	job.subState = SubStateWaiting
	c.openPlacementRequest(job)
	c.jobsByTask[job.taskID()] = job
	c.notifyModule(flaxshelf.TaskSubmitted{Task: c.moduleTask(job)})
	c.publishChange(job)
}

// moduleTask returns the job's last placement request as a task for the module.
func (c *Core) moduleTask(job *job) flaxshelf.Task {
	spec := job.spec
	key, service := spec.Key, spec.Service
	if key == "" {
		key = job.id
	}
	if service == "" {
		service = job.id // with an empty service, all these jobs would prefer the same machines
	}
	return flaxshelf.Task{
		ID:              job.taskID(),
		Key:             key,
		Service:         service,
		Class:           spec.Class,
		Tenant:          spec.Tenant,
		Cores:           spec.Cores,
		Memory:          spec.Memory,
		ExpectedRuntime: spec.ExpectedRuntime,
		Deadline:        job.placementDeadline,
		Retry:           spec.Retry || job.requestNumber > 1,
	}
}

// openPlacementRequest opens a placement request unless one is open. Its timeout includes the time for which the job waits
// for the recovery of this incarnation.
func (c *Core) openPlacementRequest(job *job) {
	if job.requestOpen {
		return
	}
	delete(c.jobsByTask, job.taskID())
	job.requestNumber++
	job.assignedTaskID, job.attemptCount, job.outcome, job.nodeID = "", 0, "", ""
	job.requestOpen, job.requestedAt = true, c.now
	if job.receivedAt > 0 { // first request of a job, not delayed by a start time or a hold
		job.requestedAt = job.receivedAt
	}
	job.receivedAt = 0
	c.openRequests++
	job.placementDeadline = job.requestedAt + c.placementTimeout(job.spec)
	c.scheduleDeadlineCheck(job)
}

// placementTimeout returns how long a placement request may stay open.
func (c *Core) placementTimeout(spec *JobSpec) time.Duration {
	if spec.PlacementTimeout > 0 {
		return spec.PlacementTimeout
	}
	return c.cfg.Limits.PlacementTimeouts[spec.Class]
}

// scheduleDeadlineCheck sets a timer that fails the placement request shortly after its deadline if the module has not
// decided on it, for example because of a stall.
func (c *Core) scheduleDeadlineCheck(job *job) {
	deadline := job.placementDeadline
	job.placementTimer = c.timers.Schedule(deadline+c.cfg.Module.AnswerSlack/2, func() {
		if job.requestOpen && job.placementDeadline == deadline && !c.cfg.DisabledGuards.PlacementDeadline {
			c.failOverdueRequest(job)
		}
	})
}

// failOverdueRequest fails a placement request that the module has not decided on in time.
func (c *Core) failOverdueRequest(job *job) {
	c.notifyModule(flaxshelf.TaskCanceled{Task: job.taskID()})
	if job.subState == SubStateRecovering {
		c.failPlacementRequest(job, OutcomeFailed, "it may run on a node that has not reported since the scheduler started")
		return
	}
	outcome := OutcomeFailed
	if job.attemptCount == 0 || c.isIdempotent(job) {
		outcome = OutcomeRejected
	}
	c.failPlacementRequest(job, outcome, "the scheduler did not decide in time")
}

// failTask executes the module's decision not to place a task.
func (c *Core) failTask(taskID string, outcome PlacementOutcome) {
	job := c.jobsByTask[taskID]
	if job == nil || !job.requestOpen || job.taskID() != taskID {
		return
	}
	c.failPlacementRequest(job, outcome, "")
}

// failPlacementRequest closes a placement request as not placed and ends its job. If the reason is empty, the job keeps the
// reason of its last attempt or gets a default.
func (c *Core) failPlacementRequest(job *job, outcome PlacementOutcome, reason string) {
	if reason != "" {
		job.reason = reason
	}
	c.closeRequestAndAttempt(job, outcome)
	subState, defaultReason := SubStateRejected, "no node accepted it in time; it is safe to submit it again"
	if outcome == OutcomeFailed {
		subState, defaultReason = SubStateUncertain, "an attempt may have run"
	}
	if job.reason == "" {
		job.reason = defaultReason
	}
	c.finishJob(job, Failed, subState, job.reason)
}

// closeRequestAndAttempt closes a placement request and its attempt, if any: an offer that was not sent ends at once, any
// other attempt is stopped.
func (c *Core) closeRequestAndAttempt(job *job, outcome PlacementOutcome) {
	current := job.attempt
	switch {
	case current == nil:
		c.closePlacementRequest(job, outcome, "")
	case current.phase == phaseConnecting:
		c.closePlacementRequest(job, outcome, current.id)
		c.endAttempt(current, attemptEnd{outcome: flaxshelf.NotSent})
	default:
		c.stopAttempt(current)
		c.closePlacementRequest(job, outcome, current.id)
	}
}

// cancelPlacementRequest cancels the placement request, if it is open, and notifies the module.
func (c *Core) cancelPlacementRequest(job *job, attemptID string) {
	if !job.requestOpen {
		return
	}
	c.notifyModule(flaxshelf.TaskCanceled{Task: job.taskID()})
	c.closePlacementRequest(job, OutcomeCanceled, attemptID)
}

// closePlacementRequest closes the placement request with an outcome, if it is open. attemptID is that of the attempt that
// was placed or in progress, or empty.
func (c *Core) closePlacementRequest(job *job, outcome PlacementOutcome, attemptID string) {
	if !job.requestOpen {
		return
	}
	job.requestOpen = false
	c.timers.Cancel(job.placementTimer)
	c.openRequests--
	job.outcome = outcome
	if outcome == OutcomePlaced {
		job.backoffLevel = max(job.backoffLevel-1, 0)
	}
	c.rejectPendingHold(job)
	c.publishChange(job)
	c.emit(LogOutcome{Job: job.info(), Attempt: attemptID})
}

// rejectPendingHold answers a pending hold with an error, because the placement request was closed before the hold
// took effect.
func (c *Core) rejectPendingHold(job *job) {
	if !job.holdPending {
		return
	}
	job.holdPending = false
	if job.outcome == OutcomePlaced {
		c.reject(job.pendingHoldRequestID, InvalidState, 0, "job %s was placed before the hold", job.id)
	} else {
		c.reject(job.pendingHoldRequestID, InvalidState, 0, "job %s ended before the hold: %s", job.id, job.outcome.DisplayName())
	}
}
