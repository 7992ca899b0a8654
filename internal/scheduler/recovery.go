package scheduler

import "flaxshelf.example/flaxshelf"

// recovery delays jobs at the start of an incarnation until the nodes have reported their attempts. Without it, an owner
// that submits a job again after a restart could start it a second time while a node that has not reported yet runs it.
type recovery struct {
	active       bool
	listReceived bool   // a complete endpoint list was received, so that the nodes that must report are known
	deadline     Time   // when to stop waiting for nodes, except for some jobs; see checkRecovery
	waitingJobs  []*job // with open placement requests that were not submitted to the module
}

// mustAwaitRecovery reports whether a job must wait for the recovery. An idempotent job that is not a
// retry does not wait, except if its class has a spread limit: placements of former incarnations count towards that limit.
func (c *Core) mustAwaitRecovery(job *job) bool {
	if !c.recovery.active {
		return false
	}
	return job.spec.Retry || !c.isIdempotent(job) || c.classOf(job).SpreadDomain != flaxshelf.NoDomain
}

// startRecoveryTimer sets the deadline of the recovery when the first complete endpoint list is received.
func (c *Core) startRecoveryTimer() {
	if c.recovery.listReceived {
		return
	}
	c.recovery.listReceived = true
	c.recovery.deadline = c.now + c.cfg.Limits.SettleTime
	c.timers.Schedule(c.recovery.deadline, func() {}) // causes a step, which calls checkRecovery
}

// checkRecovery submits the waiting jobs when every listed node has reported its attempts, or at the recovery deadline. A
// retry of a job that must run at most once waits for all nodes even after the recovery deadline, until the job's placement
// request fails at the request's own deadline.
func (c *Core) checkRecovery() {
	if !c.recovery.active || !c.recovery.listReceived {
		return
	}
	allReported := c.allNodesReported()
	if !allReported && c.now < c.recovery.deadline {
		return
	}
	c.recovery.waitingJobs = c.submitWaitingJobs(allReported)
	c.recovery.active = len(c.recovery.waitingJobs) > 0
}

func (c *Core) allNodesReported() bool {
	for _, node := range c.sortedNodes {
		if !node.hasReported && !node.removed() {
			return false
		}
	}
	return true
}

// submitWaitingJobs submits the waiting jobs to the module and returns those that must wait longer.
func (c *Core) submitWaitingJobs(allReported bool) []*job {
	var stillWaiting []*job
	for _, job := range c.recovery.waitingJobs {
		switch {
		case job.subState != SubStateRecovering: // it was adopted, held or ended meanwhile
		case !allReported && job.spec.Retry && c.runsAtMostOnce(job):
			stillWaiting = append(stillWaiting, job)
		default:
			c.submitToModule(job)
		}
	}
	return stillWaiting
}
