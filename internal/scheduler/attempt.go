package scheduler

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// attemptPhase is a phase of an attempt. An attempt goes through the phases in this order and may skip some.
type attemptPhase int

const (
	phaseConnecting attemptPhase = iota // waits for the connection to its node; nothing has been sent
	phaseOffered                        // the offer was sent; waits for the node's reply
	phaseAccepted
	phaseRunning
	phaseEnded
)

func (p attemptPhase) String() string {
	return [...]string{"connecting", "offered", "accepted", "running", "ended"}[p]
}

// subState returns the sub-state of a job whose attempt is in the phase.
func (p attemptPhase) subState() string {
	return [...]string{SubStateOffered, SubStateOffered, SubStateAccepted, SubStateRunning, SubStateWaiting}[p]
}

// attempt is one offer of a job to a node and, if the node accepts it, the run of the job there.
type attempt struct {
	id        string // unique over all incarnations of this scheduler
	taskID    string // the module's ID of the placement request
	number    int    // number of the attempt in its placement request, counted from 0
	job       *job
	node      *node
	serial    uint64 // increases in the order in which the core creates attempts
	offeredAt Time
	timeout   time.Duration // how long after offeredAt the node may reply
	phase     attemptPhase
	stopSent  bool              // a stop was sent over the current connection
	timer     *timerqueue.Timer // ends the wait for the connection or the reply, or retries sendOffer
}

// attemptEnd describes to the module how an attempt ended.
type attemptEnd struct {
	outcome flaxshelf.Outcome
	reason  flaxshelf.Reason
	load    flaxshelf.LoadReport
}

// provesNotRun reports whether an attempt that ended in this way certainly has not run.
func (e attemptEnd) provesNotRun() bool {
	return e.outcome == flaxshelf.Rejected || e.outcome == flaxshelf.Unreachable || e.outcome == flaxshelf.NotSent
}

// startOffer offers a task to the node that the module has chosen. If that is no longer possible, the attempt ends as
// NotSent.
func (c *Core) startOffer(offer flaxshelf.Offer) {
	job, node := c.jobsByTask[offer.Task], c.nodes[offer.Machine]
	if job == nil || node == nil || job.taskID() != offer.Task {
		return // not reached if the module offers only tasks and machines that it was given
	}
	attempt := c.newAttempt(job, node, offer)
	draining := node.machine.State != flaxshelf.Active && !c.cfg.DisabledGuards.Drain
	switch {
	case !job.requestOpen || attempt.timeout <= 0 || job.stopping || draining:
		c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.NotSent})
	case node.connected:
		c.sendOffer(attempt)
	default:
		attempt.timer = c.timers.Schedule(c.now+max(c.cfg.Module.ConnectTimeout, time.Millisecond), func() {
			if attempt.phase == phaseConnecting {
				c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.Unreachable})
			}
		})
	}
}

// newAttempt adds the job's next attempt. Its timeout is reduced so that it does not exceed the deadline of the placement
// request.
func (c *Core) newAttempt(job *job, node *node, offer flaxshelf.Offer) *attempt {
	timeout := offer.Timeout
	if remaining := job.placementDeadline - c.now; timeout <= 0 || timeout > remaining {
		timeout = remaining
	}
	c.lastSerial++
	attempt := &attempt{
		id:        job.id + "/" + strconv.Itoa(job.requestNumber) + "/" + strconv.Itoa(job.attemptCount),
		taskID:    offer.Task,
		number:    job.attemptCount,
		job:       job,
		node:      node,
		serial:    c.lastSerial,
		offeredAt: c.now,
		timeout:   timeout,
	}
	job.attemptCount++
	c.addAttempt(attempt)
	job.nodeID, job.subState = node.machine.ID, SubStateOffered
	return attempt
}

// addAttempt stores an attempt and makes it the current one of its job.
func (c *Core) addAttempt(attempt *attempt) {
	c.attempts[attempt.id] = attempt
	attempt.node.attempts[attempt.id] = attempt
	attempt.job.attempt = attempt
}

