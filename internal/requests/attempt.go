package requests

import (
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// attemptPhase is how far an attempt has come.
type attemptPhase int

const (
	connecting attemptPhase = iota // waits for a link
	offered                        // the set-up was written
	running                        // the node has answered
	releasing                      // it stood, and was cut by us
	ended
)

// attempt is one offer of a task to a node, or a task that stands there.
type attempt struct {
	task             *task
	number           int // as the module counts
	node             *node
	link             *link // that its set-up went on; nil where it came by Held
	phase            attemptPhase
	startedAt        Time
	timeout          time.Duration
	timer            *timerqueue.Timer
	unlisted         bool // handed over on a node that no list had named
	releasedAt       Time // when its release was written last; 0: never
	releaseDelivered bool // the release went on a link that had just come up
}

// offer carries out the module's choice.
func (c *Core) offer(o flaxshelf.Offer) {
	t := c.tasks[o.Task]
	if t == nil || !t.pending || t.attempt != nil {
		return // the module never offers what it was not asked, nor twice at once
	}
	n := c.nodeFor(o.Machine)
	a := &attempt{task: t, number: t.attempts, node: n, startedAt: c.now, timeout: o.Timeout}
	t.attempts++
	t.attempt, n.attempts[t.id] = a, a
	c.stats.Offers++
	left := t.spec.Deadline - c.now
	if a.timeout <= 0 || a.timeout > left {
		a.timeout = left
	}
	if a.timeout <= 0 || n.entry.State != flaxshelf.Active {
		c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		return
	}
	// Risk covered: what the node says of an attempt that was given up there names the task alone, and would be taken for the
	// word on this one; on a link of its own it can be told apart.
	if n.current != nil && !n.current.suspected && n.current.id <= t.unansweredLinks[n] {
		c.suspectLink(n.current)
	}
	if n.current != nil && n.current.up && !n.current.suspected {
		c.sendOffer(a, n.current)
		return
	}
	wait := min(a.timeout, max(c.config.Module.ConnectTimeout, time.Millisecond))
	a.timer = c.timers.Schedule(c.now+wait, func() { c.endAttempt(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason) })
	c.timers.Cancel(n.redial) // what is asked now need not wait with the others
	c.ensureLink(n)
}

// sendOffer writes the set-up of an attempt.
func (c *Core) sendOffer(a *attempt, l *link) {
	c.timers.Cancel(a.timer)
	left := a.startedAt + a.timeout - c.now
	if left <= 0 {
		c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		return
	}
	t := a.task
	a.phase, a.link, l.lastUsedAt = offered, l, c.now
	l.pendingOffers++
	c.emit(Offer{Link: l.id, Attempt: a.number, Owner: t.conn, Node: a.node.entry.ID, Task: t.id,
		Class: t.class, Key: t.spec.Key, IdempotencyKey: t.idempotencyKey,
		Description: t.description, TimeLeft: left})
	a.timer = c.timers.Schedule(c.now+left, func() { c.timeOut(a) })
}

// timeOut gives an attempt up. A link that has told nothing since the set-up went out is suspected: a machine that is cut
// off, or a peer that has lost its place in the stream, gives no other sign.
func (c *Core) timeOut(a *attempt) {
	l := a.link
	c.emit(SendRelease{l.id, a.task.id, CauseNormal})
	if l.lastReceivedAt < a.startedAt {
		c.suspectLink(l)
	}
	c.endAttempt(a, flaxshelf.TimedOut, flaxshelf.UnspecifiedReason)
}

// withdrawOffer gives an attempt up before its answer.
func (c *Core) withdrawOffer(a *attempt) {
	if a.phase == connecting {
		c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		return
	}
	if a.phase == offered {
		c.emit(SendRelease{a.link.id, a.task.id, CauseNormal})
		c.endAttempt(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
	}
}

// releaseRunning cuts a standing task at its node, and waits for the node's word that it is over.
func (c *Core) releaseRunning(t *task) {
	a := t.attempt
	a.phase = releasing
	l := a.link
	if l == nil || !l.up {
		l = a.node.current
	}
	if l != nil && l.up {
		c.sendRelease(a, l)
	}
	a.timer = c.timers.Schedule(c.now+releaseConfirmationTimeout, func() { c.checkReleased(a) })
}

// releaseConfirmationTimeout is how long the node's word of a cut is waited for before the task counts as ended all the same.
const releaseConfirmationTimeout = time.Second

func (c *Core) sendRelease(a *attempt, l *link) {
	a.releasedAt = c.now
	c.emit(SendRelease{l.id, a.task.id, CauseCanceled})
}

// checkReleased counts a task as over that was cut, where its node has shown that it lives since: nodes need not confirm a release.
// Risk covered: a node that is cut off never gets the release and runs the task on; it holds its place in the spread until a
// link comes up, or the node counts as gone.
func (c *Core) checkReleased(a *attempt) {
	if a.releaseDelivered || a.releasedAt > 0 && a.node.lastReceivedAt > a.releasedAt {
		c.endAttempt(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
		return
	}
	a.timer = c.timers.Schedule(c.now+releaseConfirmationTimeout, func() { c.checkReleased(a) })
}

// attemptOn finds what a node may speak of on a link: the attempt of the task at that very node.
func (c *Core) attemptOn(id Link, name string) *attempt {
	l, t := c.links[id], c.tasks[name]
	if l == nil || t == nil || t.attempt == nil || t.attempt.node != l.node {
		return nil
	}
	return t.attempt
}

// handleNodeMessage is a node's word of a task.
func (c *Core) handleNodeMessage(in NodeMessage) {
	l := c.links[in.Link]
	if l == nil {
		return
	}
	l.lastReceivedAt, l.lastUsedAt, l.node.lastReceivedAt = c.now, c.now, c.now
	a := c.attemptOn(in.Link, in.Task)
	if a != nil {
		c.verifyOwnerOf(a.task)
	}
	switch in.Kind {
	case NodeAccepted:
		switch {
		case a != nil && a.phase == offered && a.link == l:
			c.acceptTask(a, in.Description)
		case a == nil: // late, or nobody's: what it may have started is released
			c.stats.StaleMessages++
			c.emit(SendRelease{l.id, in.Task, CauseNormal})
		}
	case NodeReleased:
		if a == nil {
			c.recordUnknownTermination(l.node, in)
			return
		}
		c.handleNodeRelease(a, in)
	case NodeConfirmedRelease:
		if a != nil && a.phase == releasing {
			c.endAttempt(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
		}
	case NodeUsage:
		if a != nil && a.phase == running {
			c.notifyModule(flaxshelf.UsageReport{Task: in.Task, Machine: l.node.entry.ID, Attempt: a.number,
				Kind: in.UsageKind, Amount: in.Amount})
		}
	}
}

// acceptTask passes a node's answer on.
func (c *Core) acceptTask(a *attempt, detail string) {
	t := a.task
	c.timers.Cancel(a.timer)
	a.phase = running
	a.link.pendingOffers--
	c.finishRequest(t, true)
	t.description, t.idempotencyKey = "", "" // not needed any more
	c.stats.Running++
	c.stats.Placed++
	c.emit(Accepted{t.conn, t.id, detail})
	c.markActive(t.conn)
	c.notifyModule(flaxshelf.AttemptPlaced{Task: t.id, Machine: a.node.entry.ID, Attempt: a.number, Latency: c.now - a.startedAt})
}

// handleNodeRelease is a node's release.
func (c *Core) handleNodeRelease(a *attempt, in NodeMessage) {
	switch a.phase {
	case offered:
		if a.link.id != in.Link {
			return // of an attempt before this one
		}
		v := flaxshelf.Lost
		switch in.Cause {
		case CauseRejected:
			v = flaxshelf.Rejected
		case CauseError:
			v = flaxshelf.Failed
		case CauseObsolete:
			v = flaxshelf.NotSent
		}
		c.endAttempt(a, v, in.Reason)
	case running:
		v := flaxshelf.Lost
		switch in.Cause {
		case CauseNormal:
			v = flaxshelf.Completed
		case CauseCanceled:
			v = flaxshelf.Canceled
		}
		if in.Cause != CauseCanceled {
			c.notifyTerminatedWith(a.task, in.Cause)
		}
		c.countTermination(v, in.Reason)
		c.endAttempt(a, v, in.Reason)
	case releasing:
		v := flaxshelf.Canceled
		if in.Cause == CauseNormal {
			v = flaxshelf.Completed
		}
		c.endAttempt(a, v, in.Reason)
	}
}

// loseAttempt is for a standing task whose node is gone, and for an attempt whose link broke.
func (c *Core) loseAttempt(a *attempt) {
	if a.phase == running {
		c.notifyTerminatedWith(a.task, CauseLost)
	}
	c.endAttempt(a, flaxshelf.Lost, flaxshelf.UnspecifiedReason)
}

// endAttempt tells the module how an attempt ended, once.
func (c *Core) endAttempt(a *attempt, v flaxshelf.Outcome, r flaxshelf.Reason) {
	if a.phase == ended {
		return
	}
	t, was := a.task, a.phase
	c.timers.Cancel(a.timer)
	a.phase = ended
	if was == offered {
		a.link.pendingOffers--
		c.countFailedOffer(v)
		if t.pending && (v == flaxshelf.TimedOut || v == flaxshelf.Lost) {
			t.noteUnanswered(a.node, a.link.id)
		}
	}
	if a.unlisted {
		c.stats.RunningUnlisted--
	}
	if was >= running {
		c.stats.Running--
		c.stats.Ended++
	}
	if v == flaxshelf.Unreachable {
		c.stats.UnreachableOffers++
	}
	delete(a.node.attempts, t.id)
	t.attempt = nil
	c.notifyModule(flaxshelf.AttemptEnded{Task: t.id, Machine: a.node.entry.ID, Attempt: a.number, Outcome: v, Reason: r,
		Final: was >= running, Latency: c.now - a.startedAt})
	c.forgetIfDone(t)
	c.discardIfUnused(a.node)
}

// countTermination counts why a standing task ended by its node's word.
func (c *Core) countTermination(v flaxshelf.Outcome, r flaxshelf.Reason) {
	switch {
	case v == flaxshelf.Completed:
		c.stats.Completed++
	case v == flaxshelf.Lost && r == flaxshelf.Evicted:
		c.stats.Evicted++
	case v == flaxshelf.Lost && r == flaxshelf.Preempted:
		c.stats.Preempted++
	case v == flaxshelf.Lost:
		c.stats.LostByNodeReport++
	}
}

func (c *Core) countFailedOffer(v flaxshelf.Outcome) {
	switch v {
	case flaxshelf.Rejected:
		c.stats.RejectedOffers++
	case flaxshelf.Failed:
		c.stats.FailedOffers++
	case flaxshelf.TimedOut:
		c.stats.TimedOutOffers++
	case flaxshelf.Lost:
		c.stats.LostOffers++
	}
}
