package requests

// preAdoptionTerminations are releases that nodes reported of tasks that this scheduler does not know. After a start, a
// node's link may come up and report the end of a task before the owner's Adopt of that task is read; without this record
// the task would be adopted then and count as running for ever.
type preAdoptionTerminations struct {
	byTask map[string]preAdoptionTermination
	order  []string // task IDs in order of arrival
}

// preAdoptionTermination is the end of a task before its adoption.
type preAdoptionTermination struct {
	node       string
	cause      int
	receivedAt Time
	delivered  bool // its owner was notified
}

const (
	// preAdoptionRetention is how long after the end of its task an Adopt may arrive. By then owners count a task as lost
	// whose end they were not notified of.
	preAdoptionRetention = LossNotificationDeadline
	// maxPreAdoptionTerminations bounds the record; the oldest ones are dropped for new ones.
	maxPreAdoptionTerminations = 4096
)

// add records the end of a task; a second one of the same task changes nothing.
func (p *preAdoptionTerminations) add(now Time, taskID string, termination preAdoptionTermination) {
	if p.byTask == nil {
		p.byTask = map[string]preAdoptionTermination{}
	}
	p.discardOld(now)
	if _, known := p.byTask[taskID]; !known {
		p.byTask[taskID] = termination
		p.order = append(p.order, taskID)
	}
}

// discardOld removes what has expired, and makes room for one more.
func (p *preAdoptionTerminations) discardOld(now Time) {
	for len(p.order) > 0 {
		oldest := p.order[0]
		if len(p.order) < maxPreAdoptionTerminations && now-p.byTask[oldest].receivedAt < preAdoptionRetention {
			return
		}
		delete(p.byTask, oldest)
		p.order = p.order[1:]
	}
}

// find returns the end of a task that the given node has reported; ok is false where there is none.
func (p *preAdoptionTerminations) find(now Time, taskID, node string) (termination preAdoptionTermination, ok bool) {
	termination, ok = p.byTask[taskID]
	if !ok || termination.node != node || now-termination.receivedAt >= preAdoptionRetention {
		return preAdoptionTermination{}, false
	}
	return termination, true
}

// markDelivered records that the owner was notified of the end of a task.
func (p *preAdoptionTerminations) markDelivered(taskID string) {
	termination := p.byTask[taskID]
	termination.delivered = true
	p.byTask[taskID] = termination
}

// adoptTerminated handles the Adopt of a task whose node has reported its end already; false: it has not. The owner is
// notified once, however often it sends the Adopt.
func (c *Core) adoptTerminated(in Adopt) bool {
	termination, ok := c.preAdoption.find(c.now, in.Task.ID, in.Node)
	if !ok {
		return false
	}
	c.touchOwner(in.Conn)
	if termination.delivered {
		return true
	}
	c.preAdoption.markDelivered(in.Task.ID)
	c.stats.Adopted++
	c.stats.Ended++
	if termination.cause != CauseCanceled {
		c.emit(Terminated{Conn: in.Conn, Task: in.Task.ID, Cause: termination.cause})
	}
	return true
}

// recordPreAdoptionTermination records the release of a task that is not known here.
func (c *Core) recordPreAdoptionTermination(n *node, in NodeMessage) {
	if c.tasks[in.Task] != nil {
		return
	}
	c.preAdoption.add(c.now, in.Task, preAdoptionTermination{node: n.entry.ID, cause: in.Cause, receivedAt: c.now})
}