// sendOffer sends the offer of an attempt whose node is connected. While the sync barrier is active, the offer is
// postponed.
func (c *Core) sendOffer(attempt *attempt) {
	remaining := attempt.offeredAt + attempt.timeout - c.now
	c.timers.Cancel(attempt.timer)
	if remaining <= 0 {
		c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.NotSent})
		return
	}
	if c.barrier.active() { // messages that were not read yet may announce a drain of this node
		attempt.timer = c.timers.Schedule(c.nextPollTime(), func() {
			if attempt.phase == phaseConnecting && attempt.node.connected {
				c.sendOffer(attempt)
			}
		})
		return
	}
	attempt.phase = phaseOffered
	c.emit(SendOffer{
		Node:             attempt.node.machine.ID,
		Attempt:          attempt.id,
		Job:              attempt.job.id,
		PlacementRequest: attempt.job.requestNumber,
		Spec:             attempt.job.spec,
		SubmittedAt:      attempt.job.submittedAt,
		ValidFor:         remaining,
	})
	c.publishChange(attempt.job)
	attempt.timer = c.timers.Schedule(c.now+remaining, func() {
		if attempt.phase == phaseOffered {
			c.stopAttempt(attempt)
			c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.TimedOut})
		}
	})
}

// stopAttempt sends a stop for an attempt, at most once per connection.
func (c *Core) stopAttempt(attempt *attempt) {
	if !attempt.stopSent && attempt.node.connected {
		attempt.stopSent = true
		c.emit(SendStop{attempt.node.machine.ID, attempt.id})
	}
}

// currentAttempt returns the task's attempt that has not ended, or nil if there is none.
func (c *Core) currentAttempt(taskID string) *attempt {
	job := c.jobsByTask[taskID]
	if job == nil || job.attempt == nil || job.attempt.taskID != taskID {
		return nil
	}
	return job.attempt
}

// cancelOffer cancels an offer to which the node has not replied.
func (c *Core) cancelOffer(cancel flaxshelf.Cancel) {
	attempt := c.currentAttempt(cancel.Task)
	if attempt == nil || attempt.number != cancel.Attempt || attempt.phase > phaseOffered {
		return
	}
	outcome := flaxshelf.Canceled
	if attempt.phase == phaseConnecting {
		outcome = flaxshelf.NotSent
	}
	c.stopAttempt(attempt)
	c.endAttempt(attempt, attemptEnd{outcome: outcome})
}

// migrate stops an attempt that its node has accepted. The job is requeued when the node has confirmed the stop.
func (c *Core) migrate(migrate flaxshelf.Migrate) {
	attempt := c.currentAttempt(migrate.Task)
	if attempt == nil || attempt.phase < phaseAccepted {
		return
	}
	attempt.job.migrating = true
	c.stopAttempt(attempt)
}

// acceptAttempt records that the node has accepted an offer.
func (c *Core) acceptAttempt(attempt *attempt, load flaxshelf.LoadReport) {
	attempt.phase = phaseAccepted
	c.timers.Cancel(attempt.timer)
	job := attempt.job
	if load.Present {
		c.notifyModule(flaxshelf.HealthChecked{Machine: attempt.node.machine.ID, Load: load})
	}
	if job.attempt != attempt || job.state.Ended() || job.stopping || job.onHold() {
		c.reportPlaced(attempt)
		c.stopAttempt(attempt) // the job no longer needs it
		return
	}
	job.subState = SubStateAccepted
	if c.cfg.Module.PlacedWhenRunning {
		c.publishChange(job)
	} else {
		c.markPlaced(attempt)
	}
}

// markPlaced closes the placement request of an attempt that counts as placed; see countsAsPlaced.
func (c *Core) markPlaced(attempt *attempt) {
	c.reportPlaced(attempt)
	c.closePlacementRequest(attempt.job, OutcomePlaced, attempt.id)
}

