package requests

import (
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// phase is how far an attempt has come.
type phase int

const (
	connecting phase = iota // waits for a link
	offered                 // the set-up was written
	standing                // the node has answered
	ending                  // it stood, and was cut by us
	over
)

// attempt is one offer of a task to a node, or a task that stands there.
type attempt struct {
	task     *task
	n        int // as the module counts
	node     *node
	link     *link // that its set-up went on; nil where it came by Held
	phase    phase
	sent     Time
	limit    time.Duration
	timer    *timerqueue.Timer
	unlisted bool // handed over on a node that no list had named
	cutAt    Time // when its release was written last; 0: never
	reached  bool // the release went on a link that had just come up
}

// offer carries out the module's choice.
func (c *Core) offer(o flaxshelf.Offer) {
	t := c.tasks[o.Task]
	if t == nil || !t.open || t.live != nil {
		return // the module never offers what it was not asked, nor twice at once
	}
	n := c.node(o.Machine)
	a := &attempt{task: t, n: t.attempts, node: n, sent: c.now, limit: o.Timeout}
	t.attempts++
	t.live, n.live[t.id] = a, a
	c.figures.Offers++
	left := t.spec.Deadline - c.now
	if a.limit <= 0 || a.limit > left {
		a.limit = left
	}
	if a.limit <= 0 || n.entry.State != flaxshelf.Active {
		c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		return
	}
	// Risk covered: what the node says of an attempt that was given up there names the task alone, and would be taken for the
	// word on this one; on a link of its own it can be told apart.
	if n.cur != nil && !n.cur.suspected && n.cur.id <= t.left[n] {
		c.suspect(n.cur)
	}
	if n.cur != nil && n.cur.up && !n.cur.suspected {
		c.send(a, n.cur)
		return
	}
	wait := min(a.limit, max(c.cfg.Module.ConnectTimeout, time.Millisecond))
	a.timer = c.timers.Schedule(c.now+wait, func() { c.end(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason) })
	c.timers.Cancel(n.redial) // what is asked now need not wait with the others
	c.keepLink(n)
}

// send writes the set-up of an attempt.
func (c *Core) send(a *attempt, l *link) {
	c.timers.Cancel(a.timer)
	left := a.sent + a.limit - c.now
	if left <= 0 {
		c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		return
	}
	t := a.task
	a.phase, a.link, l.usedAt = offered, l, c.now
	l.open++
	c.emit(Offer{Link: l.id, Attempt: a.n, Owner: t.conn, Node: a.node.entry.ID, Task: t.id,
		Class: t.class, Key: t.spec.Key, IdempotencyKey: t.idem,
		Description: t.detail, TimeLeft: left})
	a.timer = c.timers.Schedule(c.now+left, func() { c.timeOut(a) })
}

// timeOut gives an attempt up. A link that has told nothing since the set-up went out is suspected: a machine that is cut
// off, or a peer that has lost its place in the stream, gives no other sign.
func (c *Core) timeOut(a *attempt) {
	l := a.link
	c.emit(SendRelease{l.id, a.task.id, CauseNormal})
	if l.heardAt < a.sent {
		c.suspect(l)
	}
	c.end(a, flaxshelf.TimedOut, flaxshelf.UnspecifiedReason)
}

// withdraw gives an attempt up before its answer.
func (c *Core) withdraw(a *attempt) {
	if a.phase == connecting {
		c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		return
	}
	if a.phase == offered {
		c.emit(SendRelease{a.link.id, a.task.id, CauseNormal})
		c.end(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
	}
}

// endByOwner cuts a standing task at its node, and waits for the node's word that it is over.
func (c *Core) endByOwner(t *task) {
	a := t.live
	a.phase = ending
	l := a.link
	if l == nil || !l.up {
		l = a.node.cur
	}
	if l != nil && l.up {
		c.cut(a, l)
	}
	a.timer = c.timers.Schedule(c.now+endWithin, func() { c.ended(a) })
}

// endWithin is how long the node's word of a cut is waited for before the task counts as ended all the same.
const endWithin = time.Second

func (c *Core) cut(a *attempt, l *link) {
	a.cutAt = c.now
	c.emit(SendRelease{l.id, a.task.id, CauseCanceled})
}

// ended counts a task as over that was cut, where its node has shown that it lives since: nodes need not confirm a release.
// Risk covered: a node that is cut off never gets the release and runs the task on; it holds its place in the spread until a
// link comes up, or the node counts as gone.
func (c *Core) ended(a *attempt) {
	if a.reached || a.cutAt > 0 && a.node.heardAt > a.cutAt {
		c.end(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
		return
	}
	a.timer = c.timers.Schedule(c.now+endWithin, func() { c.ended(a) })
}

// attemptOn finds what a node may speak of on a link: the attempt of the task at that very node.
func (c *Core) attemptOn(id Link, name string) *attempt {
	l, t := c.links[id], c.tasks[name]
	if l == nil || t == nil || t.live == nil || t.live.node != l.node {
		return nil
	}
	return t.live
}

// heard is a node's word of a task.
func (c *Core) heard(in NodeMessage) {
	l := c.links[in.Link]
	if l == nil {
		return
	}
	l.heardAt, l.usedAt, l.node.heardAt = c.now, c.now, c.now
	a := c.attemptOn(in.Link, in.Task)
	if a != nil {
		c.provedBy(a.task)
	}
	switch in.Kind {
	case NodeAccepted:
		switch {
		case a != nil && a.phase == offered && a.link == l:
			c.stand(a, in.Description)
		case a == nil: // late, or nobody's: what it may have started is released
			c.figures.StaleMessages++
			c.emit(SendRelease{l.id, in.Task, CauseNormal})
		}
	case NodeReleased:
		if a == nil {
			c.noteEarly(l.node, in)
			return
		}
		c.over(a, in)
	case NodeConfirmedRelease:
		if a != nil && a.phase == ending {
			c.end(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
		}
	case NodeUsage:
		if a != nil && a.phase == standing {
			c.tell(flaxshelf.UsageReport{Task: in.Task, Machine: l.node.entry.ID, Attempt: a.n,
				Kind: in.UsageKind, Amount: in.Amount})
		}
	}
}

// stand passes a node's answer on.
func (c *Core) stand(a *attempt, detail string) {
	t := a.task
	c.timers.Cancel(a.timer)
	a.phase = standing
	a.link.open--
	c.shut(t, true)
	t.detail, t.idem = "", "" // not needed any more
	c.figures.Running++
	c.figures.Placed++
	c.emit(Accepted{t.conn, t.id, detail})
	c.showed(t.conn)
	c.tell(flaxshelf.AttemptPlaced{Task: t.id, Machine: a.node.entry.ID, Attempt: a.n, Latency: c.now - a.sent})
}

// over is a node's release.
func (c *Core) over(a *attempt, in NodeMessage) {
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
		c.end(a, v, in.Reason)
	case standing:
		v := flaxshelf.Lost
		switch in.Cause {
		case CauseNormal:
			v = flaxshelf.Completed
		case CauseCanceled:
			v = flaxshelf.Canceled
		}
		if in.Cause != CauseCanceled {
			c.say(a.task, in.Cause)
		}
		c.countEnd(v, in.Reason)
		c.end(a, v, in.Reason)
	case ending:
		v := flaxshelf.Canceled
		if in.Cause == CauseNormal {
			v = flaxshelf.Completed
		}
		c.end(a, v, in.Reason)
	}
}

// lose is for a standing task whose node is gone, and for an attempt whose link broke.
func (c *Core) lose(a *attempt) {
	if a.phase == standing {
		c.say(a.task, CauseLost)
	}
	c.end(a, flaxshelf.Lost, flaxshelf.UnspecifiedReason)
}

// end tells the module how an attempt ended, once.
func (c *Core) end(a *attempt, v flaxshelf.Outcome, r flaxshelf.Reason) {
	if a.phase == over {
		return
	}
	t, was := a.task, a.phase
	c.timers.Cancel(a.timer)
	a.phase = over
	if was == offered {
		a.link.open--
		c.count(v)
		if t.open && (v == flaxshelf.TimedOut || v == flaxshelf.Lost) {
			t.leave(a.node, a.link.id)
		}
	}
	if a.unlisted {
		c.figures.RunningUnlisted--
	}
	if was >= standing {
		c.figures.Running--
		c.figures.Ended++
	}
	if v == flaxshelf.Unreachable {
		c.figures.UnreachableOffers++
	}
	delete(a.node.live, t.id)
	t.live = nil
	c.tell(flaxshelf.AttemptEnded{Task: t.id, Machine: a.node.entry.ID, Attempt: a.n, Outcome: v, Reason: r,
		Final: was >= standing, Latency: c.now - a.sent})
	c.forget(t)
	c.letGo(a.node)
}

// countEnd counts why a standing task ended by its node's word.
func (c *Core) countEnd(v flaxshelf.Outcome, r flaxshelf.Reason) {
	switch {
	case v == flaxshelf.Completed:
		c.figures.Completed++
	case v == flaxshelf.Lost && r == flaxshelf.Evicted:
		c.figures.Evicted++
	case v == flaxshelf.Lost && r == flaxshelf.Preempted:
		c.figures.Preempted++
	case v == flaxshelf.Lost:
		c.figures.LostByNodeReport++
	}
}

func (c *Core) count(v flaxshelf.Outcome) {
	switch v {
	case flaxshelf.Rejected:
		c.figures.RejectedOffers++
	case flaxshelf.Failed:
		c.figures.FailedOffers++
	case flaxshelf.TimedOut:
		c.figures.TimedOutOffers++
	case flaxshelf.Lost:
		c.figures.LostOffers++
	}
}
