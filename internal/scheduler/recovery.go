package scheduler

import "flaxshelf.example/flaxshelf"

// recovery holds work back at the start of an incarnation. Otherwise a scheduler that was killed would come back, an
// owner would retry, and the job would be started anew while a node that has not reported yet runs it.
type recovery struct {
	active       bool
	listReceived bool // a complete endpoint list, which tells which nodes must report
	deadline     Time // after which nodes that have not reported are not waited for
	waiting      []*job
}

// mustAwaitRecovery reports whether a job must wait. The first submission of idempotent work need not, unless the
// spread of its class is bounded: what a former incarnation placed counts.
func (c *Core) mustAwaitRecovery(job *job) bool {
	if !c.recovery.active {
		return false
	}
	return job.spec.Retry || !c.isIdempotent(job) || c.classOf(job).SpreadDomain != flaxshelf.NoDomain
}

// startRecoveryTimer bounds the recovery, from the first complete endpoint list on.
func (c *Core) startRecoveryTimer() {
	if c.recovery.listReceived {
		return
	}
	c.recovery.listReceived = true
	c.recovery.deadline = c.now + c.cfg.Limits.SettleTime
	c.timers.Schedule(c.recovery.deadline, func() {}) // checkRecovery runs in each step; this has one come in time
}

// checkRecovery ends the recovery when every listed node has reported what it runs, or has had the settle time to do
// so. A retry of work that must run at most once waits for an unreachable node without end: its placement request then
// fails at its deadline.
func (c *Core) checkRecovery() {
	if !c.recovery.active || !c.recovery.listReceived {
		return
	}
	allReported := c.allNodesReported()
	if !allReported && c.now < c.recovery.deadline {
		return
	}
	c.recovery.waiting = c.submitRecovered(allReported)
	c.recovery.active = len(c.recovery.waiting) > 0
}

func (c *Core) allNodesReported() bool {
	for _, node := range c.nodesByName {
		if !node.reconciled && !node.removed() {
			return false
		}
	}
	return true
}

// submitRecovered gives the waiting jobs to the module and returns those that must wait on.
func (c *Core) submitRecovered(allReported bool) []*job {
	var stillWaiting []*job
	for _, job := range c.recovery.waiting {
		switch {
		case job.subState != SubRecovering: // it was found running, held or ended meanwhile
		case !allReported && job.spec.Retry && c.atMostOnce(job):
			stillWaiting = append(stillWaiting, job)
		default:
			c.submitToModule(job)
		}
	}
	return stillWaiting
}