func (c *Core) reportPlaced(attempt *attempt) {
	c.notifyModule(flaxshelf.AttemptPlaced{
		Task:    attempt.taskID,
		Machine: attempt.node.machine.ID,
		Attempt: attempt.number,
		Latency: c.now - attempt.offeredAt,
	})
}

// startAttempt records that the node has started an attempt. It has no effect unless the attempt's phase is phaseAccepted.
func (c *Core) startAttempt(attempt *attempt) {
	if attempt.phase != phaseAccepted {
		return
	}
	attempt.phase = phaseRunning
	job := attempt.job
	if job.attempt != attempt || job.state.Ended() || job.stopping {
		return
	}
	if c.cfg.Module.PlacedWhenRunning && job.requestOpen {
		c.markPlaced(attempt)
	} else {
		c.reportUsage(attempt, flaxshelf.TaskRunning, 0)
	}
	job.state, job.subState = Running, SubStateRunning
	if job.startedAt == 0 {
		job.startedAt = c.now
	}
	c.publishChange(job)
}

func (c *Core) reportUsage(attempt *attempt, kind flaxshelf.UsageKind, amount float64) {
	c.notifyModule(flaxshelf.UsageReport{
		Task:    attempt.taskID,
		Machine: attempt.node.machine.ID,
		Attempt: attempt.number,
		Kind:    kind,
		Amount:  amount,
	})
}

// endAsLost ends an attempt whose node is unreachable, was removed or does not report it.
func (c *Core) endAsLost(attempt *attempt) {
	c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.Lost})
}

// endAttempt ends an attempt: it reports the end to the module and updates the job. It has no effect if the attempt has
// ended already.
func (c *Core) endAttempt(attempt *attempt, end attemptEnd) {
	if attempt.phase == phaseEnded {
		return
	}
	job, lastPhase := attempt.job, attempt.phase
	c.removeAttempt(attempt)
	current := job.taskID() == attempt.taskID
	placed := c.countsAsPlaced(lastPhase)
	c.notifyModule(flaxshelf.AttemptEnded{
		Task:    attempt.taskID,
		Machine: attempt.node.machine.ID,
		Attempt: attempt.number,
		Outcome: end.outcome,
		Reason:  end.reason,
		Final:   placed || !current || !job.requestOpen,
		Latency: c.now - attempt.offeredAt,
		Load:    end.load,
	})
	if !placed && !end.provesNotRun() {
		job.uncertainAttemptEndedAt = c.now
		if current && end.outcome != flaxshelf.Canceled {
			job.uncertainRequest = job.requestNumber
		}
	}
	switch {
	case !current || job.state.Ended(): // the end does not affect the job
	case lastPhase >= phaseAccepted:
		c.finishOrRequeue(job, end)
	default:
		c.handleUnacceptedOffer(job)
	}
}

// removeAttempt marks an attempt as ended and removes all references to it.
func (c *Core) removeAttempt(attempt *attempt) {
	attempt.phase = phaseEnded
	c.timers.Cancel(attempt.timer)
	delete(c.attempts, attempt.id)
	delete(attempt.node.attempts, attempt.id)
	if attempt.job.attempt == attempt {
		attempt.job.attempt = nil
	}
}

// countsAsPlaced reports whether an attempt in the phase has been reported to the module as placed. It counts as placed
// when it is accepted or, if Config.Module.PlacedWhenRunning is set, when it is started.
func (c *Core) countsAsPlaced(phase attemptPhase) bool {
	if c.cfg.Module.PlacedWhenRunning {
		return phase == phaseRunning
	}
	return phase >= phaseAccepted
}

// handleUnacceptedOffer updates a job whose offer has ended without being accepted.
func (c *Core) handleUnacceptedOffer(job *job) {
	job.nodeID = ""
	switch {
	case job.stopping:
		c.finishJob(job, Failed, SubStateTerminated, "terminated before its start")
	case job.requestOpen:
		job.subState = SubStateWaiting
		c.publishChange(job)
	case job.onHold():
		c.publishChange(job)
	}
}
