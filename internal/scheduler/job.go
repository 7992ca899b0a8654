package scheduler

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// The delay of the next placement request of a job whose attempt was lost is initialBackoff, doubled with each further
// loss up to maxBackoff. It starts at evictedBackoff after an eviction or a preemption, which indicate a lack of capacity.
const (
	initialBackoff         = 200 * time.Millisecond
	initialEvictionBackoff = time.Second
	maxBackoff             = 30 * time.Second

	maxBackoffDoublings  = 8 // more would only exceed maxBackoff further
	backoffLevelsPerLoss = 2 // added by a loss; a placement subtracts one
)

// terminatedReason is the reason of a job that was terminated by its owner.
const terminatedReason = "terminated by its owner"

// job is the state of one job.
type job struct {
	id       string
	aliases  []string // IDs of the same work in former incarnations
	spec     *JobSpec
	state    JobState
	subState string
	nodeID   string // of the current attempt
	reason   string
	array    *array // nil for none
	index    int    // in the array
	admitted bool   // by its array; always true without an array
	revision uint64

	submittedAt Time
	startedAt   Time
	finishedAt  Time
	receivedAt  Time // of a submission whose placement request has not been opened; zero otherwise

	// The placement request.
	requestNumber           int    // its number, counted from 1
	assignedTaskID          string // see taskID
	requestOpen             bool   // it has no outcome yet
	requestedAt             Time
	placementDeadline       Time
	placementTimer          *timerqueue.Timer
	attemptCount            int
	attempt                 *attempt // that has not ended; nil for none
	outcome                 PlacementOutcome
	uncertainAttemptEndedAt Time // when an attempt that may have run last ended; zero means never
	uncertainRequest        int  // the last placement request with such an attempt

	// Commands that await a node.
	stopping             bool // the job ends when its attempt has ended
	migrating            bool // the attempt is stopped to run elsewhere
	holdPending          bool // the job is held if its attempt ends without being accepted
	pendingHoldRequestID uint64

	exitStatus    int
	backoffLevel  int
	deadlineTimer *timerqueue.Timer // at which the job is terminated
	delayTimer    *timerqueue.Timer // for its start time or backoff
}

func (j *job) onHold() bool { return j.state == QueuedHeld || j.state == RequeuedHeld }

// inSession reports whether the job belongs to a session. Every job belongs to the empty session.
func (j *job) inSession(session string) bool { return session == "" || j.spec.Session == session }

// endedUnplaced reports whether the job failed because its last placement request did.
func (j *job) endedUnplaced() bool {
	if j.state != Failed {
		return false
	}
	return j.outcome == OutcomeRejected || j.outcome == OutcomeFailed || j.outcome == OutcomeCanceled
}

// taskID returns the module's ID of the current placement request.
func (j *job) taskID() string {
	if j.assignedTaskID == "" {
		j.assignedTaskID = j.id + "#" + strconv.Itoa(j.requestNumber)
	}
	return j.assignedTaskID
}

func (j *job) info() JobInfo {
	info := JobInfo{
		ID:                j.id,
		Spec:              j.spec,
		State:             j.state,
		SubState:          j.subState,
		ArrayIndex:        j.index,
		Node:              j.nodeID,
		PlacementRequest:  j.requestNumber,
		Outcome:           j.outcome,
		Attempts:          j.attemptCount,
		ExitStatus:        j.exitStatus,
		Reason:            j.reason,
		SubmittedAt:       j.submittedAt,
		RequestedAt:       j.requestedAt,
		PlacementDeadline: j.placementDeadline,
		StartedAt:         j.startedAt,
		FinishedAt:        j.finishedAt,
		Revision:          j.revision,
	}
	if j.array != nil {
		info.ArrayID = j.array.id
	}
	return info
}

// knownClass reports whether the configuration has a class of that index. A node may run work of a class that has been
// removed from it.
func (c *Core) knownClass(class int) bool { return class >= 0 && class < len(c.cfg.Module.Classes) }

func (c *Core) classOf(job *job) *flaxshelf.TaskClass { return &c.cfg.Module.Classes[job.spec.Class] }

func (c *Core) isIdempotent(job *job) bool {
	return c.classOf(job).Idempotency == flaxshelf.Idempotent
}

func (c *Core) runsAtMostOnce(job *job) bool {
	return c.classOf(job).Idempotency == flaxshelf.NonIdempotent
}

// outcomeUnknown reports whether an attempt of the open placement request may have run, so that the work must not start
// in another request.
func (c *Core) mayHaveRun(job *job) bool {
	return job.requestOpen && job.uncertainRequest == job.requestNumber && !c.isIdempotent(job)
}

// earliestResubmission returns when the next placement request of a job may be opened. Zero means at any time, as for
// idempotent classes. Until then an attempt of a former request, which the module does not know, may still run. Otherwise
// a job that is idempotent by key, was placed after an attempt without a reply and soon lost its node, could start in
// another key domain while the attempt without a reply runs.
func (c *Core) earliestResubmission(job *job) Time {
	if job.uncertainAttemptEndedAt == 0 || c.isIdempotent(job) {
		return 0
	}
	return job.uncertainAttemptEndedAt + c.cfg.Limits.SettleTime
}

