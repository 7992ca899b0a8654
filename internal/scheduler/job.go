package scheduler

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// A job whose attempt was lost waits before its next placement request. The delay is initialBackoff, or
// initialEvictionBackoff after an eviction or a preemption, which indicate a lack of capacity. It doubles with each level
// of the job's backoff, up to maxBackoff.
const (
	initialBackoff         = 200 * time.Millisecond
	initialEvictionBackoff = time.Second
	maxBackoff             = 30 * time.Second

	maxBackoffDoublings  = 8 // bounds the shift in backoff; initialBackoff doubled 8 times exceeds maxBackoff
	backoffLevelsPerLoss = 2 // a loss adds this many levels, a placement subtracts one
)

// terminatedReason is the reason that a terminated job shows.
const terminatedReason = "terminated by its owner"

// job is the core's state of a job.
type job struct {
	id       string
	aliases  []string // IDs that former incarnations gave to the same work
	spec     *JobSpec
	state    JobState
	subState string
	nodeID   string // see JobInfo.Node
	reason   string // see JobInfo.Reason
	array    *array // nil for none
	index    int    // in the array
	admitted bool   // by its array; always true without an array
	revision uint64 // see JobInfo.Revision

	submittedAt Time
	startedAt   Time
	finishedAt  Time
	receivedAt  Time // when the submission was received; zero if unknown or no longer needed, see openPlacementRequest

	// The last placement request.
	requestNumber           int    // number of the request, counted from 1; zero before the first
	assignedTaskID          string // the module's ID of the request; empty until taskID derives it
	requestOpen             bool   // the request has no outcome yet
	requestedAt             Time
	placementDeadline       Time
	placementTimer          *timerqueue.Timer
	attemptCount            int
	attempt                 *attempt // the attempt that has not ended; nil for none
	outcome                 PlacementOutcome
	uncertainAttemptEndedAt Time // end of the last attempt that may have run without being placed; zero for none
	uncertainRequest        int  // number of the last placement request with such an attempt

	// What happens to the job when its current attempt ends: set by commands and by migrations.
	stopping             bool   // the job was terminated and ends when its attempt has ended
	migrating            bool   // the attempt is being stopped so that the job can run on another node
	holdPending          bool   // the job will be held if its offer ends without being accepted
	pendingHoldRequestID uint64 // request that is answered when the pending hold succeeds or fails

	exitStatus    int
	backoffLevel  int
	deadlineTimer *timerqueue.Timer // terminates the job
	delayTimer    *timerqueue.Timer // ends the wait for the start time or the backoff
}

func (j *job) onHold() bool { return j.state == QueuedHeld || j.state == RequeuedHeld }

// inSession reports whether the job belongs to the session. If the session name is empty, it returns true for every job.
func (j *job) inSession(session string) bool { return session == "" || j.spec.Session == session }

// endedUnplaced reports whether the job ended without being placed by its last placement request.
func (j *job) endedUnplaced() bool {
	if j.state != Failed {
		return false
	}
	return j.outcome == OutcomeRejected || j.outcome == OutcomeFailed || j.outcome == OutcomeCanceled
}

// taskID returns the module's ID of the last placement request.
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

// knownClass reports whether the configuration has a class of that index. A node may report an attempt of a class that has
// been removed from the configuration.
func (c *Core) knownClass(class int) bool { return class >= 0 && class < len(c.cfg.Module.Classes) }

func (c *Core) classOf(job *job) *flaxshelf.TaskClass { return &c.cfg.Module.Classes[job.spec.Class] }

func (c *Core) isIdempotent(job *job) bool {
	return c.classOf(job).Idempotency == flaxshelf.Idempotent
}

func (c *Core) runsAtMostOnce(job *job) bool {
	return c.classOf(job).Idempotency == flaxshelf.NonIdempotent
}

// mayHaveRun reports whether an attempt of the open placement request may have run, so that the job must not start in
// another request.
func (c *Core) mayHaveRun(job *job) bool {
	return job.requestOpen && job.uncertainRequest == job.requestNumber && !c.isIdempotent(job)
}

// earliestResubmission returns the time from which the next placement request of a job may be opened. Zero means at any
// time, as for idempotent classes. Before that time an attempt of the last request may still run, and the module does not
// take that attempt into account in the next request. Without this delay, a job that is idempotent by key could start in a
// second key domain: its first attempt gets no reply but runs, its second attempt is placed and soon loses its node, and the
// next request ignores the first attempt.
func (c *Core) earliestResubmission(job *job) Time {
	if job.uncertainAttemptEndedAt == 0 || c.isIdempotent(job) {
		return 0
	}
	return job.uncertainAttemptEndedAt + c.cfg.Limits.SettleTime
}

// finishOrRequeue finishes or requeues a job whose accepted attempt has ended.
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

// requeue opens a new placement request, after a backoff, for a job whose attempt was lost or migrates.
func (c *Core) requeue(job *job, reason flaxshelf.Reason) {
	wait := max(backoff(job.backoffLevel, reason), c.earliestResubmission(job)-c.now)
	job.backoffLevel += backoffLevelsPerLoss
	job.state, job.subState = Requeued, SubStateBackoff
	job.reason = "it was " + SubStateDisplayName(lostSubState(reason)) + " on " + job.nodeID
	job.nodeID = ""
	if job.requestOpen { // accepted but not started, with Config.Module.PlacedWhenRunning
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

// backoff returns the delay of the next placement request at a backoff level, after a loss for the reason.
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

// finishJob ends a job. The job is retained until expireEndedJobs removes it or its owner reaps it.
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
	c.emit(LogOutcome{Job: job.info()}) // first, so that a client that hears of the end finds it in the metrics
	c.publishChange(job)
	if job.array != nil {
		c.arrayJobEnded(job)
	}
}

// expireEndedJobs removes ended jobs that exceed Limits.MaxFinished or Limits.Retention.
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

// removeJob removes an ended job. It has no effect if the job was removed already.
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
