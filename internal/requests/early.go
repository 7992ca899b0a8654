package requests

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/admission"
)

// unknownTerminations are releases of tasks that nobody has told of yet. Risk covered: after a start a node's link may come up, and
// bring the end of a task, before the owner's hand-over of that very task is read; taken over then, it would stand for ever.
type unknownTerminations struct {
	byTask map[string]unknownTermination
	order  []string // in order of their coming
}

type unknownTermination struct {
	node       string
	cause      int
	receivedAt Time
	delivered  bool
}

const (
	// terminationRetention is how long a hand-over may come after the end of its task: what could not be told counts as lost by then.
	terminationRetention   = 8 * time.Second
	maxUnknownTerminations = 4096
)

func (e *unknownTerminations) add(now Time, task string, end unknownTermination) {
	if e.byTask == nil {
		e.byTask = map[string]unknownTermination{}
	}
	for len(e.order) > 0 && (len(e.order) >= maxUnknownTerminations || now-e.byTask[e.order[0]].receivedAt >= terminationRetention) {
		delete(e.byTask, e.order[0])
		e.order = e.order[1:]
	}
	if _, again := e.byTask[task]; !again {
		e.byTask[task] = end
		e.order = append(e.order, task)
	}
}

// find tells whether the task is over already at the node that is said to hold it.
func (e *unknownTerminations) find(now Time, task, node string) (unknownTermination, bool) {
	end, ok := e.byTask[task]
	if !ok || end.node != node || now-end.receivedAt >= terminationRetention {
		return unknownTermination{}, false
	}
	return end, true
}

// adoptTerminated answers a hand-over of a task that is over by its node's word; false: it is not.
func (c *Core) adoptTerminated(in Adopt) bool {
	end, ok := c.unknownTerminations.find(c.now, in.Task.ID, in.Node)
	if !ok {
		return false
	}
	c.admission.Touch(c.now, admission.ID(in.Conn))
	if end.delivered { // it was handed over before: one end is told once
		return true
	}
	end.delivered = true
	c.unknownTerminations.byTask[in.Task.ID] = end
	c.stats.Adopted++
	c.stats.Ended++
	if end.cause != CauseCanceled {
		c.emit(Terminated{Conn: in.Conn, Task: in.Task.ID, Cause: end.cause})
	}
	return true
}

// recordUnknownTermination books the release of a task that is not known here.
func (c *Core) recordUnknownTermination(n *node, in NodeMessage) {
	if c.tasks[in.Task] == nil {
		c.unknownTerminations.add(c.now, in.Task, unknownTermination{node: n.entry.ID, cause: in.Cause, receivedAt: c.now})
	}
}
