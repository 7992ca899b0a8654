package scheduler

import (
	"fmt"
	"strings"

	"flaxshelf.example/flaxshelf"
)

// apply reconciles the attempts that the node reports with those that the core knows. Attempts that a former incarnation
// started are adopted; see docs/scheduler.md, "Adoption".
func (in NodeConnected) apply(c *Core) {
	node := c.ensureNode(in.Node)
	restarted := node.hasReported && node.startedAt != in.StartedAt
	node.connected, node.hasReported, node.startedAt = true, true, in.StartedAt
	coldStart := in.MayBeWarmingUp && in.StartedAt > node.machine.Started
	if coldStart {
		c.reportColdStart(node, in.StartedAt)
	}
	for _, ended := range in.Ended {
		ended.Node = in.Node
		ended.apply(c)
	}
	present := map[string]bool{}
	for _, reported := range in.Accepted {
		present[reported.Attempt] = true
		c.adoptAttempt(node, reported)
	}
	for _, attempt := range node.sortedAttempts() {
		switch {
		case attempt.phase == phaseConnecting && coldStart: // the module chose the node by its capacity before the restart
			c.endAttempt(attempt, attemptEnd{outcome: flaxshelf.NotSent})
		case attempt.phase == phaseConnecting:
			c.sendOffer(attempt)
		case !present[attempt.id] || restarted:
			c.endAsLost(attempt)
		default:
			c.resumeAttempt(attempt)
		}
	}
}

// reportColdStart notifies the module of a node's restart before the endpoint list shows it. Without this event, if
// the list is delayed or discovery fails, the module would offer a node that is warming up as many jobs as before its restart.
func (c *Core) reportColdStart(node *node, startedAt Time) {
	node.coldStartedAt, node.machine.Started = startedAt, startedAt
	if !node.removed() {
		c.notifyModule(flaxshelf.MachinesUpdated{Machines: []flaxshelf.Machine{node.machine}})
	}
}

// resumeAttempt updates the job of an attempt whose node is connected again. If the job no longer needs the attempt, the
// stop is sent again.
func (c *Core) resumeAttempt(attempt *attempt) {
	job := attempt.job
	switch {
	case job.stopping || job.migrating || job.state.Ended():
		c.stopAttempt(attempt) // the earlier stop may have been lost
	case job.subState == SubStateUnreachable:
		job.subState = attempt.phase.subState()
		c.publishChange(job)
	}
}

// adoptAttempt reconciles one attempt that the node reports. The core may know the attempt, its job or a later submission
// of the same key. If it knows none of them, a former incarnation started the attempt, or its job was removed.
func (c *Core) adoptAttempt(node *node, reported ReportedAttempt) {
	if known := c.attempts[reported.Attempt]; known != nil && known.node == node {
		c.advanceToReportedPhase(known, reported.Started)
		return
	}
	job := c.findRunningJob(reported)
	if job != nil && job.attempt != nil && job.attempt.phase == phaseConnecting { // not sent; the reported one replaces it
		c.endAttempt(job.attempt, attemptEnd{outcome: flaxshelf.NotSent})
	}
	switch {
	case !c.mayAdopt(job, reported):
		c.emit(SendStop{node.machine.ID, reported.Attempt})
	case job == nil:
		c.attachAttempt(c.newAdoptedJob(reported), node, reported)
	default:
		c.attachAttempt(job, node, reported)
	}
}

// advanceToReportedPhase advances a known attempt to the phase that its node reports, since earlier messages may have been
// lost.
func (c *Core) advanceToReportedPhase(known *attempt, started bool) {
	if known.phase == phaseOffered {
		c.acceptAttempt(known, flaxshelf.LoadReport{})
	}
	if started {
		c.startAttempt(known)
	}
}

// findRunningJob returns the job of a reported attempt, or nil if the core does not know it. If the job's ID is unknown, an
// unfinished job with the same key is the same work submitted again; it gets the reported ID as an alias.
func (c *Core) findRunningJob(reported ReportedAttempt) *job {
	if known := c.jobs[reported.Job]; known != nil || reported.Spec.Key == "" {
		return known
	}
	resubmitted := c.jobsByKey[reported.Spec.Key]
	if resubmitted == nil || resubmitted.state.Ended() {
		return nil
	}
	c.jobs[reported.Job] = resubmitted
	resubmitted.aliases = append(resubmitted.aliases, reported.Job)
	return resubmitted
}

// mayAdopt reports whether the attempt may become the job's current one. job is nil if the core does not know it.
func (c *Core) mayAdopt(job *job, reported ReportedAttempt) bool {
	if !c.knownClass(reported.Spec.Class) {
		return false
	}
	if job == nil {
		return !strings.HasPrefix(reported.Job, c.idPrefix) // with this prefix it is a removed job of this incarnation
	}
	return !job.state.Ended() && job.attempt == nil && !job.stopping && !job.onHold()
}

// newAdoptedJob adds a job for an attempt that a former incarnation started.
func (c *Core) newAdoptedJob(reported ReportedAttempt) *job {
	spec := reported.Spec
	job := &job{
		id:            reported.Job,
		spec:          &spec,
		submittedAt:   reported.SubmittedAt,
		requestNumber: max(reported.PlacementRequest, 1),
		state:         Queued,
		subState:      SubStateAccepted,
	}
	c.addJob(job)
	if spec.Session != "" && !c.sessions[spec.Session] {
		c.addSession(spec.Session)
	}
	return job
}

// attachAttempt makes the reported attempt the job's current one and closes the job's placement request as placed.
func (c *Core) attachAttempt(job *job, node *node, reported ReportedAttempt) {
	if job.requestOpen {
		c.notifyModule(flaxshelf.TaskCanceled{Task: job.taskID()})
		delete(c.jobsByTask, job.taskID())
	} else {
		c.openRequests++ // closePlacementRequest, called below, decrements it
		job.requestOpen = true
	}
	c.lastSerial++
	job.assignedTaskID = fmt.Sprintf("%s#%d.%d", job.id, job.requestNumber, c.lastSerial) // a new task for the module
	c.jobsByTask[job.taskID()] = job
	attempt := &attempt{
		id:        reported.Attempt,
		taskID:    job.taskID(),
		job:       job,
		node:      node,
		serial:    c.lastSerial,
		offeredAt: c.now,
		phase:     phaseAccepted,
	}
	c.addAttempt(attempt)
	c.notifyModule(flaxshelf.TaskAdopted{Task: c.moduleTask(job), Machine: node.machine.ID})
	job.nodeID, job.state, job.subState = node.machine.ID, Queued, SubStateAccepted
	job.requestedAt, job.attemptCount = c.now, 1
	c.closePlacementRequest(job, OutcomePlaced, attempt.id)
	if reported.Started {
		c.startAttempt(attempt)
	}
}