// continueAfterAttempt finishes or requeues a job whose accepted attempt has ended.
func (c *Core) finishOrRequeue(job *job, end attemptEnd) {
	migrating := job.migrating
	job.migrating = false
	switch {
	case job.stopping:
		c.finishJob(job, Failed, SubStateTerminated, terminatedReason)
	case end.outcome == flaxshelf.Completed && job.exitStatus == 0:
		c.finishJob(job, Done, SubStateExited, "")
	case end.outcome == flaxshelf.Completed:
		c.finishJob(job, Failed, SubStateExited, "exit status "+strconv.Itoa(job.exitStatus))
	case end.outcome == flaxshelf.Failed:
		c.finishJob(job, Failed, SubStateStartFailed, "its start failed on "+job.nodeID)
	case migrating || job.spec.Rerunnable:
		c.requeue(job, end.reason)
	default:
		c.finishJob(job, Failed, lostSubState(end.reason), "it ended on "+job.nodeID+" and is not rerunnable")
	}
}

// lostSubState returns the sub-state of a job whose attempt was lost for the reason.
func lostSubState(reason flaxshelf.Reason) string {
	switch reason {
	case flaxshelf.Evicted:
		return SubStateEvicted
	case flaxshelf.Preempted:
		return SubStatePreempted
	case flaxshelf.DrainedAway:
		return SubStateDrainedAway
	}
	return SubStateLost
}

// requeue opens another placement request, after a backoff, for a job whose attempt was lost.
func (c *Core) requeue(job *job, reason flaxshelf.Reason) {
	wait := max(backoff(job.backoffLevel, reason), c.earliestResubmission(job)-c.now)
	job.backoffLevel += backoffLevelsPerLoss
	job.state, job.subState = Requeued, SubStateBackoff
	job.reason = "it was " + SubStateDisplayName(lostSubState(reason)) + " on " + job.nodeID
	job.nodeID = ""
	if job.requestOpen { // accepted but not running, with Config.PlacedWhenRunning
		c.notifyModule(flaxshelf.TaskCanceled{Task: job.taskID()})
		c.closePlacementRequest(job, OutcomeFailed, "")
	}
	c.publishChange(job)
	request := job.requestNumber
	job.delayTimer = c.timers.Schedule(c.now+wait, func() {
		if job.state == Requeued && job.subState == SubStateBackoff && job.requestNumber == request {
			job.reason = ""
			c.submitToModule(job)
		}
	})
}

// backoff returns the delay of the next placement request after a loss for the reason.
func backoff(level int, reason flaxshelf.Reason) time.Duration {
	first := initialBackoff
	if reason == flaxshelf.Evicted || reason == flaxshelf.Preempted {
		first = initialEvictionBackoff
	}
	return min(first<<min(level, maxBackoffDoublings), maxBackoff)
}

// addJob stores a job that has not ended.
func (c *Core) addJob(job *job) {
	c.jobs[job.id] = job
	c.unfinishedJobs++
	if job.spec.Key != "" {
		c.jobsByKey[job.spec.Key] = job
	}
}

// finishJob ends a job. It is retained until expireEndedJobs or its owner removes it.
func (c *Core) finishJob(job *job, state JobState, subState, reason string) {
	if job.state.Ended() {
		return
	}
	c.cancelPlacementRequest(job, "")
	job.state, job.subState, job.reason, job.finishedAt = state, subState, reason, c.now
	delete(c.jobsByTask, job.taskID())
	c.timers.Cancel(job.deadlineTimer)
	c.timers.Cancel(job.delayTimer)
	c.unfinishedJobs--
	c.endedJobCount++
	c.endedJobs = append(c.endedJobs, job)
	c.publishChange(job)
	c.emit(LogOutcome{Job: job.info()})
	if job.array != nil {
		c.arrayJobEnded(job)
	}
}

// expireEndedJobs removes ended jobs beyond MaxFinished or Retention.
func (c *Core) expireEndedJobs() {
	for len(c.endedJobs) > 0 {
		oldest := c.endedJobs[0]
		if len(c.endedJobs) <= c.cfg.Limits.MaxFinished && c.now-oldest.finishedAt < c.cfg.Limits.Retention {
			return
		}
		c.endedJobs[0] = nil // so that the job can be garbage collected
		c.endedJobs = c.endedJobs[1:]
		c.removeJob(oldest)
	}
}

// removeJob removes an ended job, unless its owner has reaped it already.
func (c *Core) removeJob(job *job) {
	if c.jobs[job.id] != job {
		return
	}
	c.endedJobCount--
	delete(c.jobs, job.id)
	for _, id := range job.aliases {
		delete(c.jobs, id)
	}
	if c.jobsByKey[job.spec.Key] == job {
		delete(c.jobsByKey, job.spec.Key)
	}
	if job.array != nil {
		c.arrayJobRemoved(job.array)
	}
}
