package requests

// preAdoptionTerminations records the nodes' releases of tasks that this scheduler does not know. After a start, a node may
// report the end of a task before the owner's Adopt of that task is read. Without this record, the task would then be adopted
// and count as running forever.
type preAdoptionTerminations struct {
	byTask map[string]preAdoptionTermination
	order  []string // task IDs in order of arrival
}

// preAdoptionTermination is the end of a task that a node reported before the task was adopted.
type preAdoptionTermination struct {
	node          string
	cause         Cause
	receivedAt    Time
	ownerNotified bool // whether the owner was notified, or needs no notification
}

const (
	// preAdoptionRetention is how long a termination is kept for an Adopt that arrives after it. By then, an owner that was
	// not notified of the end of its task counts the task as lost.
	preAdoptionRetention = LossNotificationDeadline
	// maxPreAdoptionTerminations is the maximum number of records. New ones replace the oldest.
	maxPreAdoptionTerminations = 4096
)

// add records the end of a task. A second report for the same task is ignored.
func (p *preAdoptionTerminations) add(now Time, taskID string, termination preAdoptionTermination) {
	if p.byTask == nil {
		p.byTask = map[string]preAdoptionTermination{}
	}
	p.evict(now)
	if _, known := p.byTask[taskID]; !known {
		p.byTask[taskID] = termination
		p.order = append(p.order, taskID)
	}
}

// evict removes the expired records and, if the limit is reached, the oldest one.
func (p *preAdoptionTerminations) evict(now Time) {
	for len(p.order) > 0 {
		oldest := p.order[0]
		if len(p.order) < maxPreAdoptionTerminations && now-p.byTask[oldest].receivedAt < preAdoptionRetention {
			return
		}
		delete(p.byTask, oldest)
		p.order = p.order[1:]
	}
}

// find returns the unexpired record of a task whose end the given node has reported. If there is none, ok is false.
func (p *preAdoptionTerminations) find(now Time, taskID, node string) (termination preAdoptionTermination, ok bool) {
	termination, ok = p.byTask[taskID]
	if !ok || termination.node != node || now-termination.receivedAt >= preAdoptionRetention {
		return preAdoptionTermination{}, false
	}
	return termination, true
}

// markOwnerNotified records that the owner needs no further notification of the end of a task.
func (p *preAdoptionTerminations) markOwnerNotified(taskID string) {
	termination := p.byTask[taskID]
	termination.ownerNotified = true
	p.byTask[taskID] = termination
}

// adoptTerminated handles the Adopt of a task whose node has already reported its end. It returns false if there is no
// such report. The owner is notified once, even if it sends the Adopt several times.
func (c *Core) adoptTerminated(in Adopt) bool {
	termination, ok := c.preAdoption.find(c.now, in.Task.ID, in.Node)
	if !ok {
		return false
	}
	c.recordOwnerUse(in.Conn)
	if termination.ownerNotified {
		return true
	}
	c.preAdoption.markOwnerNotified(in.Task.ID)
	c.stats.Adopted++
	c.stats.Ended++
	if termination.cause != CauseCanceled {
		c.emit(Terminated{Conn: in.Conn, Task: in.Task.ID, Cause: termination.cause})
	}
	return true
}

// recordPreAdoptionTermination records a node's release of a task that this scheduler does not know.
func (c *Core) recordPreAdoptionTermination(n *node, in NodeMessage) {
	if c.tasks[in.Task] != nil {
		return
	}
	c.preAdoption.add(c.now, in.Task, preAdoptionTermination{node: n.machine.ID, cause: in.Cause, receivedAt: c.now})
}
