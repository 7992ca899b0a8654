package scheduler

import (
	"strconv"
	"time"
)

// overloadRetryAfter is the Error.RetryAfter of submissions that are rejected because of overload or a limit.
const overloadRetryAfter = time.Second

// maxArrayJobs is the maximum number of jobs of one array.
const maxArrayJobs = 100000

// apply accepts or rejects a job or an array. Accepted jobs are not discarded later.
func (in Submit) apply(c *Core) {
	if err := c.validateSubmission(in); err != nil {
		c.answer(in.RequestID, Answer{Err: err})
		return
	}
	if in.Spec.Key != "" {
		if job := c.jobsByKey[in.Spec.Key]; job != nil && c.answerKnownKey(in, job) {
			return
		}
	}
	if err := c.admissionError(in); err != nil {
		c.answer(in.RequestID, Answer{Err: err})
		return
	}
	if len(in.Indexes) > 0 {
		c.submitArray(in)
		return
	}
	job := c.newJob(&in.Spec)
	job.receivedAt = in.ReceivedAt
	c.answerJob(in.RequestID, job)
	c.admit(job)
}

// jobCount returns the number of jobs that a submission creates.
func (in Submit) jobCount() int { return max(len(in.Indexes), 1) }

// validateSubmission returns an error if the submission is invalid.
func (c *Core) validateSubmission(in Submit) *Error {
	spec := &in.Spec
	switch {
	case !c.knownClass(spec.Class):
		return newError(InvalidArgument, 0, "no class %d", spec.Class)
	case in.jobCount() > maxArrayJobs:
		return newError(InvalidArgument, 0, "an array of %d jobs, %d at most", in.jobCount(), maxArrayJobs)
	case spec.Session != "" && !c.sessions[spec.Session]:
		return newError(InvalidSession, 0, "no job session %q", spec.Session)
	}
	return nil
}

// admissionError returns an error if a valid submission cannot be accepted now.
func (c *Core) admissionError(in Submit) *Error {
	// Without this check, an overloaded core would accept jobs whose deadlines leave too little time to place them.
	if late := c.now - in.ReceivedAt; in.ReceivedAt > 0 && late > c.placementTimeout(&in.Spec)/2 {
		return newError(TryLater, overloadRetryAfter, "the scheduler is %v behind", late.Round(time.Millisecond))
	}
	limits := &c.cfg.Limits
	switch {
	case c.draining:
		return newError(TryLater, limits.SettleTime, "the scheduler is shutting down")
	case c.openRequests+in.jobCount() > limits.MaxPending:
		return newError(TryLater, overloadRetryAfter, "%d jobs wait for their outcome, %d at most",
			c.openRequests, limits.MaxPending)
	case c.unfinishedJobs+in.jobCount() > limits.MaxRunning:
		return newError(TryLater, overloadRetryAfter, "%d jobs have not ended, %d at most",
			c.unfinishedJobs, limits.MaxRunning)
	}
	return nil
}

// answerKnownKey answers a submission whose key is that of an earlier job, for example if the owner did not receive the
// first answer. It returns false, without an answer, if the submission must be treated as new: the earlier job ended
// without being placed, and if an attempt of it may have run, the settle time has passed since.
func (c *Core) answerKnownKey(in Submit, job *job) bool {
	if !job.endedUnplaced() {
		answer := Answer{Jobs: []JobInfo{job.info()}, Existing: true}
		if job.array != nil {
			answer.ArrayID, answer.Jobs = job.array.id, job.array.infos()
		}
		c.answer(in.RequestID, answer)
		return true
	}
	wait := c.earliestResubmission(job) - c.now
	if wait <= 0 {
		return false
	}
	c.reject(in.RequestID, TryLater, wait, "an attempt for key %q may have run; it is waited for", in.Spec.Key)
	return true
}

// newID returns a new ID for a job or an array.
func (c *Core) newID() string {
	c.lastJobNumber++
	return c.idPrefix + strconv.FormatUint(c.lastJobNumber, 36)
}

// newJob adds a submitted job. The caller must call admit to start its placement.
func (c *Core) newJob(spec *JobSpec) *job {
	job := &job{id: c.newID(), spec: spec, state: Queued, subState: SubStateWaiting, submittedAt: c.now}
	if spec.Hold {
		job.state, job.subState = QueuedHeld, SubStateHeld
	}
	c.addJob(job)
	return job
}

// admit starts the placement of an accepted job, unless it is on hold.
func (c *Core) admit(job *job) {
	job.admitted = true
	if job.spec.Deadline > 0 {
		job.deadlineTimer = c.timers.Schedule(job.spec.Deadline, func() { c.terminateJob(job) })
	}
	if job.onHold() {
		job.receivedAt = 0
		c.publishChange(job)
		return
	}
	c.placeWhenReady(job)
}

// placeWhenReady submits a job to the module when its start time is reached, the settle time of an earlier attempt has
// passed and the recovery of this incarnation has ended, as far as each applies to the job.
func (c *Core) placeWhenReady(job *job) {
	switch {
	case job.spec.NotBefore > c.now:
		job.receivedAt = 0
		c.delay(job, SubStateStartTime, job.spec.NotBefore, c.submitToModule)
	case job.requestNumber > 0 && c.earliestResubmission(job) > c.now:
		c.delay(job, SubStateBackoff, c.earliestResubmission(job), c.placeWhenReady)
	case c.mustAwaitRecovery(job):
		job.subState = SubStateRecovering
		c.openPlacementRequest(job)
		c.recovery.waitingJobs = append(c.recovery.waitingJobs, job)
		c.publishChange(job)
	default:
		c.submitToModule(job)
	}
}

// delay puts a job into a waiting sub-state and calls proceed at the given time if the job is still in that sub-state.
func (c *Core) delay(job *job, subState string, until Time, proceed func(*job)) {
	job.subState = subState
	c.publishChange(job)
	job.delayTimer = c.timers.Schedule(until, func() {
		if !job.state.Ended() && job.subState == subState {
			proceed(job)
		}
	})
}
