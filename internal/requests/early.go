package requests

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/admission"
)

// earlyEnds are releases of tasks that nobody has told of yet. Risk covered: after a start a node's link may come up, and
// bring the end of a task, before the owner's hand-over of that very task is read; taken over then, it would stand for ever.
type earlyEnds struct {
	of    map[string]earlyEnd
	order []string // in order of their coming
}

type earlyEnd struct {
	node  string
	cause int
	at    Time
	told  bool
}

const (
	// earlyFor is how long a hand-over may come after the end of its task: what could not be told counts as lost by then.
	earlyFor  = 8 * time.Second
	earlyMost = 4096
)

func (e *earlyEnds) add(now Time, task string, end earlyEnd) {
	if e.of == nil {
		e.of = map[string]earlyEnd{}
	}
	for len(e.order) > 0 && (len(e.order) >= earlyMost || now-e.of[e.order[0]].at >= earlyFor) {
		delete(e.of, e.order[0])
		e.order = e.order[1:]
	}
	if _, again := e.of[task]; !again {
		e.of[task] = end
		e.order = append(e.order, task)
	}
}

// take tells whether the task is over already at the node that is said to hold it.
func (e *earlyEnds) take(now Time, task, node string) (earlyEnd, bool) {
	end, ok := e.of[task]
	if !ok || end.node != node || now-end.at >= earlyFor {
		return earlyEnd{}, false
	}
	return end, true
}

// endedEarly answers a hand-over of a task that is over by its node's word; false: it is not.
func (c *Core) endedEarly(in Adopt) bool {
	end, ok := c.early.take(c.now, in.Task.ID, in.Node)
	if !ok {
		return false
	}
	c.admission.Touch(c.now, admission.ID(in.Conn))
	if end.told { // it was handed over before: one end is told once
		return true
	}
	end.told = true
	c.early.of[in.Task.ID] = end
	c.figures.Adopted++
	c.figures.Ended++
	if end.cause != CauseCanceled {
		c.emit(Terminated{Conn: in.Conn, Task: in.Task.ID, Cause: end.cause})
	}
	return true
}

// noteEarly books the release of a task that is not known here.
func (c *Core) noteEarly(n *node, in NodeMessage) {
	if c.tasks[in.Task] == nil {
		c.early.add(c.now, in.Task, earlyEnd{node: n.entry.ID, cause: in.Cause, at: c.now})
	}
}
